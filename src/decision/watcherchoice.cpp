#include "decision/watcherchoice.h"

#include "decision/hash.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! A reading that is older does not count: a watching instance rereads about once a second.
constexpr Duration freshReading = std::chrono::milliseconds(2500);

//! Shortest and longest delay before an instance takes over.
constexpr Duration leastDelay = std::chrono::milliseconds(100);
constexpr std::uint64_t delaySpreadMs = 1200;

} // namespace

WatcherChoice::WatcherChoice(InstanceId self, std::size_t watchers)
    : self(std::move(self))
    , watchers(watchers)
    , delay(leastDelay + std::chrono::milliseconds(hashOf(this->self, 1) % delaySpreadMs))
{
}

bool WatcherChoice::decide(const std::vector<PeerNews> &livePeers, Time now)
{
    const std::uint64_t own = hashOf(this->self);
    const auto ahead = static_cast<std::size_t>(std::count_if(livePeers.begin(), livePeers.end(), [own, now](const PeerNews &peer) {
        return now - peer.serviceReached <= freshReading && hashOf(peer.instance.id) < own && !peer.instance.leaving;
    }));
    if (ahead >= this->watchers) {
        this->watching = false;
        this->missing = false;
        return false;
    }
    if (!this->watching && !this->missing) {
        this->missing = true;
        this->missingSince = now;
    }
    this->watching = this->watching || now - this->missingSince >= this->delay;
    return this->watching;
}

} // namespace oleandergate
