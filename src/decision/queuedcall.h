#ifndef OLEANDERGATE_DECISION_QUEUEDCALL_H
#define OLEANDERGATE_DECISION_QUEUEDCALL_H

#include "decision/ids.h"
#include "decision/time.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergate {

//! Part of a prompt that several calls may share. Engines cache sequences of leading parts.
struct PromptPart
{
    std::string id{}; //!< Identifies the content of the part.
    Tokens tokens = 0;
};

//! A call that waits for an endpoint of one pool.
struct QueuedCall
{
    CallId call = 0;
    ProgramId program{};
    std::string branch{};
    int priority = 0; //!< Calls of higher priority are dispatched first.
    bool resumable = false; //!< The stream may be interrupted and resumed.
    std::vector<PromptPart> promptParts{}; //!< Parts of the prompt, in order; empty when the caller does not name them.
    Tokens promptTokens = 0;
    Tokens maxTokens = 0; //!< Limit of generated tokens.
    Time programStart{};
    Time deadline{}; //!< Deadline of this call.
    Time programDeadline{};
    EndpointId requiredEndpoint{}; //!< The only endpoint that may serve the call, even when it is full; empty for any.
    std::optional<std::string> requiredVersion{}; //!< Only endpoints of this software version may serve the call; any if not set.
    bool isolated = false; //!< Goes to the endpoint with the least load, whatever that has cached.
    std::set<EndpointId> avoid{}; //!< Endpoints that may not serve the call: an attempt failed there, or they are kept for an isolated run.
};

} // namespace oleandergate

#endif
