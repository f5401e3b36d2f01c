#ifndef OLEANDERGATE_DECISION_SERVICEAVAILABILITY_H
#define OLEANDERGATE_DECISION_SERVICEAVAILABILITY_H

#include "decision/time.h"

#include <optional>

namespace oleandergate {

//! Tells since when the key-value service has answered somebody, without a break.
//!
//! An instance that the service refused, or that was cut off from it, must not take its own return for the service's.
class ServiceAvailability
{
public:
    //! \p maxSilence is the longest time between two readings of a service in good order.
    explicit ServiceAvailability(Duration maxSilence);

    //! Notes the time of the latest reading that any instance is known to have made.
    void onContact(Time latestContact, Time now);

    //! Returns when the service answered first after it had been silent for all; nothing while it is.
    std::optional<Time> availableSince() const;

private:
    Duration maxSilence;
    std::optional<Time> firstContact{};
};

} // namespace oleandergate

#endif
