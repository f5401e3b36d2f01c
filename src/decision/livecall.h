#ifndef OLEANDERGATE_DECISION_LIVECALL_H
#define OLEANDERGATE_DECISION_LIVECALL_H

#include "decision/callanswer.h"
#include "decision/callrequest.h"

#include <optional>
#include <set>
#include <vector>

namespace oleandergate {

//! Life of a call at its owner.
enum class CallPhase : std::uint8_t {
    Waiting, //!< For earlier calls of its branch.
    Journalling, //!< For its intent or a budget block to be durable.
    Ready, //!< For an endpoint.
    Sent, //!< For the endpoint's answer.
    Settling //!< For its outcome to be durable.
};

//! One call under way at its owner.
struct LiveCall
{
    CallId id = 0;
    CallRequest request{};
    CallPhase phase = CallPhase::Waiting;
    Time phaseSince{};
    std::uint32_t attempts = 0; //!< Attempts that may have reached an endpoint.
    std::uint32_t lostAttempts = 0; //!< Failed attempts that may have run; each is paid for at its full reserve.
    MicroUnits reserved = 0; //!< Held in the program's usable budget.
    CommitId ticket = 0;
    std::uint64_t sequence = 0;
    bool automatic = false; //!< The caller left the sequence to the owner.
    EndpointId endpoint{};
    std::set<EndpointId> triedEndpoints{};
    bool abandoned = false; //!< The caller already has its final answer.
    bool intentWritten = false;
    bool markedSent = false; //!< This submission was the first that may have reached an endpoint.
    std::optional<CallAnswer> answer{};
    std::vector<CallId> followers{}; //!< Repeated submissions of the same request.
};

} // namespace oleandergate

#endif
