#include "decision/ratelimittable.h"

#include <algorithm>
#include <cmath>

namespace oleandergate {

namespace {

//! Number of reports that name a change. Each goes to several peers, which report it in turn.
constexpr std::uint32_t reportsPerChange = 4;

//! Interval between two reports of limits that did not change, and their number in each.
constexpr Duration repeatInterval = std::chrono::milliseconds(500);
constexpr std::size_t repeatsPerReport = 8;

//! Late reports of a lifted limit arrive within this time.
constexpr Duration liftedMemory = std::chrono::seconds(10);

//! A limit ends when no answer of its endpoint has been received for this long.
constexpr Duration maxSilence = std::chrono::seconds(60);

//! A limit that moves by less than this share is no news, as some endpoints name another one in each answer.
constexpr double minChange = 0.05;

bool differs(std::optional<double> before, std::optional<double> now)
{
    if (!before || !now) {
        return before.has_value() != now.has_value();
    }
    return std::abs(*now - *before) > minChange * *before;
}

} // namespace

RateLimitChange RateLimitTable::onStatement(const RateLimitStatement &statement, Time now)
{
    const auto found = this->entries.find(statement.endpoint);
    if (found == this->entries.end()) {
        if (!statement.callsPerSecond || this->entries.size() >= maxEntries) {
            return RateLimitChange::None;
        }
        this->entries[statement.endpoint] = Entry{statement, statement.callsPerSecond, now, reportsPerChange};
        return RateLimitChange::Named;
    }
    Entry &entry = found->second;
    if (statement.statedAt <= entry.latest.statedAt) {
        return RateLimitChange::None;
    }
    const std::optional<double> before = entry.announced;
    entry.latest = statement;
    if (!differs(before, statement.callsPerSecond)) {
        return RateLimitChange::None;
    }
    entry.announced = statement.callsPerSecond;
    entry.newsLeft = reportsPerChange;
    if (!before) {
        entry.since = now;
        return RateLimitChange::Named;
    }
    return statement.callsPerSecond ? RateLimitChange::Changed : RateLimitChange::Lifted;
}

std::optional<RateLimit> RateLimitTable::limitOf(std::uint32_t endpoint) const
{
    const auto found = this->entries.find(endpoint);
    if (found == this->entries.end() || !found->second.latest.callsPerSecond) {
        return std::nullopt;
    }
    return RateLimit{*found->second.latest.callsPerSecond, found->second.since};
}

std::vector<RateLimitStatement> RateLimitTable::nextReport(std::size_t count, Time now)
{
    std::vector<RateLimitStatement> report;
    for (auto &[endpoint, entry] : this->entries) {
        if (entry.newsLeft > 0 && report.size() < count) {
            entry.newsLeft -= 1;
            report.push_back(entry.latest);
        }
    }
    if (now - this->repeatedAt < repeatInterval || this->entries.empty()) {
        return report;
    }
    this->repeatedAt = now;
    auto next = this->entries.upper_bound(this->lastRepeated);
    for (std::size_t looked = 0, added = 0; looked < this->entries.size() && added < repeatsPerReport && report.size() < count; ++looked, ++next) {
        next = next == this->entries.end() ? this->entries.begin() : next;
        this->lastRepeated = next->first;
        if (next->second.latest.callsPerSecond) {
            report.push_back(next->second.latest);
            added += 1;
        }
    }
    return report;
}

bool RateLimitTable::hasNews() const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [](const auto &entry) {
        return entry.second.newsLeft > 0;
    });
}

void RateLimitTable::expire(Time now)
{
    std::erase_if(this->entries, [now](const auto &entry) {
        return now - entry.second.latest.statedAt > (entry.second.latest.callsPerSecond ? maxSilence : liftedMemory);
    });
}

std::size_t RateLimitTable::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), [](const auto &entry) {
        return entry.second.latest.callsPerSecond.has_value();
    }));
}

} // namespace oleandergate
