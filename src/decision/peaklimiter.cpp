#include "decision/peaklimiter.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Number of minutes after the current one for which a renewed grant is valid.
constexpr Minute extraGrantMinutes = 1;

//! An instance without demand gets an equal share divided by this.
constexpr Tokens idleShareDivisor = 4;

//! A grant may exceed an equal share up to this multiple of the demand, so that rising demand fits until the next renewal.
constexpr Tokens demandHeadroom = 2;

//! Returns the largest grant that an instance may hold. If it crashes, its grant is unavailable to the others until it expires, so
//! no instance holds far more than it uses. The equal share is computed for one more instance than there are, so that a new
//! instance finds free tokens.
Tokens maxShare(const PeakRenewal &renewal)
{
    const Tokens equalShare = renewal.cap / static_cast<Tokens>(renewal.live.size() + 1);
    return std::max(equalShare, renewal.demand * demandHeadroom);
}

//! Time within which the first grant usually arrives.
constexpr Duration firstGrantWait = std::chrono::milliseconds(500);

} // namespace

Tokens PeakGrant::allowanceAt(Minute minute) const
{
    if (minute > this->through) {
        return 0;
    }
    const bool reduced = this->reducedFrom != 0 && minute >= this->reducedFrom;
    return reduced ? std::min(this->perMinute, this->reducedTo) : this->perMinute;
}

PeakGrant PeakGrant::restrictedBy(const PeakGrant &next) const
{
    PeakGrant restricted = *this;
    if (next.reducedFrom == 0) {
        return restricted;
    }
    restricted.perMinute = std::min(restricted.perMinute, next.perMinute);
    const bool reducedAlready = restricted.reducedFrom != 0;
    restricted.reducedFrom = reducedAlready ? std::min(restricted.reducedFrom, next.reducedFrom) : next.reducedFrom;
    restricted.reducedTo = reducedAlready ? std::min(restricted.reducedTo, next.reducedTo) : next.reducedTo;
    return restricted;
}

Tokens PeakLedger::totalAt(Minute minute) const
{
    Tokens total = 0;
    for (const auto &[instance, grant] : this->grants) {
        total += grant.allowanceAt(minute);
    }
    return total;
}

PeakLedger PeakLedger::renewed(const PeakRenewal &renewal) const
{
    PeakLedger next = *this;
    next.cap = renewal.cap;
    std::erase_if(next.grants, [&renewal](const auto &entry) {
        return entry.second.through < renewal.earliest;
    });
    std::erase_if(next.demands, [&renewal](const auto &entry) {
        return !renewal.live.contains(entry.first);
    });
    next.demands[renewal.self] = renewal.demand;

    // Tokens that this instance may already have spent stay counted until their minute is over.
    const PeakGrant old = next.grants.contains(renewal.self) ? next.grants.at(renewal.self) : PeakGrant{};
    next.grants.erase(renewal.self);
    const Minute last = renewal.current + extraGrantMinutes;
    Tokens available = renewal.cap;
    for (Minute minute = renewal.earliest; minute <= last; ++minute) {
        available = std::min(available, renewal.cap - next.totalAt(minute));
    }
    Tokens heldByGone = 0;
    for (const auto &[instance, grant] : next.grants) {
        heldByGone += renewal.live.contains(instance) ? 0 : grant.allowanceAt(renewal.current);
    }
    const Tokens fair = next.fairShare(renewal, std::max<Tokens>(0, renewal.cap - heldByGone));
    const Tokens bounded = std::min(fair, maxShare(renewal));
    const Tokens target = std::min(bounded, std::max<Tokens>(0, available));
    const Tokens held = old.allowanceAt(renewal.current);
    PeakGrant grant;
    grant.through = last;
    if (target >= held) {
        grant.perMinute = target;
    } else {
        grant.perMinute = std::min(held, std::max(target, renewal.used));
        grant.reducedFrom = renewal.current + 1;
        grant.reducedTo = target;
    }
    next.grants[renewal.self] = grant;
    return next;
}

Tokens PeakLedger::fairShare(const PeakRenewal &renewal, Tokens total) const
{
    const std::size_t sharers = std::max(renewal.live.size(), this->demands.size());
    const Tokens idleShare = total / (static_cast<Tokens>(sharers) * idleShareDivisor);
    Tokens totalDemand = static_cast<Tokens>(sharers - this->demands.size()) * idleShare;
    for (const auto &[instance, tokens] : this->demands) {
        totalDemand += std::max(tokens, idleShare);
    }
    const Tokens ownDemand = std::max(renewal.demand, idleShare);
    return static_cast<Tokens>(static_cast<double>(total) * static_cast<double>(ownDemand) / static_cast<double>(std::max<Tokens>(1, totalDemand)));
}

PeakLedger PeakLedger::returned(const InstanceId &self, Tokens used, Minute current) const
{
    PeakLedger next = *this;
    next.demands.erase(self);
    const auto held = next.grants.find(self);
    if (held != next.grants.end()) {
        const Tokens spent = std::min(used, held->second.allowanceAt(current));
        held->second = PeakGrant{spent, current};
    }
    return next;
}

PeakLimiter::PeakLimiter(Duration skew)
    : skew(skew)
{
}

void PeakLimiter::setSkew(Duration newSkew)
{
    this->skew = newSkew;
}

void PeakLimiter::setGrant(const PeakGrant &newGrant)
{
    this->grant = newGrant;
    this->unlimited = false;
}

void PeakLimiter::setUnlimited(bool newUnlimited)
{
    this->unlimited = newUnlimited;
}

bool PeakLimiter::tryCharge(Tokens tokens, Time now)
{
    const Minute first = minuteOf(now - this->skew);
    const Minute last = minuteOf(now + this->skew);
    this->trim(first);
    this->minutes[minuteOf(now)].requested += tokens;
    if (!this->unlimited) {
        for (Minute minute = first; minute <= last; ++minute) {
            if (this->minutes[minute].used + tokens > this->grant.allowanceAt(minute)) {
                return false;
            }
        }
    }
    for (Minute minute = first; minute <= last; ++minute) {
        this->minutes[minute].used += tokens;
    }
    return true;
}

void PeakLimiter::refund(Tokens tokens, Time chargedAt)
{
    for (Minute minute = minuteOf(chargedAt - this->skew); minute <= minuteOf(chargedAt + this->skew); ++minute) {
        const auto found = this->minutes.find(minute);
        if (found != this->minutes.end()) {
            found->second.used = std::max<Tokens>(0, found->second.used - tokens);
        }
    }
}

std::optional<Time> PeakLimiter::retryAt(Tokens tokens, Time now) const
{
    if (this->grant.through == 0) {
        return now + firstGrantWait;
    }
    const Minute next = minuteOf(now) + 1;
    const bool everFits = tokens <= this->grant.perMinute;
    return everFits ? std::optional(startOfMinute(next) + this->skew) : std::nullopt;
}

Tokens PeakLimiter::demandAt(Time now) const
{
    const auto current = this->minutes.find(minuteOf(now));
    const auto previous = this->minutes.find(minuteOf(now) - 1);
    const Tokens latest = current == this->minutes.end() ? 0 : current->second.requested;
    const Tokens before = previous == this->minutes.end() ? 0 : previous->second.requested;
    return std::max(latest, before);
}

Tokens PeakLimiter::allowanceIn(Minute minute) const
{
    return this->grant.allowanceAt(minute);
}

Tokens PeakLimiter::usedIn(Minute minute) const
{
    const auto found = this->minutes.find(minute);
    return found == this->minutes.end() ? 0 : found->second.used;
}

Minute PeakLimiter::earliestMinute(Time now) const
{
    return minuteOf(now - 2 * this->skew);
}

Tokens PeakLimiter::maxRecentUse(Time now) const
{
    Tokens used = 0;
    for (Minute minute = this->earliestMinute(now); minute <= minuteOf(now + 2 * this->skew); ++minute) {
        used = std::max(used, this->usedIn(minute));
    }
    return used;
}

void PeakLimiter::trim(Minute current)
{
    this->minutes.erase(this->minutes.begin(), this->minutes.lower_bound(current - 1));
}

} // namespace oleandergate
