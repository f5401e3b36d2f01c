#include "fault/simstore.h"

#include "fault/simulation.h"

namespace oleandergate::fault {

namespace {

constexpr Duration callTimeout = std::chrono::milliseconds(500);
constexpr Duration slowDelay = std::chrono::milliseconds(300);
constexpr Duration lateWriteDelay = std::chrono::milliseconds(900);

} // namespace

SimStore::SimStore(Simulation &simulation)
    : simulation(simulation)
{
}

void SimStore::call(std::function<void()> operation, std::function<void(bool answered)> done)
{
    const Duration requestDelay = this->simulation.between(300, 2000) + (this->slow ? slowDelay : Duration(0));
    const Duration responseDelay = this->simulation.between(300, 2000);
    if (this->down) {
        this->simulation.after(callTimeout, [done]() {
            done(false);
        });
        return;
    }
    if (this->writesToDelay > 0) {
        this->writesToDelay -= 1;
        this->simulation.after(lateWriteDelay, [this, operation]() {
            if (!this->down) {
                operation();
            }
        });
        this->simulation.after(callTimeout, [done]() {
            done(false);
        });
        return;
    }
    this->simulation.after(requestDelay, [this, operation, done, responseDelay]() {
        if (this->down) {
            this->simulation.after(callTimeout, [done]() {
                done(false);
            });
            return;
        }
        operation();
        if (this->answersToLose > 0) {
            this->answersToLose -= 1;
            this->simulation.after(callTimeout, [done]() {
                done(false);
            });
            return;
        }
        this->simulation.after(responseDelay, [done]() {
            done(true);
        });
    });
}

BatchResult SimStore::write(const CommitBatch &batch)
{
    BatchResult result;
    bool conditionsHold = true;
    for (const SlotLogRecord &record : batch.records) {
        BatchResult::ObservedSlot observed;
        observed.slotRevision = this->slots[record.slot].revision;
        const auto existing = this->logs[record.slot].find(record.number);
        if (existing != this->logs[record.slot].end()) {
            observed.logIdentity = existing->second.identity;
        }
        conditionsHold = conditionsHold && observed.slotRevision == record.slotRevision && observed.logIdentity.empty();
        result.observedSlots[record.slot] = observed;
    }
    if (!conditionsHold) {
        result.kind = BatchResult::Kind::Rejected;
        return result;
    }
    for (const SlotLogRecord &record : batch.records) {
        this->logs[record.slot][record.number] = StoredRecord{batch.identity, record.entries};
    }
    this->revision += 1;
    result.kind = BatchResult::Kind::Applied;
    return result;
}

bool SimStore::claim(SlotId slot, const SlotRecord &expected, const InstanceId &owner)
{
    SlotRecord &record = this->slots[slot];
    if (record.revision != expected.revision || this->instances.contains(record.owner)) {
        return false;
    }
    this->revision += 1;
    record = SlotRecord{owner, record.epoch + 1, this->revision};
    return true;
}

bool SimStore::release(SlotId slot, const SlotRecord &expected)
{
    SlotRecord &record = this->slots[slot];
    if (record.revision != expected.revision) {
        return false;
    }
    this->revision += 1;
    record = SlotRecord{{}, record.epoch, this->revision};
    return true;
}

std::vector<StoredRecord> SimStore::readLog(SlotId slot) const
{
    std::vector<StoredRecord> records;
    const auto log = this->logs.find(slot);
    if (log != this->logs.end()) {
        for (const auto &[number, record] : log->second) {
            records.push_back(record);
        }
    }
    return records;
}

void SimStore::putInstance(const InstanceRecord &record)
{
    this->instances[record.id] = LeasedInstance{record, this->simulation.now() + leaseLength};
}

void SimStore::removeInstance(const InstanceId &id)
{
    this->instances.erase(id);
}

bool SimStore::renew(const InstanceId &id)
{
    const auto found = this->instances.find(id);
    if (found == this->instances.end()) {
        return false;
    }
    found->second.expiresAt = this->simulation.now() + leaseLength;
    return true;
}

void SimStore::removeExpired()
{
    const Time now = this->simulation.now();
    if (!this->down) {
        std::erase_if(this->instances, [now](const auto &entry) {
            return entry.second.expiresAt <= now;
        });
    }
}

void SimStore::setDown(bool newDown)
{
    if (this->down && !newDown) {
        for (auto &[id, leased] : this->instances) {
            leased.expiresAt = this->simulation.now() + leaseLength;
        }
    }
    this->down = newDown;
}

} // namespace oleandergate::fault
