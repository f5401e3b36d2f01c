#ifndef OLEANDERGATE_DECISION_POSTURE_H
#define OLEANDERGATE_DECISION_POSTURE_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstddef>
#include <cstdint>

namespace oleandergate {

//! What an instance may do, judged from its reach to the key-value service and to its peers.
enum class Posture : std::uint8_t {
    Normal, //!< The lease is valid.
    Outage, //!< The key-value service is down for everybody: repeatable work under known ownership goes on.
    PartialOutage, //!< As Outage for a majority, but what the other known instances did meanwhile is not known.
    Isolated //!< Others may have taken over, so nothing is sent.
};

//! Names of the postures.
inline constexpr std::array<NamedValue<Posture>, 4> postureNames{{
    {Posture::Normal, "normal"},
    {Posture::Outage, "outage"},
    {Posture::PartialOutage, "partial-outage"},
    {Posture::Isolated, "isolated"},
}};

//! Returns true when no other known instance can own what this one does.
constexpr bool isSoleOwner(Posture posture)
{
    return posture == Posture::Normal || posture == Posture::Outage;
}

//! What an instance knows about reach, in absolute times.
struct ReachView
{
    Time leaseConfirmed{}; //!< When the latest confirmed lease renewal was sent.
    Duration leaseLength{};
    Time serviceReached{}; //!< When the key-value service last answered this instance.
    Time peerReachedService{}; //!< Latest time at which any peer said it had reached the service.
    std::size_t peersKnown = 0; //!< Other instances.
    std::size_t peersFresh = 0; //!< Those whose heartbeat came within a lease.
};

//! Returns the posture at \p now.
Posture judgePosture(const ReachView &view, Time now);

} // namespace oleandergate

#endif
