#ifndef OLEANDERGATE_DECISION_PATHPLAN_H
#define OLEANDERGATE_DECISION_PATHPLAN_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstdint>

namespace oleandergate {

//! How an attempt to open a connection to an endpoint ended.
enum class ReachOutcome : std::uint8_t {
    Connected,
    Refused, //!< Nothing listens at the address, or something on the way says so.
    TimedOut
};

inline constexpr std::array<NamedValue<ReachOutcome>, 3> reachOutcomeNames{{
    {ReachOutcome::Connected, "connected"},
    {ReachOutcome::Refused, "refused"},
    {ReachOutcome::TimedOut, "timed-out"},
}};

//! Ways to try for a new connection to an endpoint. The first one that is established is used. With neither, the endpoint is not to be reached now.
struct PathPlan
{
    bool direct = true;
    bool byPeer = true;
    Duration peerDelay{}; //!< The head start of the direct connection. A direct connection that fails ends it.
};

} // namespace oleandergate

#endif
