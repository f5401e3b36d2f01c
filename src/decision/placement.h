#ifndef OLEANDERGATE_DECISION_PLACEMENT_H
#define OLEANDERGATE_DECISION_PLACEMENT_H

#include "decision/endpointspec.h"
#include "decision/queuedcall.h"

namespace oleandergate {

//! A call and the endpoint it goes to.
struct Placement
{
    CallId call = 0;
    EndpointSpec endpoint{};
    bool expectsCache = false; //!< The endpoint is believed to hold the branch's prefix.
};

//! An order to interrupt a stream; the call is queued again by Dispatcher::onInterrupted().
struct Interruption
{
    enum class Reason : std::uint8_t { Preempted, Stalled };
    CallId call = 0;
    Reason reason = Reason::Preempted;
};

} // namespace oleandergate

#endif
