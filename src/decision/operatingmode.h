#ifndef OLEANDERGATE_DECISION_OPERATINGMODE_H
#define OLEANDERGATE_DECISION_OPERATINGMODE_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstddef>
#include <cstdint>

namespace oleandergate {

//! What an instance is allowed to do, given its connectivity to the key-value service and to its peers.
enum class OperatingMode : std::uint8_t {
    Normal, //!< The lease is valid.
    Outage, //!< The key-value service is down for all instances: repeatable work in slots with a known owner continues.
    PartialOutage, //!< As Outage, but it is unknown what unreachable instances did meanwhile: only a majority is reachable, or no peer is known.
    Isolated //!< Other instances may have taken over the slots, so nothing is sent.
};

//! Names of the modes in the status document.
inline constexpr std::array<NamedValue<OperatingMode>, 4> operatingModeNames{{
    {OperatingMode::Normal, "normal"},
    {OperatingMode::Outage, "outage"},
    {OperatingMode::PartialOutage, "partial-outage"},
    {OperatingMode::Isolated, "isolated"},
}};

//! Returns true when no other known instance can own the slots of this one.
constexpr bool isSoleOwner(OperatingMode mode)
{
    return mode == OperatingMode::Normal || mode == OperatingMode::Outage;
}

//! Connectivity of an instance to the key-value service and to its peers.
struct Connectivity
{
    Time leaseConfirmed{}; //!< Send time of the latest confirmed lease renewal.
    Duration leaseLength{};
    Time lastServiceContact{}; //!< When the key-value service last answered this instance.
    Time lastPeerServiceContact{}; //!< Latest time at which the key-value service answered any peer, as reported by the peers.
    std::size_t knownPeers = 0; //!< Number of other instances.
    std::size_t livePeers = 0; //!< Number of other instances whose heartbeat arrived within the lease length.
};

//! Returns the operating mode at \p now.
OperatingMode determineMode(const Connectivity &connectivity, Time now);

} // namespace oleandergate

#endif
