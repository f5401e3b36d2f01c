#include "decision/endpointtable.h"

#include "decision/endpointhash.h"

#include <algorithm>
#include <cmath>

namespace oleandergate {

namespace {

//! Limits how often the length of an avoidance is doubled.
constexpr std::uint32_t maxBackoffDoublings = 4;

//! Odd multiplier that shuffles equally loaded endpoints, so that instances with the same view of the loads choose different ones.
constexpr std::uint64_t tieBreakFactor = 0x9E3779B97F4A7C15ULL;

//! Idle endpoints whose slowness differs by less are ranked alike: the fastest of them does not get all streams.
constexpr double slownessStep = 0.25;

//! Change of the mean slowness of the measured endpoints, as a share of it, at which the unmeasured ones are ranked anew.
constexpr double minSlownessChange = 0.05;

//! Returns true unless the endpoint is excluded from new calls for a time.
bool isOpen(const EndpointState &state, Time now)
{
    return state.avoidUntil <= now && state.blockedUntil <= now;
}

} // namespace

bool EndpointTable::Ranked::operator<(const Ranked &other) const
{
    if (this->load != other.load) {
        return this->load < other.load;
    }
    if (this->tieBreak != other.tieBreak) {
        return this->tieBreak < other.tieBreak;
    }
    return this->index < other.index;
}

EndpointTable::EndpointTable(bool limited, double overcommit)
    : limited(limited)
    , overcommit(overcommit)
{
}

void EndpointTable::setLocalDomain(const std::string &domain, double newRemoteLoadPenalty)
{
    this->localDomain = domain;
    this->remoteLoadPenalty = newRemoteLoadPenalty;
}

bool EndpointTable::isRemote(std::size_t index) const
{
    return !this->localDomain.empty() && this->states[index].spec.domain != this->localDomain;
}

void EndpointTable::assign(const std::vector<EndpointSpec> &specs)
{
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        this->unrank(index);
        this->states[index].listed = false;
    }
    for (const EndpointSpec &spec : specs) {
        const auto [entry, added] = this->indices.emplace(spec.id, this->states.size());
        if (added) {
            this->states.emplace_back().hash = endpointHash(spec.id);
            this->states.back().slowness = this->appliedSlowness;
            this->unmeasured.insert(entry->second);
            this->ranks.emplace_back();
            this->ranked.push_back(false);
        }
        EndpointState &state = this->states[entry->second];
        state.spec = spec;
        state.listed = true;
    }
    this->totalSlots = 0;
    this->usable = 0;
    std::vector<std::size_t> all;
    this->localIndices.clear();
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        const EndpointState &state = this->states[index];
        if (this->isUsable(index)) {
            this->totalSlots += state.spec.slots;
            this->usable += 1;
            all.push_back(index);
            if (!this->isRemote(index)) {
                this->localIndices.push_back(index);
            }
        }
        this->rank(index);
    }
    if (this->localIndices.empty()) {
        this->localIndices = std::move(all);
    }
}

const std::vector<std::size_t> &EndpointTable::localEndpoints() const
{
    return this->localIndices;
}

std::optional<std::size_t> EndpointTable::indexOf(const EndpointId &id) const
{
    const auto found = this->indices.find(id);
    return found == this->indices.end() ? std::nullopt : std::optional(found->second);
}

const EndpointState &EndpointTable::at(std::size_t index) const
{
    return this->states[index];
}

std::size_t EndpointTable::size() const
{
    return this->states.size();
}

std::size_t EndpointTable::usableCount() const
{
    return this->usable;
}

bool EndpointTable::isUsable(std::size_t index) const
{
    return this->states[index].listed && !this->states[index].spec.leaving;
}

bool EndpointTable::hasRoom(std::size_t index, Time now) const
{
    return this->ranked[index] && isOpen(this->states[index], now);
}

bool EndpointTable::hasVersion(std::size_t index, const std::optional<std::string> &version) const
{
    return !version || this->states[index].spec.version == *version;
}

std::vector<std::size_t>
EndpointTable::leastLoaded(std::size_t count, const std::set<EndpointId> &avoid, const std::optional<std::string> &version, Time now) const
{
    std::vector<std::size_t> found;
    for (const Ranked &candidate : this->order) {
        const EndpointState &state = this->states[candidate.index];
        if (!isOpen(state, now) || avoid.contains(state.spec.id) || !this->hasVersion(candidate.index, version)) {
            continue;
        }
        found.push_back(candidate.index);
        if (found.size() >= count) {
            break;
        }
    }
    return found;
}

void EndpointTable::addCall(std::size_t index)
{
    this->unrank(index);
    this->states[index].inFlight += 1;
    this->rank(index);
}

void EndpointTable::removeCall(std::size_t index)
{
    this->unrank(index);
    this->states[index].inFlight -= 1;
    this->rank(index);
}

void EndpointTable::setPeerCalls(std::size_t index, std::uint32_t calls)
{
    this->unrank(index);
    this->states[index].peerCalls = calls;
    this->rank(index);
}

void EndpointTable::setSlowness(std::size_t index, double slowness)
{
    EndpointState &state = this->states[index];
    this->unrank(index);
    this->measuredSlowness += slowness - (state.isMeasured ? state.slowness : 0.0);
    state.slowness = slowness;
    state.isMeasured = true;
    this->rank(index);
    this->unmeasured.erase(index);
    this->updateUnmeasured();
}

void EndpointTable::updateUnmeasured()
{
    const double mean = this->measuredSlowness / static_cast<double>(this->states.size() - this->unmeasured.size());
    if (this->unmeasured.empty() || std::abs(mean - this->appliedSlowness) < minSlownessChange * this->appliedSlowness) {
        return;
    }
    this->appliedSlowness = mean;
    for (const std::size_t index : this->unmeasured) {
        this->unrank(index);
        this->states[index].slowness = this->appliedSlowness;
        this->rank(index);
    }
}

void EndpointTable::avoid(std::size_t index, Duration length, Time now)
{
    EndpointState &state = this->states[index];
    if (state.avoidUntil > now) {
        return;
    }
    const std::uint32_t doublings = std::min(state.avoidances, maxBackoffDoublings);
    state.avoidUntil = now + length * (1U << doublings);
    state.avoidances += 1;
}

void EndpointTable::setRateLimit(std::size_t index, double callsPerSecond)
{
    EndpointState &state = this->states[index];
    state.callsPerSecond = callsPerSecond;
    if (callsPerSecond > 0.0) {
        this->rateLimited.insert(index);
    } else {
        state.blockedUntil = Time{};
        this->rateLimited.erase(index);
    }
}

void EndpointTable::block(std::size_t index, Time time)
{
    EndpointState &state = this->states[index];
    state.blockedUntil = std::max(state.blockedUntil, time);
}

Time EndpointTable::nextUnblock(Time now) const
{
    Time next = Time::max();
    for (const std::size_t index : this->rateLimited) {
        const EndpointState &state = this->states[index];
        if (this->isUsable(index) && state.blockedUntil > now) {
            next = std::min(next, state.blockedUntil);
        }
    }
    return next;
}

double EndpointTable::callRate(double callSeconds, std::size_t instances) const
{
    double rate = static_cast<double>(std::max(1U, this->totalSlots)) / callSeconds;
    for (const std::size_t index : this->rateLimited) {
        const EndpointState &state = this->states[index];
        if (this->isUsable(index)) {
            const double bySlots = static_cast<double>(state.spec.slots) / callSeconds;
            rate -= bySlots - std::min(bySlots, state.callsPerSecond / static_cast<double>(instances));
        }
    }
    return rate;
}

double EndpointTable::occupancy() const
{
    double calls = 0.0;
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        calls += this->isUsable(index) ? this->states[index].inFlight + this->states[index].peerCalls : 0U;
    }
    return calls / static_cast<double>(std::max(1U, this->totalSlots));
}

void EndpointTable::clearAvoidance(std::size_t index)
{
    this->states[index].avoidances = 0;
}

double EndpointTable::loadOf(const EndpointState &state) const
{
    const std::uint32_t running = state.inFlight + state.peerCalls;
    const double penalty = !this->localDomain.empty() && state.spec.domain != this->localDomain ? this->remoteLoadPenalty : 0.0;
    const double slowness = running > 0 ? state.slowness : std::max(1.0, std::round(state.slowness / slownessStep)) * slownessStep;
    return (static_cast<double>(running) + 1.0) / static_cast<double>(std::max(1U, state.spec.slots)) * slowness + penalty;
}

std::uint32_t EndpointTable::limitOf(const EndpointState &state) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::lround(static_cast<double>(state.spec.slots) * this->overcommit)));
}

void EndpointTable::unrank(std::size_t index)
{
    if (this->ranked[index]) {
        this->order.erase(this->ranks[index]);
        this->ranked[index] = false;
    }
}

void EndpointTable::rank(std::size_t index)
{
    const EndpointState &state = this->states[index];
    const bool full = this->limited && state.inFlight + state.peerCalls >= this->limitOf(state);
    if (!this->isUsable(index) || full) {
        return;
    }
    this->rankCount += 1;
    this->ranks[index] = Ranked{this->loadOf(state), this->rankCount * tieBreakFactor, index};
    this->order.insert(this->ranks[index]);
    this->ranked[index] = true;
}

} // namespace oleandergate
