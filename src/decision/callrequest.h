#ifndef OLEANDERGATE_DECISION_CALLREQUEST_H
#define OLEANDERGATE_DECISION_CALLREQUEST_H

#include "decision/callkind.h"
#include "decision/ids.h"
#include "decision/time.h"

#include <string>
#include <vector>

namespace oleandergate {

//! One call of a program, as submitted to the program's owner.
struct CallRequest
{
    RequestId requestId; //!< The caller's idempotency key.
    ProgramId program;
    OrganisationId organisation;
    std::string branch; //!< Empty for the main branch, otherwise the sub-agent's name.
    std::uint64_t sequence = 0; //!< Position in the branch from 1; 0 takes the next free one.
    CallKind kind = CallKind::Model;
    bool repeatable = true; //!< The call is idempotent: it may run more than once.
    std::string target; //!< Model or service name.
    std::string path; //!< Path below the service's root; unused for models.
    std::string body; //!< Body to send, unchanged.
    std::vector<std::string> messages{}; //!< Model calls: the conversation, one JSON text each.
    std::uint64_t digest = 0; //!< Hash over kind, target, path and body.
    bool streaming = false;
    Tokens promptTokens = 0; //!< Estimated.
    Tokens maxTokens = 0; //!< Upper bound on generated tokens.
    MicroUnits reserve = 0; //!< Upper bound on the price of one attempt.
    Time deadline{};
};

} // namespace oleandergate

#endif
