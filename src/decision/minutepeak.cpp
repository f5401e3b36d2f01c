#include "decision/minutepeak.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Minutes behind the current one for which a renewed grant holds.
constexpr Minute grantLength = 2;

//! Tokens a minute that an instance is given even when it asked for none, as a fraction of an equal share.
constexpr Tokens idleShareDivisor = 4;

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
    PeakGrant both = *this;
    if (next.reducedFrom == 0) {
        return both;
    }
    const bool reducedAlready = both.reducedFrom != 0;
    both.reducedFrom = reducedAlready ? std::min(both.reducedFrom, next.reducedFrom) : next.reducedFrom;
    both.reducedTo = reducedAlready ? std::min(both.reducedTo, next.reducedTo) : next.reducedTo;
    return both;
}

Tokens PeakLedger::totalAt(Minute minute) const
{
    Tokens total = 0;
    for (const auto &[instance, grant] : this->grants) {
        total += grant.allowanceAt(minute);
    }
    return total;
}

PeakLedger PeakLedger::renewed(const InstanceId &self, Tokens demand, Tokens configuredCap, Minute current) const
{
    PeakLedger next = *this;
    next.cap = configuredCap;
    std::erase_if(next.grants, [current](const auto &entry) {
        return entry.second.through < current;
    });
    std::erase_if(next.demands, [&next, &self](const auto &entry) {
        return entry.first != self && !next.grants.contains(entry.first);
    });
    next.demands[self] = demand;

    Tokens wanted = 0;
    const auto members = static_cast<Tokens>(next.demands.size());
    const Tokens idleShare = configuredCap / (members * idleShareDivisor);
    for (const auto &[instance, tokens] : next.demands) {
        wanted += std::max(tokens, idleShare);
    }
    const Tokens mine = std::max(demand, idleShare);
    const auto fair = static_cast<Tokens>(static_cast<double>(configuredCap) * static_cast<double>(mine) / static_cast<double>(std::max<Tokens>(1, wanted)));

    // What this instance may already be spending stays counted until its minute is over.
    const PeakGrant old = next.grants.contains(self) ? next.grants.at(self) : PeakGrant{};
    next.grants.erase(self);
    const Minute last = current + grantLength;
    Tokens room = configuredCap;
    for (Minute minute = current; minute <= last; ++minute) {
        room = std::min(room, configuredCap - next.totalAt(minute));
    }
    room = std::max<Tokens>(0, room);
    PeakGrant grant;
    grant.through = last;
    const Tokens target = std::min(fair, room);
    const Tokens held = old.allowanceAt(current);
    if (target >= held) {
        grant.perMinute = target;
    } else {
        grant.perMinute = held;
        grant.reducedFrom = current + 1;
        grant.reducedTo = target;
    }
    next.grants[self] = grant;
    return next;
}

MinutePeak::MinutePeak(Duration skew)
    : skew(skew)
{
}

void MinutePeak::setGrant(const PeakGrant &newGrant)
{
    this->grant = newGrant;
    this->unlimited = false;
}

void MinutePeak::setUnlimited(bool newUnlimited)
{
    this->unlimited = newUnlimited;
}

bool MinutePeak::tryCharge(Tokens tokens, Time now)
{
    const Minute first = minuteOf(now - this->skew);
    const Minute last = minuteOf(now + this->skew);
    this->trim(first);
    this->minutes[minuteOf(now)].wanted += tokens;
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

void MinutePeak::refund(Tokens tokens, Time chargedAt)
{
    for (Minute minute = minuteOf(chargedAt - this->skew); minute <= minuteOf(chargedAt + this->skew); ++minute) {
        const auto found = this->minutes.find(minute);
        if (found != this->minutes.end()) {
            found->second.used = std::max<Tokens>(0, found->second.used - tokens);
        }
    }
}

std::optional<Time> MinutePeak::nextChance(Tokens tokens, Time now) const
{
    const Minute next = minuteOf(now) + 1;
    const bool everFits = tokens <= this->grant.perMinute;
    return everFits ? std::optional(startOfMinute(next) + this->skew) : std::nullopt;
}

Tokens MinutePeak::demandAt(Time now) const
{
    const auto current = this->minutes.find(minuteOf(now));
    const auto previous = this->minutes.find(minuteOf(now) - 1);
    const Tokens latest = current == this->minutes.end() ? 0 : current->second.wanted;
    const Tokens before = previous == this->minutes.end() ? 0 : previous->second.wanted;
    return std::max(latest, before);
}

Tokens MinutePeak::usedIn(Minute minute) const
{
    const auto found = this->minutes.find(minute);
    return found == this->minutes.end() ? 0 : found->second.used;
}

void MinutePeak::trim(Minute current)
{
    this->minutes.erase(this->minutes.begin(), this->minutes.lower_bound(current - 1));
}

} // namespace oleandergate
