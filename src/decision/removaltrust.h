#ifndef OLEANDERGATE_DECISION_REMOVALTRUST_H
#define OLEANDERGATE_DECISION_REMOVALTRUST_H

#include "decision/serviceavailability.h"

namespace oleandergate {

//! Decides since when a missing registration means that its endpoint has left.
//!
//! Registrations expire while the key-value service is unavailable, and live endpoints register again once it is back. Until they had time to, a missing
//! registration says nothing. An own call that fails is no proof of an outage, as only the own link may be cut. It raises the suspicion, which ends with the
//! first answer; the service counts as available since then, or for as long as other instances are known to have had contact without interruption.
class RemovalTrust
{
public:
    //! \p maxSilence as in ServiceAvailability.
    explicit RemovalTrust(Duration maxSilence);

    //! Assumes that the service has been available since \p since. To be called when this instance has just started.
    void assumeAvailable(Time since);

    //! Records when any instance last had contact with the service, as far as this one knows.
    void onContact(Time latestContact, Time now);

    //! Records that another instance knows the service to have been available from \p since until \p until.
    void onAvailable(Time since, Time until);

    //! Records that a call of this instance, begun at \p askedAt, was not answered. One that began before the latest contact shows no later outage.
    void onFailed(Time askedAt);

    //! Records that the service answered a reading of this instance.
    void onAnswered(Time now);

    //! Records that this instance no longer reads from the service itself. What its peers know is as good as what they vouch for.
    void onReliesOnPeers(Time now);

    //! Returns since when the service has been available; nothing while it may be unavailable.
    std::optional<Time> availableSince() const;

    //! Returns since when, without interruption, any instance has had contact with the service; nothing if there was none just now.
    std::optional<Time> contactSince() const;

private:
    ServiceAvailability availability;
    Duration maxSilence;
    Time latestContact{};
    Time recoveredAt{};
    bool suspected = false; //!< A call of this instance failed after the latest contact, and none was answered since.
};

} // namespace oleandergate

#endif
