#include "decision/posture.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Share of the lease after which the holder no longer relies on it.
constexpr int safeShareNumerator = 3;
constexpr int safeShareDenominator = 4;

} // namespace

Posture judgePosture(const ReachView &view, Time now)
{
    const Duration safeLength = view.leaseLength * safeShareNumerator / safeShareDenominator;
    if (now < view.leaseConfirmed + safeLength) {
        return Posture::Normal;
    }
    // A minority cannot tell an outage from being cut off.
    const bool majority = 2 * (view.peersFresh + 1) > view.peersKnown + 1;
    if (!majority) {
        return Posture::Isolated;
    }
    // Whoever reached the service after this lease had lapsed, or reaches it still, may have taken over.
    const Time reached = std::max(view.serviceReached, view.peerReachedService);
    const bool lapsedBefore = reached > view.leaseConfirmed + view.leaseLength;
    if (lapsedBefore || now <= reached + view.leaseLength) {
        return Posture::Isolated;
    }
    // Without peers there is no witness: the process may have been paused while an instance that it never saw took over.
    const bool allHeard = view.peersKnown > 0 && view.peersFresh == view.peersKnown;
    return allHeard ? Posture::Outage : Posture::PartialOutage;
}

} // namespace oleandergate
