#include "decision/watcherselection.h"

#include "decision/hash.h"

namespace oleandergate {

namespace {

//! A peer whose latest read is older does not count as a watcher: watchers read about once a second.
constexpr Duration maxContactAge = std::chrono::milliseconds(2500);

//! The delay before an instance takes over is the minimum plus up to the spread.
constexpr Duration minDelay = std::chrono::milliseconds(100);
constexpr std::uint64_t delaySpreadMs = 1200;

} // namespace

WatcherSelection::WatcherSelection(const InstanceId &self, std::size_t watchers)
    : ownHash(hashOf(self))
    , watchers(watchers)
    , delay(minDelay + std::chrono::milliseconds(hashOf(self, 1) % delaySpreadMs))
{
}

bool WatcherSelection::isRankedBefore(const PeerReport &peer, Time now) const
{
    return now - peer.lastServiceContact <= maxContactAge && !peer.instance.leaving && hashOf(peer.instance.id) < this->ownHash;
}

bool WatcherSelection::shouldWatch(std::size_t rank, Time now)
{
    if (rank >= this->watchers) {
        this->watching = false;
        this->belowTarget = false;
        return false;
    }
    if (!this->watching && !this->belowTarget) {
        this->belowTarget = true;
        this->belowTargetSince = now;
    }
    this->watching = this->watching || now - this->belowTargetSince >= this->delay;
    return this->watching;
}

} // namespace oleandergate
