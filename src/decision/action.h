#ifndef OLEANDERGATE_DECISION_ACTION_H
#define OLEANDERGATE_DECISION_ACTION_H

#include "decision/callanswer.h"
#include "decision/error.h"
#include "decision/journalentry.h"

#include <set>
#include <variant>
#include <vector>

namespace oleandergate {

//! Write entries to a slot's journal; answered by onCommitted() or onCommitLost().
struct CommitAction
{
    CommitId ticket = 0;
    SlotId slot = 0;
    std::vector<JournalEntry> entries{};
};

//! The call may be queued for an endpoint.
struct ReadyAction
{
    CallId call = 0;
};

//! Give the caller its final answer.
struct DeliverAction
{
    CallId call = 0;
    Result<CallAnswer> outcome;
};

//! Take the call out of the queue, or cancel it at its endpoint.
struct AbortAction
{
    CallId call = 0;
};

//! Tell the endpoints to free what they hold for a program.
struct ReleaseAction
{
    ProgramId program{};
    std::set<EndpointId> endpoints{};
};

//! Ask a service what became of a call that ended as unknown; answered by onOutcomeFound(), if at all.
struct AskOutcomeAction
{
    ProgramId program{};
    RequestId requestId{};
    std::string service{};
};

//! What the runtime has to do after a decision.
using Action = std::variant<CommitAction, ReadyAction, DeliverAction, AbortAction, ReleaseAction, AskOutcomeAction>;
using Actions = std::vector<Action>;

} // namespace oleandergate

#endif
