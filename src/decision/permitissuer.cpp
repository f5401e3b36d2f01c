#include "decision/permitissuer.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! The requests that are denied in a row are told to return for as many different permits, up to this number.
constexpr std::uint32_t maxDeniedAhead = 3;

//! Limits of the rate, in calls a second, within which intervals are exact.
constexpr double minRate = 0.001;
constexpr double maxRate = 100'000.0;

} // namespace

PermitIssuer::PermitIssuer(Time startedAt, const Pacing &pacing)
    : startedAt(startedAt)
    , pacing(pacing)
{
}

PermitDecision PermitIssuer::decide(std::uint32_t endpoint, double callsPerSecond, Duration limitAge, Time now)
{
    const auto [entry, isNew] = this->schedules.try_emplace(endpoint);
    Schedule &schedule = entry->second;
    schedule.usedAt = now;
    schedule.createdAt = isNew ? now : schedule.createdAt;
    // A process that has just started does not know for how long the limit has been known.
    const bool mayBeTakenOver = limitAge > takeoverTime || now - this->startedAt < 2 * takeoverTime;
    schedule.takenOver = schedule.takenOver || (mayBeTakenOver && now - schedule.createdAt < takeoverTime);
    const Time takenOverAt = schedule.createdAt + takeoverTime;
    if (schedule.takenOver && now < takenOverAt) {
        return PermitDecision{false, takenOverAt - now};
    }
    // A rate that is no number counts as the lowest one.
    const double rate = callsPerSecond > minRate ? std::min(callsPerSecond, maxRate) : minRate;
    const Duration interval = fromSeconds(1.0 / rate);
    const Duration burst = fromSeconds(this->pacing.burst / rate);
    if (schedule.nextCall + interval < now) {
        const Duration firstDelay = fromSeconds(this->pacing.firstDelay / rate);
        schedule.nextCall = now + firstDelay + (isNew ? burst : Duration::zero());
    }
    if (schedule.nextCall - burst <= now) {
        schedule.nextCall = std::max(schedule.nextCall, now) + interval;
        schedule.denied = 0;
        return PermitDecision{true, {}};
    }
    const Duration retryAfter = schedule.nextCall - burst - now + interval * std::min(schedule.denied, maxDeniedAhead);
    schedule.denied += 1;
    return PermitDecision{false, retryAfter};
}

void PermitIssuer::expire(Time before)
{
    std::erase_if(this->schedules, [before](const auto &entry) {
        return entry.second.usedAt < before;
    });
}

} // namespace oleandergate
