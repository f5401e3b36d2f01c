#ifndef OLEANDERGATE_DECISION_SERVICEAVAILABILITY_H
#define OLEANDERGATE_DECISION_SERVICEAVAILABILITY_H

#include "decision/time.h"

#include <optional>

namespace oleandergate {

//! Tracks since when the key-value service has been available, without interruption, to at least one instance.
//!
//! The contacts of all instances count: an instance that alone had lost its connection must not mistake its own reconnection for
//! a recovery of the service.
class ServiceAvailability
{
public:
    //! \p maxSilence is the longest time between two contacts while the service is available.
    explicit ServiceAvailability(Duration maxSilence);

    //! Records the time of the latest contact that any instance is known to have had with the service.
    void onContact(Time latestContact, Time now);

    //! Records that another instance knows the service to have been available from \p since until \p until.
    void onAvailable(Time since, Time until);

    //! Returns when the service first answered after it had been unavailable to all instances; nothing if it was unavailable at the
    //! last onContact().
    std::optional<Time> availableSince() const;

private:
    Duration maxSilence;
    std::optional<Time> firstContact{};
    Time latestContact{};
};

} // namespace oleandergate

#endif
