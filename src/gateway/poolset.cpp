#include "gateway/poolset.h"

#include "gateway/gatewaypolicy.h"

namespace oleandergate {

PoolSet::PoolSet(Duration reregistrationTimeout, std::string domain, std::uint64_t seed)
    : catalog(reregistrationTimeout)
    , domain(std::move(domain))
    , seed(seed)
{
}

void PoolSet::configure(const ActiveGatewayConfiguration &active, Time now)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->pools, [&active](const auto &entry) {
        return !active.services.contains(entry.first) && entry.second->runningCount() + entry.second->waitingCount() == 0;
    });
    for (const auto &[name, service] : active.services) {
        if (!this->pools.contains(name)) {
            this->pools[name] = std::make_shared<ServicePool>(gatewayPolicyFor(service), this->domain, this->seed);
            this->refresh(name, now);
        }
    }
}

void PoolSet::refresh(const std::string &service, Time now)
{
    const auto found = this->pools.find(service);
    if (found != this->pools.end()) {
        found->second->setEndpoints(this->catalog.endpointsOf(service), now);
    }
}

void PoolSet::refreshAll(Time now)
{
    for (const auto &[name, pool] : this->pools) {
        pool->setEndpoints(this->catalog.endpointsOf(name), now);
    }
}

void PoolSet::putEndpoint(const EndpointEntry &entry, Time now)
{
    const std::lock_guard lock(this->mutex);
    const EndpointEntry *known = this->catalog.find(entry.spec.id);
    const std::string before = known == nullptr ? std::string() : known->service;
    this->catalog.put(entry);
    this->refresh(entry.service, now);
    if (!before.empty() && before != entry.service) {
        this->refresh(before, now);
    }
}

void PoolSet::removeEndpoint(const EndpointId &id, Time now)
{
    const std::lock_guard lock(this->mutex);
    const EndpointEntry *known = this->catalog.find(id);
    if (known == nullptr) {
        return;
    }
    const std::string service = known->service;
    this->catalog.remove(id, now);
    this->refresh(service, now);
}

void PoolSet::replaceEndpoints(const std::vector<EndpointEntry> &entries, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->catalog.replace(entries, now);
    this->refreshAll(now);
}

void PoolSet::adoptEndpoints(const std::vector<EndpointEntry> &entries, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->catalog.adopt(entries);
    this->refreshAll(now);
}

void PoolSet::setRegistryAvailable(std::optional<Time> since, Time now)
{
    const std::lock_guard lock(this->mutex);
    if (!since) {
        this->catalog.onServiceUnavailable();
        return;
    }
    this->catalog.onServiceRecovered(*since);
    if (this->catalog.dropMissing(now)) {
        this->refreshAll(now);
    }
}

bool PoolSet::dropMissing(Time now)
{
    const std::lock_guard lock(this->mutex);
    const bool dropped = this->catalog.dropMissing(now);
    if (dropped) {
        this->refreshAll(now);
    }
    return dropped;
}

std::optional<LeavingStatement> PoolSet::addLeaving(const EndpointId &id, Time now)
{
    const std::lock_guard lock(this->mutex);
    std::optional<LeavingStatement> added = this->catalog.addLeaving(id, now);
    if (added) {
        this->refresh(this->catalog.find(id)->service, now);
    }
    return added;
}

bool PoolSet::addLeaving(const LeavingStatement &statement, Time now)
{
    const std::lock_guard lock(this->mutex);
    if (!this->catalog.addLeaving(statement, now)) {
        return false;
    }
    const EndpointEntry *known = this->catalog.find(statement.endpoint);
    if (known != nullptr) {
        this->refresh(known->service, now);
    }
    return true;
}

std::vector<LeavingStatement> PoolSet::nextLeavingReport(std::size_t count)
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.leaving().nextReport(count);
}

bool PoolSet::hasLeavingNews() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.leaving().hasNews();
}

void PoolSet::expire(Time now, Time idleSince)
{
    const std::lock_guard lock(this->mutex);
    if (this->catalog.expire(now)) {
        this->refreshAll(now);
    }
    for (const auto &[name, pool] : this->pools) {
        pool->forgetIdle(idleSince);
    }
}

std::shared_ptr<ServicePool> PoolSet::find(const std::string &service) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pools.find(service);
    return found == this->pools.end() ? nullptr : found->second;
}

std::map<EndpointId, std::uint32_t> PoolSet::ownCalls() const
{
    const std::lock_guard lock(this->mutex);
    std::map<EndpointId, std::uint32_t> calls;
    for (const auto &[name, pool] : this->pools) {
        calls.merge(pool->ownCalls());
    }
    return calls;
}

void PoolSet::setPeerCalls(const std::map<std::uint32_t, std::uint32_t> &calls, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[name, pool] : this->pools) {
        pool->setPeerCalls(calls, now);
    }
}

void PoolSet::setRateLimits(const std::map<EndpointId, double> &limits, std::size_t instances, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[name, pool] : this->pools) {
        pool->setRateLimits(limits, instances, now);
    }
}

std::map<std::string, std::uint32_t> PoolSet::slotsByVersion(const std::string &service) const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.slotsByVersion(service);
}

std::vector<EndpointId> PoolSet::endpointIds() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.ids();
}

EndpointId PoolSet::endpointAt(const std::string &address) const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.endpointAt(address);
}

std::string PoolSet::addressOf(const EndpointId &id) const
{
    const std::lock_guard lock(this->mutex);
    const EndpointEntry *known = this->catalog.find(id);
    const bool isUsable = known != nullptr && !this->catalog.leaving().isLeaving(id, known->startedAt);
    return isUsable ? known->spec.address : std::string();
}

std::vector<EndpointEntry> PoolSet::endpointEntries() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.entries();
}

bool PoolSet::trustsRemovals(Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.trustsRemovals(now);
}

std::optional<Time> PoolSet::dropsMissingAt() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.dropsMissingAt();
}

std::uint64_t PoolSet::endpointDigest() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.digest();
}

std::size_t PoolSet::endpointCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.size();
}

bool PoolSet::hasEndpoint(const EndpointId &id) const
{
    const std::lock_guard lock(this->mutex);
    return this->catalog.find(id) != nullptr;
}

std::size_t PoolSet::waitingCount() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[name, pool] : this->pools) {
        count += pool->waitingCount();
    }
    return count;
}

std::size_t PoolSet::runningCount() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[name, pool] : this->pools) {
        count += pool->runningCount();
    }
    return count;
}

} // namespace oleandergate
