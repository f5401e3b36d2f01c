#include "decision/leavingtable.h"

#include <algorithm>
#include <set>

namespace oleandergate {

namespace {

//! Reports that name a statement. Each goes to some of the instances, and those that did not know it report it as well.
constexpr std::uint32_t reportsPerStatement = 8;

//! Statements without news in one report, for instances that started later.
constexpr std::size_t statementsInRotation = 4;

//! How long a statement is kept for a process that is not registered: longer than a registration is missing after an outage of the store.
constexpr Duration retention = std::chrono::seconds(60);

//! Largest number of statements, for endpoints that other instances name and that are never registered.
constexpr std::size_t maxStatements = 8192;

} // namespace

bool LeavingTable::add(const LeavingStatement &statement, Time now)
{
    const auto known = this->entries.find(statement.endpoint);
    const bool isKnown = known != this->entries.end() && known->second.startedAt >= statement.startedAt;
    if (isKnown || (known == this->entries.end() && this->entries.size() >= maxStatements)) {
        return false;
    }
    this->entries[statement.endpoint] = Entry{statement.startedAt, now, reportsPerStatement};
    return true;
}

bool LeavingTable::isLeaving(const EndpointId &endpoint, std::int64_t startedAt) const
{
    const auto found = this->entries.find(endpoint);
    return found != this->entries.end() && found->second.startedAt == startedAt;
}

std::vector<LeavingStatement> LeavingTable::nextReport(std::size_t count)
{
    std::vector<LeavingStatement> report;
    std::set<EndpointId> named;
    for (auto &[endpoint, entry] : this->entries) {
        if (entry.newsLeft > 0 && report.size() < count) {
            entry.newsLeft -= 1;
            report.push_back(LeavingStatement{endpoint, entry.startedAt});
            named.insert(endpoint);
        }
    }
    const std::size_t limit = std::min(count, report.size() + statementsInRotation);
    auto next = this->entries.upper_bound(this->lastRepeated);
    for (std::size_t considered = 0; considered < this->entries.size() && report.size() < limit; ++considered, ++next) {
        next = next == this->entries.end() ? this->entries.begin() : next;
        if (!named.contains(next->first)) {
            report.push_back(LeavingStatement{next->first, next->second.startedAt});
        }
        this->lastRepeated = next->first;
    }
    return report;
}

bool LeavingTable::hasNews() const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [](const auto &entry) {
        return entry.second.newsLeft > 0;
    });
}

void LeavingTable::onRegistered(const EndpointId &endpoint, std::int64_t startedAt, Time now)
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end()) {
        return;
    }
    if (found->second.startedAt < startedAt) {
        this->entries.erase(found);
    } else if (found->second.startedAt == startedAt) {
        found->second.registeredAt = now;
    }
}

void LeavingTable::expire(Time now)
{
    std::erase_if(this->entries, [now](const auto &entry) {
        return now - entry.second.registeredAt > retention;
    });
}

std::size_t LeavingTable::size() const
{
    return this->entries.size();
}

} // namespace oleandergate
