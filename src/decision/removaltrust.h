#ifndef OLEANDERGATE_DECISION_REMOVALTRUST_H
#define OLEANDERGATE_DECISION_REMOVALTRUST_H

#include "decision/serviceavailability.h"

namespace oleandergate {

//! Decides from when on a missing registration means that its endpoint has left.
//!
//! Registrations expire while the key-value service is unavailable, and live endpoints register again once it is back. Until they had time to, a missing
//! registration says nothing.
class RemovalTrust
{
public:
    //! \p maxSilence as in ServiceAvailability.
    explicit RemovalTrust(Duration maxSilence);

    //! Records when any instance last had contact with the service, as far as this one knows.
    void onContact(Time latestContact, Time now);

    //! Records that the service did not answer a call of this instance.
    void onFailed();

    //! Records that the service answered a reading of this instance, or reported a change to it. Returns the time since which it has been available if that is
    //! news.
    std::optional<Time> onAnswered(Time now);
    std::optional<Time> onEvent(Time now) const;

private:
    ServiceAvailability availability;
    bool unavailable = false; //!< The latest call of this instance was not answered.
};

} // namespace oleandergate

#endif
