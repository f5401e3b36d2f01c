#ifndef OLEANDERGATE_DECISION_PEAKLIMITER_H
#define OLEANDERGATE_DECISION_PEAKLIMITER_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleandergate {

//! One instance's right to spend tokens in each minute of a range.
struct PeakGrant
{
    Tokens perMinute = 0;
    Minute through = 0; //!< Last minute for which the grant holds.
    Minute reducedFrom = 0; //!< From this minute on only \ref reducedTo holds; 0 when no reduction is under way.
    Tokens reducedTo = 0;

    //! Returns what the grant allows in \p minute.
    Tokens allowanceAt(Minute minute) const;

    //! Returns a grant that is safe to spend whether or not \p next replaced this one in the key-value service.
    PeakGrant restrictedBy(const PeakGrant &next) const;
};

//! What an instance brings when it renews its grant.
struct PeakRenewal
{
    InstanceId self{};
    Tokens demand = 0; //!< Tokens wanted a minute, as PeakLimiter::demandAt() tells.
    Tokens used = 0; //!< Tokens used of late, as PeakLimiter::maxRecentUse() tells.
    std::set<InstanceId> live{}; //!< Instances expected to share; what others hold runs out by itself.
    Tokens cap = 0;
    Minute earliest = 0; //!< Earliest minute that goes on by any clock, as PeakLimiter::earliestMinute() tells.
    Minute current = 0;
};

//! The grants of all instances, as the key-value service holds them. The sum never passes the cap in any minute.
struct PeakLedger
{
    Tokens cap = 0;
    std::map<InstanceId, PeakGrant> grants{};
    std::map<InstanceId, Tokens> demands{}; //!< Tokens each instance asked for, per minute.

    //! Returns the sum of all allowances in \p minute.
    Tokens totalAt(Minute minute) const;

    //! Returns this ledger with the grant of an instance renewed. A larger share comes only out of what other grants
    //! leave free, so a lost or delayed write never passes the cap; a smaller one gives back at once what was not used.
    PeakLedger renewed(const PeakRenewal &renewal) const;

    //! Returns this ledger after \p self gave its grant back, having \p used part of it in this minute.
    PeakLedger returned(const InstanceId &self, Tokens used, Minute current) const;

private:
    Tokens fairShare(const PeakRenewal &renewal, Tokens total) const;
};

//! Meters this instance's tokens against its grant.
class PeakLimiter
{
public:
    //! \p skew bounds the difference between this clock and the supplier's; usage within it of a minute's
    //! edge counts in both minutes.
    explicit PeakLimiter(Duration skew);

    //! Changes the skew for what is charged from now on.
    void setSkew(Duration skew);

    void setGrant(const PeakGrant &grant);

    //! Switches metering off when the configuration has no cap.
    void setUnlimited(bool unlimited);

    //! Counts \p tokens at \p now if the grant allows it in every minute they may be billed in.
    bool tryCharge(Tokens tokens, Time now);

    //! Gives back \p tokens that were charged at \p chargedAt and not used.
    void refund(Tokens tokens, Time chargedAt);

    //! Returns when to try again for \p tokens that were refused at \p now; nothing when no minute would take them.
    std::optional<Time> retryAt(Tokens tokens, Time now) const;

    //! Returns the tokens wanted per minute of late, refused ones included.
    Tokens demandAt(Time now) const;

    //! Returns what the grant allows in \p minute.
    Tokens allowanceIn(Minute minute) const;

    Tokens usedIn(Minute minute) const;

    //! Returns the earliest minute that may be going on by any clock within twice the skew.
    Minute earliestMinute(Time now) const;

    //! Returns the highest use among the minutes that may be going on by any clock within twice the skew.
    Tokens maxRecentUse(Time now) const;

private:
    struct Usage
    {
        Tokens used = 0;
        Tokens wanted = 0;
    };

    void trim(Minute current);

    Duration skew;
    bool unlimited = true;
    PeakGrant grant{};
    std::map<Minute, Usage> minutes;
};

} // namespace oleandergate

#endif
