#include "decision/posture.h"

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
    if (!view.hasPeers) {
        return Posture::Outage;
    }
    if (now > view.peerHeard + view.leaseLength) {
        return Posture::Isolated;
    }
    // A peer that reached the service after this instance's lease began to lapse shows that the service is up.
    const bool servedOthers = view.peerReachedService > view.leaseConfirmed + safeLength;
    return servedOthers ? Posture::Isolated : Posture::Outage;
}

} // namespace oleandergate
