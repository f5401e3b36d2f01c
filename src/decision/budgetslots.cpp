#include "decision/budgetslots.h"

#include "decision/hash.h"

#include <algorithm>
#include <string_view>

namespace oleandergate {

namespace {

//! Returns the instance name in an identifier of the form name~process. The suffix differs between the processes of one instance.
std::string instanceNameOf(const InstanceId &id)
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
        this->owned.erase(slot);
        this->released.erase(slot);
        return;
    }
    if (this->owned.contains(slot) || this->released.contains(slot)) {
        return;
    }
    const auto handedOver = this->received.find(slot);
    if (record.epoch == 1 || record.unused) {
        this->owned[slot] = std::nullopt;
    } else if (handedOver != this->received.end()) {
        this->owned[slot] = handedOver->second;
    } else {
        this->owned[slot] = now;
    }
    this->received.erase(slot);
}

Duration BudgetSlots::formerOwnerTime() const
{
    return this->limits.recordReadTimeout + this->limits.programRetention;
}

void BudgetSlots::setProgramRetention(Duration retention, Time now)
{
    if (retention == this->limits.programRetention) {
        return;
    }
    for (auto &[slot, formerUntil] : this->owned) {
        if (this->unrecordedShareFrom(slot) <= now) {
            formerUntil.reset();
        }
    }
    this->limits.programRetention = retention;
}

void BudgetSlots::onRecordsRead(Time now)
{
    this->lastRecordsRead = now;
}

void BudgetSlots::onMembers(const std::vector<InstanceRecord> &records, Time now)
{
    bool changed = false;
    std::vector<std::string_view> present;
    present.reserve(records.size());
    for (const InstanceRecord &record : records) {
        present.push_back(record.id);
        if (this->members.insert(record.id).second) {
            this->everSeen.insert(record.id);
            this->memberNames.insert(instanceNameOf(record.id));
            changed = true;
        }
        this->table.putInstance(record, now);
    }
    if (this->members.size() > present.size()) {
        std::sort(present.begin(), present.end());
        changed = true;
        std::erase_if(this->members, [this, &present](const InstanceId &member) {
            if (std::binary_search(present.begin(), present.end(), member)) {
                return false;
            }
            this->table.removeInstance(member);
            this->memberNames.erase(this->memberNames.find(instanceNameOf(member)));
            return true;
        });
    }
    if (this->membersFirstKnownAt == Time{}) {
        this->membersFirstKnownAt = now;
    }
    if (changed) {
        this->membersChangedAt = now;
    }
    const bool nowWithoutPeers = this->members.size() <= 1;
    if (nowWithoutPeers && (!this->withoutPeers || this->withoutPeersSince == Time{})) {
        this->withoutPeersSince = now;
    }
    this->withoutPeers = nowWithoutPeers;
}

std::vector<SlotMove> BudgetSlots::plan(Time now) const
{
    // An instance without live peers is more likely partitioned than the only one left.
    if (this->withoutPeers && now - this->withoutPeersSince < this->limits.isolationDelay) {
        return {};
    }
    std::vector<SlotMove> moves;
    for (const SlotMove &move : this->table.plan(now)) {
        if (move.kind == SlotMove::Kind::Claim ? this->mayClaim(move, now) : this->owned.contains(move.slot)) {
            moves.push_back(move);
        }
    }
    return moves;
}

bool BudgetSlots::mayClaim(const SlotMove &move, Time now) const
{
    const InstanceId &owner = move.expected.owner;
    if (move.expected.revision == 0) {
        // While members still join, each instance would claim the slots it is preferred for among the few members it knows.
        return now - this->membersChangedAt >= this->limits.membershipSettleTime;
    }
    // An owner that was never a member may be live without being known here yet, unless a later process of the same instance is a member.
    const bool seenOrReplaced = owner.empty() || this->everSeen.contains(owner) || this->memberNames.contains(instanceNameOf(owner));
    return seenOrReplaced || now - this->membersFirstKnownAt >= this->limits.isolationDelay;
}

InstanceId BudgetSlots::successorOf(SlotId slot) const
{
    const InstanceId &preferred = this->table.preferredOwner(slot);
    return preferred == this->self ? InstanceId() : preferred;
}

void BudgetSlots::onHandoverReceived(SlotId slot, Time unrecordedShareFrom)
{
    this->received[slot] = unrecordedShareFrom - this->formerOwnerTime();
}

void BudgetSlots::onReleased(SlotId slot)
{
    this->owned.erase(slot);
    this->released.insert(slot);
}

bool BudgetSlots::ownsSlot(SlotId slot) const
{
    return this->owned.contains(slot);
}

const SlotRecord &BudgetSlots::recordOf(SlotId slot) const
{
    return this->table.recordOf(slot);
}

Time BudgetSlots::unrecordedShareFrom(SlotId slot) const
{
    const auto found = this->owned.find(slot);
    if (found == this->owned.end()) {
        return Time::max();
    }
    return found->second ? *found->second + this->formerOwnerTime() : Time{};
}

bool BudgetSlots::mayGrantUnrecordedShare(SlotId slot, bool mayPeersReachLater, Time now) const
{
    return this->sharesAreDue(slot, mayPeersReachLater, now) && !this->table.recordOf(slot).unused;
}

bool BudgetSlots::mustMarkUsed(SlotId slot, bool mayPeersReachLater, Time now) const
{
    return this->sharesAreDue(slot, mayPeersReachLater, now) && this->table.recordOf(slot).unused;
}

std::map<SlotId, SlotRecord> BudgetSlots::unusedSlots() const
{
    std::map<SlotId, SlotRecord> found;
    for (const auto &[slot, formerUntil] : this->owned) {
        const SlotRecord &record = this->table.recordOf(slot);
        if (record.unused) {
            found[slot] = record;
        }
    }
    return found;
}

bool BudgetSlots::sharesAreDue(SlotId slot, bool mayPeersReachLater, Time now) const
{
    const bool recordsOutdated = now - this->lastRecordsRead > this->limits.recordReadTimeout && mayPeersReachLater;
    return !recordsOutdated && this->unrecordedShareFrom(slot) <= now;
}

Time BudgetSlots::recordsReadAt() const
{
    return this->lastRecordsRead;
}

std::set<SlotId> BudgetSlots::ownedSlots() const
{
    std::set<SlotId> found;
    for (const auto &[slot, formerUntil] : this->owned) {
        found.insert(slot);
    }
    return found;
}

} // namespace oleandergate
