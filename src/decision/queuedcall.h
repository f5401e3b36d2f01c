#ifndef OLEANDERGATE_DECISION_QUEUEDCALL_H
#define OLEANDERGATE_DECISION_QUEUEDCALL_H

#include "decision/ids.h"
#include "decision/time.h"

#include <set>
#include <string>
#include <vector>

namespace oleandergate {

//! A part of a prompt that several calls may share. Engines cache parts as prefixes, in order.
struct PromptPart
{
    std::string id{};
    Tokens tokens = 0;
};

//! A call that waits for an endpoint of one pool.
struct QueuedCall
{
    CallId call = 0;
    ProgramId program{};
    std::string branch{};
    int priority = 0; //!< Larger goes first.
    bool resumable = false; //!< The stream may be interrupted and resumed.
    std::vector<PromptPart> parts{}; //!< Of the prompt, in order; empty when the caller does not name them.
    Tokens promptTokens = 0;
    Tokens maxTokens = 0;
    Time programStart{};
    Time deadline{}; //!< Of this call.
    Time programDeadline{};
    EndpointId requiredEndpoint{}; //!< The one endpoint that may serve the call, however full it is; empty for any.
    std::set<EndpointId> avoid{}; //!< Endpoints at which an attempt failed.
};

} // namespace oleandergate

#endif
