#include "decision/operatingmode.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! The holder relies on its lease for this share of its length.
constexpr int safeShareNumerator = 3;
constexpr int safeShareDenominator = 4;

} // namespace

OperatingMode determineMode(const Connectivity &connectivity, Time now)
{
    const Duration safeLength = connectivity.leaseLength * safeShareNumerator / safeShareDenominator;
    if (now < connectivity.leaseConfirmed + safeLength) {
        return OperatingMode::Normal;
    }
    // A minority cannot distinguish an outage of the key-value service from a network partition.
    const bool majority = 2 * (connectivity.livePeers + 1) > connectivity.knownPeers + 1;
    if (!majority) {
        return OperatingMode::Isolated;
    }
    // An instance that reached the service after this lease had expired, or still reaches it, may have taken over the slots.
    const Time reached = std::max(connectivity.lastServiceContact, connectivity.lastPeerServiceContact);
    const bool expiredBefore = reached > connectivity.leaseConfirmed + connectivity.leaseLength;
    if (expiredBefore || now <= reached + connectivity.leaseLength) {
        return OperatingMode::Isolated;
    }
    // Without peers nothing confirms the outage: this process may have been paused while an unknown instance took over.
    const bool allPeersLive = connectivity.knownPeers > 0 && connectivity.livePeers == connectivity.knownPeers;
    return allPeersLive ? OperatingMode::Outage : OperatingMode::PartialOutage;
}

} // namespace oleandergate
