#ifndef OLEANDERGATE_DECISION_SLOTTABLE_H
#define OLEANDERGATE_DECISION_SLOTTABLE_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! Who owns a slot, as the key-value service holds it.
struct SlotRecord
{
    InstanceId owner{}; //!< Empty when the slot was given up and nobody took it yet.
    std::uint64_t epoch = 0; //!< Grows with every change of owner; the fencing number of the slot's calls.
    std::uint64_t revision = 0; //!< Revision of the record in the key-value service; 0 when it does not exist.
};

//! A live instance, as the key-value service holds it under the instance's lease.
struct InstanceRecord
{
    InstanceId id{}; //!< Unique over restarts.
    std::string peerAddress{}; //!< Address and port for messages of other instances.
    std::string domain{}; //!< Failure domain.
    bool leaving = false;
};

//! A change of ownership to write.
struct SlotMove
{
    enum class Kind : std::uint8_t { Claim, Release };
    Kind kind = Kind::Claim;
    SlotId slot = 0;
    SlotRecord expected{}; //!< The record that the write must find unchanged.
};

//! Decides which slots this instance should claim and which it should hand over.
class SlotTable
{
public:
    SlotTable(InstanceId self, SlotId slotCount);

    void putSlot(SlotId slot, const SlotRecord &record);
    void putInstance(const InstanceRecord &record, Time now);
    void removeInstance(const InstanceId &id);

    //! Forgets everything, ahead of a fresh reading.
    void clear();

    //! Returns the owner's record when a live instance owns \p slot.
    const InstanceRecord *ownerOf(SlotId slot) const;

    const SlotRecord &recordOf(SlotId slot) const;

    //! Returns the live instance that should own \p slot: the highest random weight among those not leaving.
    const InstanceId &preferredOwner(SlotId slot) const;

    //! Returns the changes this instance should make now. Hysteresis delays handing over to instances that just arrived.
    std::vector<SlotMove> plan(Time now) const;

    //! Returns those of \p owned that now belong to another instance: this one was paused and did not notice.
    std::vector<SlotId> lostAmong(const std::vector<SlotId> &owned) const;

    std::vector<InstanceRecord> instances() const;
    const InstanceRecord *findInstance(const InstanceId &id) const;
    bool isLive(const InstanceId &id) const;

private:
    struct Member
    {
        InstanceRecord record{};
        Time since{};
    };

    //! The instance with the highest weight for a slot, kept up to date as instances come and go.
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
