#include "decision/budgetslots.h"

#include "decision/hash.h"

namespace oleandergate {

namespace {

//! Identifiers of processes are the instance's name, a tilde and what tells one process from the next.
std::string nameOf(const InstanceId &id)
{
    return id.substr(0, id.find('~'));
}

} // namespace

BudgetSlots::BudgetSlots(InstanceId self, const Limits &limits)
    : self(std::move(self))
    , limits(limits)
    , table(this->self, limits.slotCount)
{
}

SlotId BudgetSlots::slotCount() const
{
    return this->limits.slotCount;
}

SlotId BudgetSlots::slotOf(const ProgramId &program) const
{
    return oleandergate::slotOf(program, this->limits.slotCount);
}

void BudgetSlots::onRecord(SlotId slot, const SlotRecord &record, Time now)
{
    if (slot >= this->limits.slotCount || record.revision < this->table.recordOf(slot).revision) {
        return;
    }
    this->table.putSlot(slot, record);
    if (record.owner != this->self) {
        this->kept.erase(slot);
        this->givenAway.erase(slot);
        return;
    }
    if (this->kept.contains(slot) || this->givenAway.contains(slot)) {
        return;
    }
    const auto came = this->received.find(slot);
    if (record.epoch == 1) {
        this->kept[slot] = now;
    } else if (came != this->received.end()) {
        this->kept[slot] = came->second;
    } else {
        this->kept[slot] = now + this->limits.confirmation + this->limits.retention;
    }
    this->received.erase(slot);
}

void BudgetSlots::onConfirmed(Time now)
{
    this->confirmed = now;
}

void BudgetSlots::onMembers(const std::vector<InstanceRecord> &records, Time now)
{
    std::set<InstanceId> present;
    this->names.clear();
    for (const InstanceRecord &record : records) {
        present.insert(record.id);
        this->heard.insert(record.id);
        this->names.insert(nameOf(record.id));
        this->table.putInstance(record, now);
    }
    for (const InstanceId &known : this->members) {
        if (!present.contains(known)) {
            this->table.removeInstance(known);
        }
    }
    if (this->firstSeen == Time{}) {
        this->firstSeen = now;
    }
    if (present != this->members) {
        this->changedAt = now;
    }
    this->members = std::move(present);
    const bool nowAlone = this->members.size() <= 1;
    if (nowAlone && (!this->alone || this->aloneSince == Time{})) {
        this->aloneSince = now;
    }
    this->alone = nowAlone;
}

std::vector<SlotMove> BudgetSlots::plan(Time now) const
{
    // An instance that hears nobody is more likely cut off than the only one left.
    if (this->alone && now - this->aloneSince < this->limits.isolation) {
        return {};
    }
    std::vector<SlotMove> moves;
    for (const SlotMove &move : this->table.plan(now)) {
        if (move.kind == SlotMove::Kind::Claim ? this->mayClaim(move, now) : this->kept.contains(move.slot)) {
            moves.push_back(move);
        }
    }
    return moves;
}

bool BudgetSlots::mayClaim(const SlotMove &move, Time now) const
{
    const InstanceId &owner = move.seen.owner;
    if (move.seen.revision == 0) {
        // While instances still find each other, each would claim what it prefers among the few it knows.
        return now - this->changedAt >= this->limits.settling;
    }
    // An owner that was never heard may live and not be known here yet, unless its successor at the same instance is.
    const bool known = owner.empty() || this->heard.contains(owner) || this->names.contains(nameOf(owner));
    return known || now - this->firstSeen >= this->limits.isolation;
}

InstanceId BudgetSlots::successorOf(SlotId slot) const
{
    const InstanceId &preferred = this->table.preferredOwner(slot);
    return preferred == this->self ? InstanceId() : preferred;
}

void BudgetSlots::onReceived(SlotId slot, Time freeShareFrom)
{
    this->received[slot] = freeShareFrom;
}

void BudgetSlots::onGivenAway(SlotId slot)
{
    this->kept.erase(slot);
    this->givenAway.insert(slot);
}

bool BudgetSlots::keeps(SlotId slot) const
{
    return this->kept.contains(slot);
}

Time BudgetSlots::freeShareFrom(SlotId slot) const
{
    const auto found = this->kept.find(slot);
    return found == this->kept.end() ? Time::max() : found->second;
}

bool BudgetSlots::hasFreeShare(SlotId slot, bool peerReachedLater, Time now) const
{
    const bool unconfirmed = now - this->confirmed > this->limits.confirmation && peerReachedLater;
    return !unconfirmed && this->freeShareFrom(slot) <= now;
}

Time BudgetSlots::confirmedAt() const
{
    return this->confirmed;
}

std::set<SlotId> BudgetSlots::keptSlots() const
{
    std::set<SlotId> found;
    for (const auto &[slot, from] : this->kept) {
        found.insert(slot);
    }
    return found;
}

} // namespace oleandergate
