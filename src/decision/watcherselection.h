#ifndef OLEANDERGATE_DECISION_WATCHERSELECTION_H
#define OLEANDERGATE_DECISION_WATCHERSELECTION_H

#include "decision/peertable.h"

namespace oleandergate {

//! Decides whether this instance watches the key-value service itself or learns of changes from peers that do.
//!
//! The service counts each waiting watch, and each change wakes every one of them. So a few instances watch: those of the
//! lowest rank, a hash of the identifier, among the live ones whose readings are fresh. Who finds too few of them begins to
//! watch after a delay of its own, so that one takes over and not all.
class WatcherSelection
{
public:
    //! \p watchers instances watch.
    WatcherSelection(InstanceId self, std::size_t watchers);

    //! Returns true when this instance is to watch.
    bool shouldWatch(const std::vector<PeerReport> &livePeers, Time now);

private:
    InstanceId self;
    std::size_t watchers;
    Duration delay;
    bool watching = true;
    Time belowTargetSince{};
    bool belowTarget = false;
};

} // namespace oleandergate

#endif
