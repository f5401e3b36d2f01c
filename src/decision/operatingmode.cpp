#include "decision/operatingmode.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Share of the lease after which the holder no longer relies on it.
constexpr int safeShareNumerator = 3;
constexpr int safeShareDenominator = 4;

} // namespace

OperatingMode determineMode(const Connectivity &connectivity, Time now)
{
    const Duration safeLength = connectivity.leaseLength * safeShareNumerator / safeShareDenominator;
    if (now < connectivity.leaseConfirmed + safeLength) {
        return OperatingMode::Normal;
    }
    // A minority cannot tell an outage from being cut off.
    const bool majority = 2 * (connectivity.livePeers + 1) > connectivity.knownPeers + 1;
    if (!majority) {
        return OperatingMode::Isolated;
    }
    // Whoever reached the service after this lease had lapsed, or reaches it still, may have taken over.
    const Time reached = std::max(connectivity.lastServiceContact, connectivity.lastPeerServiceContact);
    const bool expiredBefore = reached > connectivity.leaseConfirmed + connectivity.leaseLength;
    if (expiredBefore || now <= reached + connectivity.leaseLength) {
        return OperatingMode::Isolated;
    }
    // Without peers there is no witness: the process may have been paused while an instance that it never saw took over.
    const bool allPeersLive = connectivity.knownPeers > 0 && connectivity.livePeers == connectivity.knownPeers;
    return allPeersLive ? OperatingMode::Outage : OperatingMode::PartialOutage;
}

} // namespace oleandergate
