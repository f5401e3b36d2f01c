#ifndef OLEANDERGATE_DECISION_OPERATINGMODE_H
#define OLEANDERGATE_DECISION_OPERATINGMODE_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstddef>
#include <cstdint>

namespace oleandergate {

//! What an instance may do, judged from its reach to the key-value service and to its peers.
enum class OperatingMode : std::uint8_t {
    Normal, //!< The lease is valid.
    Outage, //!< The key-value service is down for everybody: repeatable work under known ownership goes on.
    PartialOutage, //!< As Outage for a majority, but what the other known instances did meanwhile is not known.
    Isolated //!< Others may have taken over, so nothing is sent.
};

//! Names of the postures.
inline constexpr std::array<NamedValue<OperatingMode>, 4> operatingModeNames{{
    {OperatingMode::Normal, "normal"},
    {OperatingMode::Outage, "outage"},
    {OperatingMode::PartialOutage, "partial-outage"},
    {OperatingMode::Isolated, "isolated"},
}};

//! Returns true when no other known instance can own what this one does.
constexpr bool isSoleOwner(OperatingMode mode)
{
    return mode == OperatingMode::Normal || mode == OperatingMode::Outage;
}

//! What an instance knows about reach, in absolute times.
struct Connectivity
{
    Time leaseConfirmed{}; //!< When the latest confirmed lease renewal was sent.
    Duration leaseLength{};
    Time lastServiceContact{}; //!< When the key-value service last answered this instance.
    Time lastPeerServiceContact{}; //!< Latest time at which any peer said it had reached the service.
    std::size_t knownPeers = 0; //!< Other instances.
    std::size_t livePeers = 0; //!< Those whose heartbeat came within a lease.
};

//! Returns the posture at \p now.
OperatingMode determineMode(const Connectivity &connectivity, Time now);

} // namespace oleandergate

#endif
