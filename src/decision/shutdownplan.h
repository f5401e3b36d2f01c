#ifndef OLEANDERGATE_DECISION_SHUTDOWNPLAN_H
#define OLEANDERGATE_DECISION_SHUTDOWNPLAN_H

#include "decision/time.h"

namespace oleandergate {

//! Decides which requests an instance that shuts down still sends to endpoints.
//!
//! A request is taken on only if its own time limit ends before the process does, as no estimate bounds the time of a call. While the load balancer
//! may not know of the shutdown yet, its callers have no other choice: then it suffices that nearly every call would end in time.
class ShutdownPlan
{
public:
    //! \p balancerKnowsAt is the time from which the load balancer opens no connections to this instance. All requests have ended by \p endsAt.
    ShutdownPlan(Time balancerKnowsAt, Time endsAt);

    //! Returns whether a request whose time limit ends at \p deadline may be sent at \p now. Nearly every call ends within \p expectedMaxCallTime.
    bool admits(Time now, Time deadline, Duration expectedMaxCallTime) const;

    //! Returns the time by which a request has to be answered that may take until \p deadline.
    Time limit(Time deadline) const;

private:
    Time balancerKnowsAt;
    Time endsAt;
};

} // namespace oleandergate

#endif
