#ifndef OLEANDERGATE_DECISION_ACTION_H
#define OLEANDERGATE_DECISION_ACTION_H

#include "decision/callanswer.h"
#include "decision/error.h"
#include "decision/journalentry.h"

#include <set>
#include <variant>
#include <vector>

namespace oleandergate {

//! Append entries to a slot's journal. ProgramOwner::onCommitted() or onCommitLost() takes the result.
struct CommitAction
{
    CommitId commitId = 0;
    SlotId slot = 0;
    std::vector<JournalEntry> entries{};
};

//! The call may be queued for an endpoint.
struct ReadyAction
{
    CallId call = 0;
};

//! Send the caller its final answer or error.
struct DeliverAction
{
    CallId call = 0;
    Result<CallAnswer> outcome;
};

//! Remove the call from the queue, or cancel it at its endpoint when it was already sent.
struct AbortAction
{
    CallId call = 0;
};

//! Tell the endpoints to release the cache that they hold for a program.
struct ReleaseCacheAction
{
    ProgramId program{};
    std::set<EndpointId> endpoints{};
};

//! Query a service for the outcome of a call that ended as unknown. ProgramOwner::onOutcomeFound() takes the outcome when the service
//! knows it.
struct QueryOutcomeAction
{
    ProgramId program{};
    RequestId requestId{};
    std::string service{};
};

//! Something that the runtime has to do after a call to ProgramOwner.
using Action = std::variant<CommitAction, ReadyAction, DeliverAction, AbortAction, ReleaseCacheAction, QueryOutcomeAction>;
using Actions = std::vector<Action>;

} // namespace oleandergate

#endif
