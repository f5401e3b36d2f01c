#ifndef OLEANDERGATE_DECISION_POSTURE_H
#define OLEANDERGATE_DECISION_POSTURE_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstdint>

namespace oleandergate {

//! What an instance may do, judged from its reach to the key-value service and to its peers.
enum class Posture : std::uint8_t {
    Normal, //!< The lease is valid.
    Outage, //!< The key-value service is down for everybody: repeatable work under known ownership goes on.
    Isolated //!< Peers still reach the service, or nobody is reached: others may take over, so nothing is sent.
};

//! Names of the postures.
inline constexpr std::array<NamedValue<Posture>, 3> postureNames{{
    {Posture::Normal, "normal"},
    {Posture::Outage, "outage"},
    {Posture::Isolated, "isolated"},
}};

//! What an instance knows about reach, in absolute times.
struct ReachView
{
    Time leaseConfirmed{}; //!< When the latest confirmed lease renewal was sent.
    Duration leaseLength{};
    Time peerHeard{}; //!< When the latest heartbeat of any peer came; the epoch when none ever did.
    Time peerReachedService{}; //!< Latest time at which any peer said it had reached the service.
    bool hasPeers = false; //!< False for a deployment of one instance.
};

//! Returns the posture at \p now.
Posture judgePosture(const ReachView &view, Time now);

} // namespace oleandergate

#endif
