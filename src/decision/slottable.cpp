#include "decision/slottable.h"

#include "decision/hash.h"

namespace oleandergate {

namespace {

//! How long an instance must be live before a live owner hands slots over to it.
constexpr Duration minLiveTime = std::chrono::seconds(1);

} // namespace

SlotTable::SlotTable(InstanceId self, SlotId slotCount)
    : self(std::move(self))
    , preferred(slotCount)
    , slots(slotCount)
{
}

void SlotTable::putSlot(SlotId slot, const SlotRecord &record)
{
    if (slot < this->slots.size() && record.revision >= this->slots[slot].revision) {
        this->slots[slot] = record;
    }
}

void SlotTable::putInstance(const InstanceRecord &record, Time now)
{
    const auto [member, added] = this->members.try_emplace(record.id, Member{{}, now});
    const bool wasLeaving = !added && member->second.record.leaving;
    member->second.record = record;
    if (record.leaving && !wasLeaving) {
        this->removeCandidate(record.id);
    } else if (!record.leaving && (added || wasLeaving)) {
        this->addCandidate(record.id);
    }
}

void SlotTable::removeInstance(const InstanceId &id)
{
    if (this->members.erase(id) > 0) {
        this->removeCandidate(id);
    }
}

void SlotTable::addCandidate(const InstanceId &id)
{
    for (SlotId slot = 0; slot < this->slots.size(); ++slot) {
        const std::uint64_t weight = hashOf(id, slot);
        Preferred &best = this->preferred[slot];
        if (best.instance.empty() || weight > best.weight) {
            best = Preferred{id, weight};
        }
    }
}

void SlotTable::removeCandidate(const InstanceId &id)
{
    for (SlotId slot = 0; slot < this->slots.size(); ++slot) {
        Preferred &best = this->preferred[slot];
        if (best.instance != id) {
            continue;
        }
        best = Preferred{};
        for (const auto &[other, member] : this->members) {
            const std::uint64_t weight = hashOf(other, slot);
            if (!member.record.leaving && (best.instance.empty() || weight > best.weight)) {
                best = Preferred{other, weight};
            }
        }
    }
}

void SlotTable::clear()
{
    this->members.clear();
    this->preferred.assign(this->slots.size(), Preferred{});
    this->slots.assign(this->slots.size(), SlotRecord{});
}

const InstanceRecord *SlotTable::ownerOf(SlotId slot) const
{
    return this->findInstance(this->slots[slot].owner);
}

const SlotRecord &SlotTable::recordOf(SlotId slot) const
{
    return this->slots[slot];
}

const InstanceId &SlotTable::preferredOwner(SlotId slot) const
{
    return this->preferred[slot].instance;
}

std::vector<SlotMove> SlotTable::plan(Time now) const
{
    std::vector<SlotMove> moves;
    const auto selfMember = this->members.find(this->self);
    if (selfMember == this->members.end()) {
        return moves;
    }
    for (SlotId slot = 0; slot < this->slots.size(); ++slot) {
        const SlotRecord &record = this->slots[slot];
        const InstanceId &best = this->preferredOwner(slot);
        if (record.owner == this->self) {
            const auto other = this->members.find(best);
            const bool liveLongEnough = other != this->members.end() && other->second.liveSince + minLiveTime <= now;
            if (selfMember->second.record.leaving || (best != this->self && liveLongEnough)) {
                moves.push_back(SlotMove{SlotMove::Kind::Release, slot, record});
            }
        } else if (best == this->self && !this->isLive(record.owner)) {
            moves.push_back(SlotMove{SlotMove::Kind::Claim, slot, record});
        }
    }
    return moves;
}

std::vector<SlotId> SlotTable::lostAmong(const std::vector<SlotId> &owned) const
{
    std::vector<SlotId> lost;
    for (const SlotId slot : owned) {
        if (this->slots[slot].owner != this->self) {
            lost.push_back(slot);
        }
    }
    return lost;
}

std::vector<InstanceRecord> SlotTable::instances() const
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, member] : this->members) {
        records.push_back(member.record);
    }
    return records;
}

const InstanceRecord *SlotTable::findInstance(const InstanceId &id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second.record;
}

bool SlotTable::isLive(const InstanceId &id) const
{
    return this->members.contains(id);
}

} // namespace oleandergate
