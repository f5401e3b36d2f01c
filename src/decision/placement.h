#ifndef OLEANDERGATE_DECISION_PLACEMENT_H
#define OLEANDERGATE_DECISION_PLACEMENT_H

#include "decision/endpointspec.h"
#include "decision/queuedcall.h"

namespace oleandergate {

//! A call and the endpoint that was chosen for it.
struct Placement
{
    CallId call = 0;
    EndpointSpec endpoint{};
    bool expectsCache = false; //!< The endpoint probably has the prefix of the call's branch in its cache.
    std::uint32_t ownCalls = 0; //!< Other calls of this instance at the endpoint.
    std::uint32_t peerCalls = 0; //!< Calls of other instances at the endpoint, as far as known.
    Tokens cachedTokens = 0; //!< Tokens of the prompt that the endpoint is known to have cached.
};

//! Request to interrupt a stream; Dispatcher::onInterrupted() queues the call again.
struct Interruption
{
    enum class Reason : std::uint8_t { Preempted, Stalled };
    CallId call = 0;
    Reason reason = Reason::Preempted;
};

} // namespace oleandergate

#endif
