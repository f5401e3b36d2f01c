#include "decision/turnrecord.h"

#include "decision/hash.h"

namespace oleandergate {

std::uint64_t chainOf(const TurnRecord &turn, std::uint64_t previous)
{
    std::uint64_t chain = hashOf(turn.requestId, previous);
    chain = hashOf(turn.branch, chain);
    chain = hashOf(std::to_string(turn.sequence), chain);
    chain = hashOf(std::to_string(turn.digest), chain);
    chain = hashOf(turn.target, chain);
    for (const std::string &message : turn.newMessages) {
        chain = hashOf(message, chain);
    }
    chain = hashOf(executedName(turn.executed), chain);
    return hashOf(turn.answer.body, chain);
}

} // namespace oleandergate
