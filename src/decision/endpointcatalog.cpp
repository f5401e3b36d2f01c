#include "decision/endpointcatalog.h"

#include "decision/hash.h"

#include <algorithm>
#include <set>

namespace oleandergate {

namespace {

std::uint64_t entryHash(const EndpointEntry &entry)
{
    return hashOf(entry.spec.id + '\n' + entry.service + '\n' + entry.spec.address + '\n' + std::to_string(entry.spec.slots)
                  + (entry.spec.leaving ? "\nleaving\n" : "\n") + std::to_string(entry.startedAt));
}

} // namespace

EndpointCatalog::EndpointCatalog(Duration reregistrationTimeout)
    : reregistrationTimeout(reregistrationTimeout)
{
}

void EndpointCatalog::put(const EndpointEntry &entry)
{
    Registration &known = this->registrations[entry.spec.id];
    this->combinedHash ^= known.hash;
    known = Registration{entry, false, entryHash(entry)};
    this->combinedHash ^= known.hash;
}

void EndpointCatalog::remove(const EndpointId &id, Time now)
{
    const auto found = this->registrations.find(id);
    if (found == this->registrations.end()) {
        return;
    }
    if (now >= this->trustRemovalsFrom) {
        this->drop(found);
    } else {
        found->second.isMissing = true;
        this->hasMissing = true;
    }
}

void EndpointCatalog::replace(const std::vector<EndpointEntry> &entries, Time now)
{
    std::set<EndpointId> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.spec.id);
        this->put(entry);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, registration] : this->registrations) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        this->remove(id, now);
    }
}

void EndpointCatalog::adopt(const std::vector<EndpointEntry> &entries)
{
    std::set<EndpointId> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.spec.id);
        this->put(entry);
    }
    for (auto position = this->registrations.begin(); position != this->registrations.end();) {
        position = present.contains(position->first) ? std::next(position) : this->drop(position);
    }
}

void EndpointCatalog::onServiceRecovered(Time recoveredAt)
{
    this->trustRemovalsFrom = recoveredAt + this->reregistrationTimeout;
}

void EndpointCatalog::onServiceUnavailable()
{
    this->trustRemovalsFrom = Time::max();
}

bool EndpointCatalog::expire(Time now)
{
    for (const auto &[id, registration] : this->registrations) {
        this->leavingTable.onRegistered(id, registration.entry.startedAt, now);
    }
    this->leavingTable.expire(now);
    return this->dropMissing(now);
}

bool EndpointCatalog::dropMissing(Time now)
{
    if (!this->hasMissing || !this->trustsRemovals(now)) {
        return false;
    }
    this->hasMissing = false;
    const std::size_t before = this->registrations.size();
    for (auto position = this->registrations.begin(); position != this->registrations.end();) {
        position = position->second.isMissing ? this->drop(position) : std::next(position);
    }
    return this->registrations.size() < before;
}

EndpointCatalog::Position EndpointCatalog::drop(Position position)
{
    this->combinedHash ^= position->second.hash;
    return this->registrations.erase(position);
}

std::optional<LeavingStatement> EndpointCatalog::addLeaving(const EndpointId &id, Time now)
{
    const auto found = this->registrations.find(id);
    if (found == this->registrations.end()) {
        return std::nullopt;
    }
    const LeavingStatement statement{id, found->second.entry.startedAt};
    return this->leavingTable.add(statement, now) ? std::optional(statement) : std::nullopt;
}

bool EndpointCatalog::addLeaving(const LeavingStatement &statement, Time now)
{
    return this->leavingTable.add(statement, now);
}

LeavingTable &EndpointCatalog::leaving()
{
    return this->leavingTable;
}

const LeavingTable &EndpointCatalog::leaving() const
{
    return this->leavingTable;
}

bool EndpointCatalog::isLeaving(const Registration &registration) const
{
    const EndpointEntry &entry = registration.entry;
    return entry.spec.leaving || this->leavingTable.isLeaving(entry.spec.id, entry.startedAt);
}

std::vector<EndpointSpec> EndpointCatalog::endpointsOf(const std::string &service) const
{
    std::vector<EndpointSpec> found;
    for (const auto &[id, registration] : this->registrations) {
        if (registration.entry.service == service) {
            found.push_back(registration.entry.spec);
            found.back().leaving = this->isLeaving(registration);
        }
    }
    return found;
}

std::map<std::string, std::uint32_t> EndpointCatalog::slotsByVersion(const std::string &service) const
{
    std::map<std::string, std::uint32_t> slots;
    for (const auto &[id, registration] : this->registrations) {
        if (registration.entry.service == service) {
            slots[registration.entry.spec.version] += this->isLeaving(registration) ? 0 : registration.entry.spec.slots;
        }
    }
    return slots;
}

std::vector<EndpointId> EndpointCatalog::ids() const
{
    std::vector<EndpointId> found;
    for (const auto &[id, registration] : this->registrations) {
        found.push_back(id);
    }
    return found;
}

std::vector<EndpointEntry> EndpointCatalog::entries() const
{
    std::vector<EndpointEntry> found;
    for (const auto &[id, registration] : this->registrations) {
        if (!registration.isMissing) {
            found.push_back(registration.entry);
        }
    }
    return found;
}

bool EndpointCatalog::trustsRemovals(Time now) const
{
    return now >= this->trustRemovalsFrom;
}

std::optional<Time> EndpointCatalog::dropsMissingAt() const
{
    return this->hasMissing && this->trustRemovalsFrom != Time::max() ? std::optional(this->trustRemovalsFrom) : std::nullopt;
}

std::uint64_t EndpointCatalog::digest() const
{
    return this->combinedHash;
}

const EndpointEntry *EndpointCatalog::find(const EndpointId &id) const
{
    const auto found = this->registrations.find(id);
    return found == this->registrations.end() ? nullptr : &found->second.entry;
}

EndpointId EndpointCatalog::endpointAt(const std::string &address) const
{
    const auto found = std::find_if(this->registrations.begin(), this->registrations.end(), [&address](const auto &registration) {
        return registration.second.entry.spec.address == address;
    });
    return found == this->registrations.end() ? EndpointId() : found->first;
}

std::size_t EndpointCatalog::size() const
{
    return this->registrations.size();
}

} // namespace oleandergate
