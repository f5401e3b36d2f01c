#ifndef OLEANDERGATE_RUNTIME_CLUSTERVIEW_H
#define OLEANDERGATE_RUNTIME_CLUSTERVIEW_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/posture.h"
#include "decision/slottable.h"

#include <map>
#include <mutex>
#include <optional>

namespace oleandergate {

//! What this instance knows of the others and of who owns which slot. Thread-safe.
class ClusterView
{
public:
    ClusterView(InstanceId self, SlotId slotCount, Duration leaseLength);

    const InstanceId &self() const;
    SlotId slotCount() const;

    //! Replaces everything by a fresh reading of the cluster's records.
    void load(const KvRange &range, Time now);

    //! Applies one change that a watch reported.
    void apply(const KvEvent &event, Time now);

    //! Notes a slot's record read or written outside the watch.
    void putSlot(SlotId slot, const SlotRecord &record);

    std::optional<InstanceRecord> ownerOf(SlotId slot) const;
    SlotRecord recordOf(SlotId slot) const;
    std::vector<SlotMove> plan(Time now) const;
    std::vector<SlotId> lostAmong(const std::vector<SlotId> &owned) const;
    std::vector<InstanceRecord> instances() const;

    //! Notes that a lease renewal sent at \p sentAt was confirmed.
    void recordLeaseRenewal(Time sentAt);

    //! Notes that the key-value service answered.
    void recordServiceResponse(Time now);

    //! Notes a heartbeat of a peer that reached the service at \p reachedAt.
    void recordHeartbeat(const InstanceId &peer, Time reachedAt, Time now);

    Time serviceReached() const;
    Posture posture(Time now) const;

private:
    void applyPair(const KvPair &pair, bool deleted, Time now);

    InstanceId ownId;
    SlotId slots;
    mutable std::mutex mutex;
    SlotTable table;
    ReachView reach;
    std::map<InstanceId, Time> lastHeartbeats;
};

//! Stored form of the records.
std::string serializeInstance(const InstanceRecord &record);
std::string serializeSlot(const SlotRecord &record);
SlotRecord parseSlot(const KvPair &pair);

} // namespace oleandergate

#endif
