#ifndef OLEANDERGATE_DECISION_TURNRECORD_H
#define OLEANDERGATE_DECISION_TURNRECORD_H

#include "decision/callanswer.h"
#include "decision/callkind.h"
#include "decision/executed.h"

#include <string>
#include <vector>

namespace oleandergate {

//! One ended call in a program's history.
struct TurnRecord
{
    RequestId requestId{};
    std::string branch{};
    std::uint64_t sequence = 0;
    std::uint64_t digest = 0;
    CallKind kind = CallKind::Model;
    std::string target{};
    std::uint64_t keptMessages = 0; //!< Leading messages shared with the branch's previous model turn.
    std::vector<std::string> newMessages{}; //!< Messages behind the kept ones; the request body for services.
    Executed ran = Executed::Yes; //!< Unknown when the endpoint's answer never came.
    CallAnswer answer{};
    std::uint64_t chain = 0; //!< Hash over this turn and the chain value of the turn before it.
};

//! Returns the chain value of \p turn behind \p previous.
std::uint64_t chainOf(const TurnRecord &turn, std::uint64_t previous);

} // namespace oleandergate

#endif
