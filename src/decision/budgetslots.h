#ifndef OLEANDERGATE_DECISION_BUDGETSLOTS_H
#define OLEANDERGATE_DECISION_BUDGETSLOTS_H

#include "decision/slottable.h"

#include <map>
#include <optional>
#include <set>

namespace oleandergate {

//! Tracks which instance owns the token budgets of each slot's programs, and whether this instance may grant unrecorded shares:
//! tokens that are granted without a record in the key-value service (see TokenLedger).
//!
//! Slot records in the key-value service are written by compare-and-swap and are never deleted. An owner without a ledger entry
//! for a program grants the program's unrecorded share only if no earlier owner granted any in the slot, if it
//! received the slot together with the previous owner's ledger entries, or if it has owned the slot for so long that every
//! program of an earlier owner has ended.
//!
//! Whether an earlier owner granted any stands in the slot's record: it is unused until an owner has written, by compare-and-swap, that
//! it is used. An owner does so before its first grant and grants only after the write is confirmed, so that a claim which finds the
//! record unused has a slot in which nothing was granted nor will be by others. Records of builds without the mark count as used.
class BudgetSlots
{
public:
    struct Limits
    {
        SlotId slotCount = 64;
        Duration recordReadTimeout{}; //!< Unrecorded shares are not granted when the last read is older and other instances may reach the service.
        Duration programRetention{}; //!< How long an idle program may pause between two turns, until setProgramRetention() is called.
        Duration isolationDelay{}; //!< Wait before slots are claimed without live peers, or from an owner unknown to this process.
        Duration membershipSettleTime{}; //!< How long the members must be unchanged before slots without a record are claimed.
    };

    BudgetSlots(InstanceId self, const Limits &limits);

    SlotId slotCount() const;
    SlotId slotOf(const ProgramId &program) const;

    //! Applies the record of \p slot as read from the key-value service. A record older than the known one is ignored.
    void onRecord(SlotId slot, const SlotRecord &record, Time now);

    //! Sets how long an idle program may pause between two turns. Slots in which unrecorded shares may be granted already stay so.
    void setProgramRetention(Duration retention, Time now);

    //! Notes that all slot records were read at \p now.
    void onRecordsRead(Time now);

    //! Sets the live instances, including this one.
    void onMembers(const std::vector<InstanceRecord> &members, Time now);

    //! Returns the slots that this instance should claim or hand over at \p now.
    std::vector<SlotMove> plan(Time now) const;

    //! Returns the instance to hand \p slot over to; empty when there is none.
    InstanceId successorOf(SlotId slot) const;

    //! Notes that \p slot is handed over together with the previous owner's ledger entries, before onRecord() with the new
    //! record. Unrecorded shares may be granted from \p unrecordedShareFrom on.
    void onHandoverReceived(SlotId slot, Time unrecordedShareFrom);

    //! Notes that this instance hands \p slot over and no longer decides for its programs.
    void onReleased(SlotId slot);

    bool ownsSlot(SlotId slot) const;

    //! Returns the newest known record of \p slot.
    const SlotRecord &recordOf(SlotId slot) const;

    //! Returns the time from which this instance may grant unrecorded shares to programs of \p slot without a ledger entry;
    //! Time::max() when it does not own the slot.
    Time unrecordedShareFrom(SlotId slot) const;

    //! Returns true when this instance may grant unrecorded shares in \p slot as soon as the slot's record says that it is used.
    bool mustMarkUsed(SlotId slot, bool mayPeersReachLater, Time now) const;

    //! Returns the records of the owned slots that are unused.
    std::map<SlotId, SlotRecord> unusedSlots() const;

    //! Returns true when this instance may grant unrecorded shares in \p slot at \p now. \p mayPeersReachLater tells whether
    //! another instance may have reached the key-value service after recordsReadAt(), and have taken the slot.
    bool mayGrantUnrecordedShare(SlotId slot, bool mayPeersReachLater, Time now) const;

    //! Returns when all slot records were last read.
    Time recordsReadAt() const;

    std::set<SlotId> ownedSlots() const;

private:
    //! Returns how long an earlier owner and its programs may go on behind the end of its ownership.
    Duration formerOwnerTime() const;
    bool sharesAreDue(SlotId slot, bool mayPeersReachLater, Time now) const;
    bool mayClaim(const SlotMove &move, Time now) const;

    InstanceId self;
    Limits limits;
    SlotTable table;
    std::map<SlotId, std::optional<Time>> owned; //!< When an earlier owner that may have granted unrecorded shares ceased to own the slot, by owned slot;
                                                 //!< nothing if there is none that counts.
    std::map<SlotId, std::optional<Time>> received; //!< The same for slots that were handed over and whose new record was not read yet.
    std::set<SlotId> released; //!< Slots handed over whose record still names this instance.
    std::set<InstanceId> members;
    Time lastRecordsRead{};
    Time withoutPeersSince{};
    bool withoutPeers = true;
    Time membersFirstKnownAt{}; //!< When onMembers() was first called.
    Time membersChangedAt{}; //!< When the members last changed.
    std::set<InstanceId> everSeen; //!< Every instance that was a member since the start of this process.
    std::multiset<std::string> memberNames; //!< Names of the member instances, one for each: their ids without the suffix that differs for each process.
};

} // namespace oleandergate

#endif
