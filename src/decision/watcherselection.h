#ifndef OLEANDERGATE_DECISION_WATCHERSELECTION_H
#define OLEANDERGATE_DECISION_WATCHERSELECTION_H

#include "decision/peertable.h"

namespace oleandergate {

//! Decides whether this instance watches the key-value service itself or receives changes from peers that do.
//!
//! Each open watch is load for the service, and each change wakes all of them. Therefore only a few instances watch: those with the
//! lowest hash of the identifier among the live instances that have read from the service recently. An instance that finds too few
//! of them starts to watch after a delay that depends on its identifier, so that not all take over at once.
class WatcherSelection
{
public:
    //! \p watchers is the number of instances that watch.
    WatcherSelection(const InstanceId &self, std::size_t watchers);

    //! Returns whether \p peer is to watch rather than this instance.
    bool isRankedBefore(const PeerReport &peer, Time now) const;

    //! Returns true when this instance should watch. \p rank is the number of live peers that are ranked before it.
    bool shouldWatch(std::size_t rank, Time now);

private:
    std::uint64_t ownHash;
    std::size_t watchers;
    Duration delay;
    bool watching = true;
    Time belowTargetSince{};
    bool belowTarget = false;
};

} // namespace oleandergate

#endif
