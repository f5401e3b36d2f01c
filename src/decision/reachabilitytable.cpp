#include "decision/reachabilitytable.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Head start of a direct connection. Connections take a few ms; a peer that is asked too early costs it a connection.
constexpr Duration directHeadStart = std::chrono::milliseconds(100);

//! A failed direct attempt and a successful one of a peer are about the same cut when they are this close to each other.
constexpr Duration evidenceWindow = std::chrono::seconds(2);

//! An instance that opened a connection to some endpoint within this time trusts its own failures at others.
constexpr Duration trustTime = std::chrono::milliseconds(100);

//! How long other instances are not asked about an endpoint that they did not reach.
constexpr Duration downTime = std::chrono::milliseconds(500);

//! Time until an endpoint that is cut off is tried again, doubled with each relapse.
constexpr Duration probeInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t maxRelapseDoublings = 3;

//! A cut within this time after the end of the previous one is a relapse.
constexpr Duration relapseWindow = std::chrono::seconds(10);

//! Largest number of addresses that are tried at once.
constexpr std::size_t maxProbes = 8;

//! This many endpoints have to be cut off for the instance to count as isolated.
constexpr std::size_t minIsolatingCuts = 2;

//! An endpoint that has sent nothing for this long is checked when calls wait for it, at most once in the interval.
constexpr Duration quietTime = std::chrono::milliseconds(500);
constexpr Duration checkInterval = std::chrono::seconds(1);

//! Endpoints without news are forgotten after this time.
constexpr Duration retention = std::chrono::seconds(30);

Duration probeIntervalAfter(std::uint32_t relapses)
{
    return probeInterval * (1U << std::min(relapses, maxRelapseDoublings));
}

} // namespace

ReachabilityTable::Entry &ReachabilityTable::entryFor(const std::string &address, Time now)
{
    Entry &entry = this->entries[address];
    entry.updatedAt = now;
    return entry;
}

PathPlan ReachabilityTable::planFor(const std::string &address, Time now) const
{
    const auto found = this->entries.find(address);
    const bool isolated = this->isIsolated();
    if (found != this->entries.end()) {
        const Entry &entry = found->second;
        if (now < entry.downUntil) {
            return PathPlan{!entry.cutOff, false, {}};
        }
        if (entry.cutOff) {
            return PathPlan{false, true, {}};
        }
    }
    return PathPlan{true, true, isolated ? Duration::zero() : directHeadStart};
}

bool ReachabilityTable::mayReuseDirect(const std::string &address, Time /*now*/) const
{
    const auto found = this->entries.find(address);
    const bool known = found != this->entries.end();
    if (known && found->second.cutOff && found->second.failure == ReachOutcome::TimedOut) {
        return found->second.receivedAt > found->second.cutOffAt;
    }
    if (this->hangs && this->isIsolated()) {
        return known && std::max(found->second.receivedAt, found->second.connectedAt) > this->cutOffFrom;
    }
    return true;
}

ReachabilityTable::Change ReachabilityTable::setCutOff(Entry &entry, Time now)
{
    if (entry.cutOff) {
        return Change::None;
    }
    if (this->cutOffCount == 0) {
        this->cutOffFrom = entry.failedAt;
    }
    this->cutOffCount += 1;
    entry.cutOff = true;
    entry.cutOffAt = entry.failedAt;
    entry.relapses = entry.backAt != Time{} && now - entry.backAt < relapseWindow ? entry.relapses + 1 : 0;
    entry.probeAt = now + probeIntervalAfter(entry.relapses);
    this->hangs = entry.failure == ReachOutcome::TimedOut;
    this->suspectsOthers = this->suspectsOthers || !this->isIsolated();
    return Change::CutOff;
}

ReachabilityTable::Change ReachabilityTable::setBack(Entry &entry, Time now)
{
    if (!entry.cutOff) {
        return Change::None;
    }
    const bool wasIsolated = this->isIsolated();
    this->cutOffCount -= 1;
    entry.cutOff = false;
    entry.backAt = now;
    if (wasIsolated) {
        // The others are likely to be back as well.
        for (auto &[address, other] : this->entries) {
            if (other.cutOff && other.relapses == 0) {
                other.probeAt = std::min(other.probeAt, now);
            }
        }
    }
    return Change::Back;
}

ReachabilityTable::Change ReachabilityTable::onDirect(const std::string &address, ReachOutcome outcome, Time now)
{
    Entry &entry = this->entryFor(address, now);
    if (outcome != ReachOutcome::Connected) {
        entry.failedAt = now;
        entry.failure = outcome;
        return Change::None;
    }
    entry.connectedAt = now;
    entry.downUntil = Time{};
    const Change change = this->setBack(entry, now);
    this->latestConnect = now;
    return change;
}

ReachabilityTable::Change ReachabilityTable::onPeer(const std::string &address, ReachOutcome outcome, Time now)
{
    Entry &entry = this->entryFor(address, now);
    if (outcome != ReachOutcome::Connected) {
        entry.downUntil = now + downTime;
        if (entry.cutOff) {
            entry.probeAt = std::min(entry.probeAt, now);
        }
        return Change::None;
    }
    entry.downUntil = Time{};
    const bool failedMeanwhile = entry.failedAt != Time{} && now - entry.failedAt <= evidenceWindow && entry.connectedAt < entry.failedAt;
    return failedMeanwhile ? this->setCutOff(entry, now) : Change::None;
}

void ReachabilityTable::onReceived(const std::string &address, Time now)
{
    this->entryFor(address, now).receivedAt = now;
}

bool ReachabilityTable::isCutOff(const std::string &address) const
{
    const auto found = this->entries.find(address);
    return found != this->entries.end() && found->second.cutOff;
}

bool ReachabilityTable::isIsolated() const
{
    return this->cutOffCount >= minIsolatingCuts && this->latestConnect < this->cutOffFrom;
}

bool ReachabilityTable::reachesSome(Time now) const
{
    return this->latestConnect != Time{} && now - this->latestConnect < trustTime;
}

std::string ReachabilityTable::controlAddress(const std::string &address, Time now) const
{
    const std::pair<const std::string, Entry> *best = nullptr;
    const auto heardAt = [](const Entry &entry) {
        return std::max(entry.connectedAt, entry.receivedAt);
    };
    for (const auto &candidate : this->entries) {
        const Entry &entry = candidate.second;
        const bool isExpected = candidate.first != address && !entry.cutOff && entry.downUntil <= now && entry.connectedAt != Time{};
        if (isExpected && (best == nullptr || heardAt(entry) > heardAt(best->second))) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::string() : best->first;
}

bool ReachabilityTable::isConfirmedDown(const std::string &address, Time now) const
{
    const auto found = this->entries.find(address);
    return found != this->entries.end() && now < found->second.downUntil;
}

std::vector<std::string> ReachabilityTable::takeDueProbes(Time now)
{
    std::vector<std::string> due;
    for (auto &[address, entry] : this->entries) {
        if (entry.cutOff && entry.probeAt <= now && due.size() < maxProbes) {
            entry.probeAt = now + probeIntervalAfter(entry.relapses);
            due.push_back(address);
        }
    }
    return due;
}

std::vector<std::string> ReachabilityTable::takeSuspects(Time now)
{
    std::vector<std::string> suspects;
    if (!this->suspectsOthers) {
        return suspects;
    }
    this->suspectsOthers = false;
    for (const auto &[address, entry] : this->entries) {
        const bool isReached = std::max(entry.connectedAt, entry.receivedAt) >= this->cutOffFrom;
        if (!entry.cutOff && !isReached && entry.downUntil <= now && suspects.size() < maxProbes) {
            suspects.push_back(address);
        }
    }
    return suspects;
}

bool ReachabilityTable::takeDueCheck(const std::string &address, Time now)
{
    Entry &entry = this->entryFor(address, now);
    const bool heardOf = now - std::max(entry.receivedAt, entry.connectedAt) < quietTime;
    if (entry.cutOff || heardOf || now - entry.checkedAt < checkInterval) {
        return false;
    }
    entry.checkedAt = now;
    return true;
}

std::vector<std::string> ReachabilityTable::cutOffAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, entry] : this->entries) {
        if (entry.cutOff) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void ReachabilityTable::expire(Time now)
{
    for (auto position = this->entries.begin(); position != this->entries.end();) {
        if (now - position->second.updatedAt <= retention) {
            ++position;
            continue;
        }
        this->cutOffCount -= position->second.cutOff ? 1 : 0;
        position = this->entries.erase(position);
    }
}

std::size_t ReachabilityTable::size() const
{
    return this->entries.size();
}

} // namespace oleandergate
