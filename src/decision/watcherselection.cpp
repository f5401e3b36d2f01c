#include "decision/watcherselection.h"

#include "decision/hash.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! A peer whose latest read is older does not count as a watcher: watchers read about once a second.
constexpr Duration maxContactAge = std::chrono::milliseconds(2500);

//! The delay before an instance takes over is the minimum plus up to the spread.
constexpr Duration minDelay = std::chrono::milliseconds(100);
constexpr std::uint64_t delaySpreadMs = 1200;

} // namespace

WatcherSelection::WatcherSelection(InstanceId self, std::size_t watchers)
    : self(std::move(self))
    , watchers(watchers)
    , delay(minDelay + std::chrono::milliseconds(hashOf(this->self, 1) % delaySpreadMs))
{
}

bool WatcherSelection::shouldWatch(const std::vector<PeerReport> &livePeers, Time now)
{
    const std::uint64_t own = hashOf(this->self);
    const auto lowerRanked = static_cast<std::size_t>(std::count_if(livePeers.begin(), livePeers.end(), [own, now](const PeerReport &peer) {
        return now - peer.lastServiceContact <= maxContactAge && hashOf(peer.instance.id) < own && !peer.instance.leaving;
    }));
    if (lowerRanked >= this->watchers) {
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
