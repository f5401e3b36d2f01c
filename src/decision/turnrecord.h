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
    std::uint64_t keptMessages = 0; //!< Number of leading messages shared with the branch's previous model turn.
    std::vector<std::string> newMessages{}; //!< Messages after the kept ones; for services the request body.
    Executed executed = Executed::Yes; //!< Unknown when no answer was received.
    CallAnswer answer{};
    std::uint64_t chain = 0; //!< Hash over this turn and the previous turn's chain value.
};

//! Returns the chain value of \p turn after a turn with the chain value \p previous.
std::uint64_t chainOf(const TurnRecord &turn, std::uint64_t previous);

} // namespace oleandergate

#endif
