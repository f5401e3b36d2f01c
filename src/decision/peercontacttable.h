#ifndef OLEANDERGATE_DECISION_PEERCONTACTTABLE_H
#define OLEANDERGATE_DECISION_PEERCONTACTTABLE_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>

namespace oleandergate {

//! When the peers last reached the key-value service, by this instance's clock.
//!
//! A peer tells how long ago that was when it sends its report. The report's time on the way is not known, so an estimate may be too late and is never
//! too early: of several reports of one contact the earliest estimate holds. Not thread-safe.
class PeerContactTable
{
public:
    //! Records a report of \p peer, sent at \p sentAt by the peer's clock and received at \p now, about a contact that was \p age old when it was sent.
    void onReport(const InstanceId &peer, Time sentAt, Duration age, Time now);

    //! Drops the entry of a peer that is gone; its contact still counts in latest().
    void forget(const InstanceId &peer);

    //! Returns the latest contact of any peer, those that are gone included.
    Time latest() const;

private:
    struct Contact
    {
        Time byPeerClock{}; //!< Tells reports of the same contact from those of a later one.
        Time estimate{};
    };

    std::map<InstanceId, Contact> contacts;
    Time latestOfForgotten{};
};

} // namespace oleandergate

#endif
