#ifndef OLEANDERGATE_DECISION_LIVECALL_H
#define OLEANDERGATE_DECISION_LIVECALL_H

#include "decision/callanswer.h"
#include "decision/callrequest.h"

#include <optional>
#include <set>
#include <vector>

namespace oleandergate {

//! State of a call at its owner.
enum class CallPhase : std::uint8_t {
    Waiting, //!< Waits for earlier calls of its branch.
    JournallingBeforeSend, //!< Waits for its intent or a budget block to become durable.
    Ready, //!< Waits for an endpoint.
    Sent, //!< Waits for the endpoint's answer.
    JournallingOutcome //!< Waits for its outcome to become durable.
};

//! One call in progress at its owner.
struct LiveCall
{
    CallId id = 0;
    CallRequest request{};
    CallPhase phase = CallPhase::Waiting;
    Time phaseSince{};
    std::uint32_t attempts = 0; //!< Attempts that may have reached an endpoint.
    std::uint32_t chargedAttempts = 0; //!< Failed attempts that may have run; each is charged at its full reserve.
    MicroUnits reserved = 0; //!< Taken from the program's usable budget for this call.
    CommitId commitId = 0;
    std::uint64_t sequence = 0;
    bool autoSequence = false; //!< The request names no sequence, so the owner assigns the next free one.
    EndpointId endpoint{};
    std::set<EndpointId> triedEndpoints{};
    bool callerAnswered = false; //!< The caller already has its final answer or error.
    bool intentWritten = false; //!< An intent was submitted to the journal and not voided.
    bool firstMaybeSent = false; //!< This submission is the first of its request that may have reached an endpoint.
    std::optional<CallAnswer> answer{};
    std::vector<CallId> duplicates{}; //!< Repeated submissions of the same request; they get the same answer.
};

} // namespace oleandergate

#endif
