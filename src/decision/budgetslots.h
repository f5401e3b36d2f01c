#ifndef OLEANDERGATE_DECISION_BUDGETSLOTS_H
#define OLEANDERGATE_DECISION_BUDGETSLOTS_H

#include "decision/slottable.h"

#include <map>
#include <set>

namespace oleandergate {

//! Which instance keeps the budgets of a slot's programs, and whether it may give out free shares.
//!
//! Records of slots are written by compare-and-swap and are never deleted. The free share of a program that the keeper does
//! not know is given out only by the first keeper of a slot, by one that got the slot with the book of the keeper before,
//! and by one that has kept it for so long that every program of an earlier keeper has ended.
class BudgetSlots
{
public:
    struct Limits
    {
        SlotId slotCount = 64;
        Duration confirmationTimeout{}; //!< How long a record may be unconfirmed while other instances reach the service.
        Duration programRetention{}; //!< How long a program may stay away and return.
        Duration isolationDelay{}; //!< How long an instance waits before it claims while it hears no peer, or from an owner it never heard.
        Duration membershipSettleTime{}; //!< How long the members have to stay the same before slots that nobody ever owned are claimed.
    };

    BudgetSlots(InstanceId self, const Limits &limits);

    SlotId slotCount() const;
    SlotId slotOf(const ProgramId &program) const;

    //! Takes the record of a slot as it stands in the key-value service.
    void onRecord(SlotId slot, const SlotRecord &record, Time now);

    //! All records were read at \p now.
    void onConfirmed(Time now);

    //! Takes the instances that are alive, this one included.
    void onMembers(const std::vector<InstanceRecord> &members, Time now);

    //! Returns the slots to claim or to hand over now.
    std::vector<SlotMove> plan(Time now) const;

    //! Returns whom to hand \p slot to; empty when nobody is there.
    InstanceId successorOf(SlotId slot) const;

    //! A slot came with its former keeper's book; free shares are given out from \p unrecordedShareFrom on.
    void onHandoverReceived(SlotId slot, Time unrecordedShareFrom);

    //! This instance gives \p slot away and decides nothing for it any more.
    void onReleased(SlotId slot);

    bool ownsSlot(SlotId slot) const;

    //! Returns when this instance may begin to give out free shares of the slot's unknown programs.
    Time unrecordedShareFrom(SlotId slot) const;

    //! Returns true when this instance may give out free shares in \p slot. \p peerReachedLater says that another instance
    //! reached the service after this one's latest confirmation.
    bool mayGrantUnrecordedShare(SlotId slot, bool peerReachedLater, Time now) const;

    Time confirmedAt() const;

    std::set<SlotId> ownedSlots() const;

private:
    bool mayClaim(const SlotMove &move, Time now) const;

    InstanceId self;
    Limits limits;
    SlotTable table;
    std::map<SlotId, Time> owned; //!< With when free shares may be given out.
    std::map<SlotId, Time> received;
    std::set<SlotId> released;
    std::set<InstanceId> members;
    Time lastConfirmed{};
    Time withoutPeersSince{};
    bool withoutPeers = true;
    Time membersFirstKnownAt{}; //!< When members were first told.
    Time membersChangedAt{}; //!< When the members changed last.
    std::set<InstanceId> everSeen; //!< Every member since the start.
    std::set<std::string> memberNames; //!< Names of the members, without what tells one process of an instance from the next.
};

} // namespace oleandergate

#endif
