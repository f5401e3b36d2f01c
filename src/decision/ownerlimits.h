#ifndef OLEANDERGATE_DECISION_OWNERLIMITS_H
#define OLEANDERGATE_DECISION_OWNERLIMITS_H

#include "decision/ids.h"
#include "decision/time.h"

namespace oleandergate {

//! Time limits and other bounds of a ProgramOwner.
struct OwnerLimits
{
    SlotId slotCount = 64;
    Duration orderTimeout = std::chrono::seconds(2); //!< Longest wait for a missing earlier call of the branch.
    Duration intentTimeout = std::chrono::milliseconds(1500); //!< Longest wait for the journal before sending.
    Duration outcomeTimeout = std::chrono::milliseconds(1500); //!< Longest wait for the journal before delivering.
    Duration outcomePollInterval = std::chrono::milliseconds(100); //!< Pause between checks of a commit that exceeded outcomeTimeout.
    Duration retryAfter = std::chrono::seconds(1); //!< Retry delay told to callers that are refused temporarily.
    Duration maxSendDelay = std::chrono::milliseconds(500); //!< Longest time from the decision to send to the first byte.
    std::size_t maxLiveCallsPerProgram = 64;
    std::size_t maxUnconfirmedTurns = 4096; //!< Turns of all programs that may be delivered before they are durable.
    std::uint32_t maxAttempts = 3;
    std::int64_t blocksPerBudget = 32; //!< A block is at least the budget divided by this number, unless less is left.
    Duration endedRetention = std::chrono::minutes(10); //!< How long an ended program's history stays readable.
};

} // namespace oleandergate

#endif
