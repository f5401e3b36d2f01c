#include "decision/transittable.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Two clocks drift apart by this share of the time at the most.
constexpr std::int64_t driftParts = 100;

//! Reports that a sender must have been heard by: the first ones may all have waited.
constexpr std::size_t leastReports = 4;

//! The least difference contains the way itself.
constexpr Duration longestWay = std::chrono::milliseconds(50);

constexpr Duration forgetAfter = std::chrono::seconds(60);

Duration driftOf(Duration time)
{
    return time / driftParts;
}

} // namespace

void TransitTable::onReport(const InstanceId &sender, Time madeAt, Time now)
{
    this->expire(now);
    const Duration difference = now - madeAt;
    Transit &transit = this->transits[sender];
    if (transit.reports == 0 || difference <= transit.least + driftOf(now - transit.measuredAt)) {
        transit.least = difference;
        transit.measuredAt = now;
    }
    transit.heardAt = now;
    transit.reports += 1;
}

std::optional<Duration> TransitTable::waitOf(const InstanceId &sender, Time madeAt, Time now) const
{
    const auto found = this->transits.find(sender);
    if (found == this->transits.end() || found->second.reports < leastReports) {
        return std::nullopt;
    }
    const Transit &transit = found->second;
    const Duration excess = (now - madeAt) - (transit.least - driftOf(now - transit.measuredAt));
    return std::max(Duration::zero(), excess) + longestWay;
}

std::size_t TransitTable::size() const
{
    return this->transits.size();
}

void TransitTable::expire(Time now)
{
    if (now - this->expiredAt < forgetAfter) {
        return;
    }
    this->expiredAt = now;
    std::erase_if(this->transits, [now](const auto &entry) {
        return now - entry.second.heardAt >= forgetAfter;
    });
}

} // namespace oleandergate
