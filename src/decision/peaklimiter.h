#ifndef OLEANDERGATE_DECISION_PEAKLIMITER_H
#define OLEANDERGATE_DECISION_PEAKLIMITER_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleandergate {

//! One instance's share of the token cap per minute, valid up to a given minute.
struct PeakGrant
{
    Tokens perMinute = 0;
    Minute through = 0; //!< Last minute for which the grant holds.
    Minute reducedFrom = 0; //!< From this minute on the allowance is at most \ref reducedTo; 0 when no reduction is pending.
    Tokens reducedTo = 0;

    //! Returns the tokens that the grant allows in \p minute.
    Tokens allowanceAt(Minute minute) const;

    //! Returns a grant that is safe to use both if \p next replaced this one in the key-value service and if it did not.
    PeakGrant restrictedBy(const PeakGrant &next) const;
};

//! Input for the renewal of an instance's grant.
struct PeakRenewal
{
    InstanceId self{};
    Tokens demand = 0; //!< Tokens requested per minute, from PeakLimiter::demandAt().
    Tokens used = 0; //!< Tokens used per minute, from PeakLimiter::maxRecentUse().
    std::set<InstanceId> live{}; //!< Live instances, which share the cap; grants of other instances expire by themselves.
    Tokens cap = 0; //!< Tokens per minute over all instances.
    Minute earliest = 0; //!< Earliest minute that may be current by any clock, from PeakLimiter::earliestMinute().
    Minute current = 0; //!< Current minute by the clock of the instance.
};

//! The grants of all instances, as stored in the key-value service. Their sum never exceeds the cap in any minute.
struct PeakLedger
{
    Tokens cap = 0;
    std::map<InstanceId, PeakGrant> grants{};
    std::map<InstanceId, Tokens> demands{}; //!< Tokens per minute that each instance requested.

    //! Returns the sum of all allowances in \p minute.
    Tokens totalAt(Minute minute) const;

    //! Returns this ledger with the grant of an instance renewed. A grant grows only into what the other grants leave free, so a
    //! lost or delayed write never exceeds the cap; a grant that shrinks frees at once the tokens that were not used.
    PeakLedger renewed(const PeakRenewal &renewal) const;

    //! Returns this ledger with the grant of \p self given back, except for the tokens \p used in the \p current minute.
    PeakLedger returned(const InstanceId &self, Tokens used, Minute current) const;

private:
    Tokens fairShare(const PeakRenewal &renewal, Tokens total) const;
};

//! Limits this instance's tokens per minute to its grant.
class PeakLimiter
{
public:
    //! \p skew is the largest difference between this clock and the clock of the model supplier, who bills by the minute. Usage
    //! that is closer than this to the border of two minutes counts in both.
    explicit PeakLimiter(Duration skew);

    //! Changes the skew for later charges.
    void setSkew(Duration skew);

    void setGrant(const PeakGrant &grant);

    //! Switches the limit off or on; it is off when the configuration has no cap.
    void setUnlimited(bool unlimited);

    //! Charges \p tokens at \p now if the grant allows them in every minute in which they may be billed. Returns false otherwise.
    bool tryCharge(Tokens tokens, Time now);

    //! Refunds \p tokens that were charged at \p chargedAt and not used.
    void refund(Tokens tokens, Time chargedAt);

    //! Returns when to retry a charge of \p tokens that was refused at \p now; nothing when the grant is too small in any minute.
    std::optional<Time> retryAt(Tokens tokens, Time now) const;

    //! Returns the larger of the tokens requested in the current and in the previous minute, including refused ones.
    Tokens demandAt(Time now) const;

    //! Returns the tokens that the grant allows in \p minute.
    Tokens allowanceIn(Minute minute) const;

    Tokens usedIn(Minute minute) const;

    //! Returns the earliest minute that may be current by any clock that differs by at most twice the skew.
    Minute earliestMinute(Time now) const;

    //! Returns the highest usage among the minutes that may be current by any clock that differs by at most twice the skew.
    Tokens maxRecentUse(Time now) const;

private:
    struct Usage
    {
        Tokens used = 0;
        Tokens requested = 0;
    };

    void trim(Minute current);

    Duration skew;
    bool unlimited = true;
    PeakGrant grant{};
    std::map<Minute, Usage> minutes;
};

} // namespace oleandergate

#endif
