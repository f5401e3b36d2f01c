#ifndef OLEANDERGATE_WIRE_ALLOWANCEMESSAGES_H
#define OLEANDERGATE_WIRE_ALLOWANCEMESSAGES_H

#include "decision/allowancedecision.h"
#include "decision/allowancerequest.h"

namespace oleandergate {

//! Carries an AllowanceRequest to the instance that issues the allowance. Answered by one AllowanceReply.
struct AllowanceQuery
{
    AllowanceRequest request{};
};

struct AllowanceReply
{
    AllowanceDecision decision{};
};

} // namespace oleandergate

#endif
