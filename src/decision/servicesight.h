#ifndef OLEANDERGATE_DECISION_SERVICESIGHT_H
#define OLEANDERGATE_DECISION_SERVICESIGHT_H

#include "decision/time.h"

#include <optional>

namespace oleandergate {

//! Tells since when the key-value service has answered somebody, without a break.
//!
//! An instance that the service refused, or that was cut off from it, must not take its own return for the service's.
class ServiceSight
{
public:
    //! \p longestSilence is the longest time between two readings of a service in good order.
    explicit ServiceSight(Duration longestSilence);

    //! Notes the time of the latest reading that any instance is known to have made.
    void note(Time latestReading, Time now);

    //! Returns when the service answered first after it had been silent for all; nothing while it is.
    std::optional<Time> since() const;

private:
    Duration longestSilence;
    std::optional<Time> firstReading{};
};

} // namespace oleandergate

#endif
