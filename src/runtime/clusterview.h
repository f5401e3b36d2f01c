#ifndef OLEANDERGATE_RUNTIME_CLUSTERVIEW_H
#define OLEANDERGATE_RUNTIME_CLUSTERVIEW_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/operatingmode.h"
#include "decision/peercontacttable.h"
#include "decision/slottable.h"

#include <map>
#include <mutex>
#include <optional>

namespace oleandergate {

//! This instance's view of the cluster: the other instances, the owners of the slots, and the times of the latest contact with the
//! key-value service and of the latest heartbeats. Thread-safe.
class ClusterView
{
public:
    ClusterView(InstanceId self, SlotId slotCount, Duration leaseLength);

    const InstanceId &self() const;
    SlotId slotCount() const;

    //! Replaces the known records by \p range, a complete read of the cluster's records.
    void load(const KvRange &range, Time now);

    //! Applies a change reported by a watch.
    void apply(const KvEvent &event, Time now);

    //! Stores a slot record that was read or written outside the watch.
    void putSlot(SlotId slot, const SlotRecord &record);

    //! Returns the owner of \p slot; nothing when the slot has no owner or the owner's record is gone.
    std::optional<InstanceRecord> ownerOf(SlotId slot) const;

    SlotRecord recordOf(SlotId slot) const;

    //! Returns the claims and releases of slots that this instance has to make.
    std::vector<SlotMove> plan(Time now) const;

    //! Returns the slots of \p owned that belong to another instance by now.
    std::vector<SlotId> lostAmong(const std::vector<SlotId> &owned) const;

    //! Returns the instances that have a record, this one included once it is registered.
    std::vector<InstanceRecord> instances() const;

    //! Records that a lease renewal sent at \p sentAt was confirmed.
    void recordLeaseRenewal(Time sentAt);

    //! Records that the key-value service answered at \p now.
    void recordServiceResponse(Time now);

    //! Records a heartbeat of \p peer, sent at \p sentAt by the peer's clock and received at \p now. The peer had last reached the key-value service
    //! \p serviceContactAge before it sent.
    void recordHeartbeat(const InstanceId &peer, Time sentAt, Duration serviceContactAge, Time now);

    //! Returns when the key-value service last answered this instance.
    Time lastServiceContact() const;

    OperatingMode operatingMode(Time now) const;

    //! Returns what the operating mode follows from.
    Connectivity connectivityAt(Time now) const;

private:
    void applyPair(const KvPair &pair, bool deleted, Time now);

    InstanceId ownId;
    SlotId totalSlots;
    mutable std::mutex mutex;
    SlotTable table;
    Connectivity connectivity; //!< Without what is known of the peers.
    PeerContactTable peerContacts;
    std::map<InstanceId, Time> lastHeartbeats;
};

//! Conversions between the records and the JSON stored in the key-value service.
std::string serializeInstance(const InstanceRecord &record);
std::string serializeSlot(const SlotRecord &record);
SlotRecord parseSlot(const KvPair &pair);

} // namespace oleandergate

#endif
