#ifndef OLEANDERGATE_DECISION_SLOTTABLE_H
#define OLEANDERGATE_DECISION_SLOTTABLE_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! Ownership record of a slot in the key-value service.
struct SlotRecord
{
    InstanceId owner{}; //!< Empty when the slot was released and not yet claimed.
    std::uint64_t epoch = 0; //!< Increases with every new owner; the fencing number of the slot's calls.
    std::uint64_t revision = 0; //!< Revision of the record in the key-value service; 0 when it does not exist.
    bool unused = false; //!< No owner has granted an unrecorded share in the slot, nor may until this is false.
};

//! Record of a live instance in the key-value service, bound to the instance's lease.
struct InstanceRecord
{
    InstanceId id{}; //!< Unique across restarts.
    std::string peerAddress{}; //!< Address and port for messages from other instances.
    std::string domain{}; //!< Failure domain.
    bool leaving = false; //!< The instance is draining and hands its slots over.
};

//! A change of ownership to write.
struct SlotMove
{
    enum class Kind : std::uint8_t { Claim, Release };
    Kind kind = Kind::Claim;
    SlotId slot = 0;
    SlotRecord expected{}; //!< The write is applied only if the slot still has this record.
};

//! Decides which slots this instance should claim and which it should hand over.
class SlotTable
{
public:
    SlotTable(InstanceId self, SlotId slotCount);

    void putSlot(SlotId slot, const SlotRecord &record);
    void putInstance(const InstanceRecord &record, Time now);
    void removeInstance(const InstanceId &id);

    //! Removes all slot and instance records before they are read again.
    void clear();

    //! Returns the record of the live instance that owns \p slot, or nullptr.
    const InstanceRecord *ownerOf(SlotId slot) const;

    const SlotRecord &recordOf(SlotId slot) const;

    //! Returns the live instance that should own \p slot: the one with the highest rendezvous hash among those not leaving.
    //! Empty when there is none.
    const InstanceId &preferredOwner(SlotId slot) const;

    //! Returns the ownership changes that this instance should make at \p now. Hysteresis delays hand-overs to instances that just joined.
    std::vector<SlotMove> plan(Time now) const;

    //! Returns those of \p owned that now have another owner, for example because this instance was paused past its lease.
    std::vector<SlotId> lostAmong(const std::vector<SlotId> &owned) const;

    std::vector<InstanceRecord> instances() const;
    const InstanceRecord *findInstance(const InstanceId &id) const;
    bool isLive(const InstanceId &id) const;

private:
    struct Member
    {
        InstanceRecord record{};
        Time liveSince{};
    };

    //! The instance with the highest rendezvous hash for a slot, updated as instances join and leave.
    struct Preferred
    {
        InstanceId instance{};
        std::uint64_t weight = 0;
    };

    void addCandidate(const InstanceId &id);
    void removeCandidate(const InstanceId &id);

    InstanceId self;
    std::vector<Preferred> preferred;
    std::vector<SlotRecord> slots;
    std::map<InstanceId, Member> members;
};

} // namespace oleandergate

#endif
