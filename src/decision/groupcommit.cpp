#include "decision/groupcommit.h"

#include <algorithm>
#include <set>

namespace oleandergate {

namespace {

//! A transaction of the key-value service holds at most 128 operations; a record takes two comparisons and one write.
constexpr std::size_t maxRecordsPerBatch = 40;
constexpr std::size_t maxActionsPerBatch = 512;

//! A value in the key-value service holds at most one megabyte, so a batch stays well below that.
constexpr std::size_t maxBytesPerBatch = 512 * 1024;

//! Estimated encoded sizes, without answer bodies and messages.
constexpr std::size_t entryBytes = 128;
constexpr std::size_t outcomeEntryBytes = 256;

//! Returns the approximate encoded size of \p entry in bytes.
std::size_t estimatedSizeOf(const JournalEntry &entry)
{
    const auto *outcome = std::get_if<CallOutcome>(&entry);
    if (outcome == nullptr) {
        return entryBytes;
    }
    std::size_t size = outcomeEntryBytes + outcome->turn.answer.body.size();
    for (const std::string &message : outcome->turn.newMessages) {
        size += message.size();
    }
    return size;
}

} // namespace

GroupCommit::GroupCommit(std::string writer)
    : writer(std::move(writer))
{
}

void GroupCommit::openSlot(SlotId slot, std::uint64_t revision, std::uint64_t nextNumber)
{
    this->slots[slot] = OpenSlot{revision, nextNumber};
}

void GroupCommit::closeSlot(SlotId slot)
{
    this->slots.erase(slot);
    std::erase_if(this->queue, [slot](const CommitAction &action) {
        return action.slot == slot;
    });
}

void GroupCommit::updateRevision(SlotId slot, std::uint64_t revision)
{
    const auto found = this->slots.find(slot);
    if (found != this->slots.end()) {
        found->second.revision = revision;
    }
}

bool GroupCommit::add(CommitAction action)
{
    if (!this->slots.contains(action.slot)) {
        return false;
    }
    this->queue.push_back(std::move(action));
    return true;
}

std::optional<CommitBatch> GroupCommit::nextBatch()
{
    if (this->inFlight) {
        return std::nullopt;
    }
    if (this->current) {
        this->inFlight = true;
        return this->current;
    }
    std::map<SlotId, SlotLogRecord> records;
    std::size_t bytes = 0;
    while (!this->queue.empty() && this->currentActions.size() < maxActionsPerBatch && bytes < maxBytesPerBatch) {
        CommitAction &action = this->queue.front();
        if (!records.contains(action.slot) && records.size() >= maxRecordsPerBatch) {
            break;
        }
        const OpenSlot &slot = this->slots.at(action.slot);
        SlotLogRecord &record = records[action.slot];
        record.slot = action.slot;
        record.slotRevision = slot.revision;
        record.number = slot.nextNumber;
        for (const JournalEntry &entry : action.entries) {
            bytes += estimatedSizeOf(entry);
            record.entries.push_back(entry);
        }
        this->currentActions.push_back(std::move(action));
        this->queue.pop_front();
    }
    if (records.empty()) {
        return std::nullopt;
    }
    CommitBatch batch;
    batch.identity = this->writer + "/" + std::to_string(this->nextBatchId);
    this->nextBatchId += 1;
    for (auto &[slot, record] : records) {
        batch.records.push_back(std::move(record));
    }
    this->current = std::move(batch);
    this->inFlight = true;
    return this->current;
}

BatchResolution GroupCommit::onResult(const BatchResult &result)
{
    BatchResolution resolution;
    this->inFlight = false;
    if (!this->current) {
        return resolution;
    }
    if (result.kind == BatchResult::Kind::Unknown) {
        resolution.retry = true;
        return resolution;
    }
    std::set<SlotId> committed;
    std::set<SlotId> lost;
    for (const SlotLogRecord &record : this->current->records) {
        const auto observed = result.observedSlots.find(record.slot);
        const bool alreadyWritten = observed != result.observedSlots.end() && observed->second.logIdentity == this->current->identity;
        if (result.kind == BatchResult::Kind::Applied || alreadyWritten) {
            committed.insert(record.slot);
            const auto open = this->slots.find(record.slot);
            if (open != this->slots.end()) {
                open->second.nextNumber = record.number + 1;
            }
            continue;
        }
        const bool slotRecordChanged = observed != result.observedSlots.end() && observed->second.slotRevision != record.slotRevision;
        const bool logNumberTaken = observed != result.observedSlots.end() && !observed->second.logIdentity.empty();
        if (slotRecordChanged || logNumberTaken || !this->slots.contains(record.slot)) {
            lost.insert(record.slot);
        }
    }
    std::vector<CommitAction> requeued;
    for (CommitAction &action : this->currentActions) {
        if (committed.contains(action.slot)) {
            resolution.committed.push_back(action.commitId);
        } else if (lost.contains(action.slot)) {
            resolution.lost.push_back(action.commitId);
        } else {
            requeued.push_back(std::move(action));
        }
    }
    this->current.reset();
    this->currentActions.clear();
    this->queue.insert(this->queue.begin(), std::make_move_iterator(requeued.begin()), std::make_move_iterator(requeued.end()));
    for (const SlotId slot : lost) {
        resolution.lostSlots.push_back(slot);
        this->closeSlot(slot);
    }
    return resolution;
}

std::uint64_t GroupCommit::nextNumberOf(SlotId slot) const
{
    const auto found = this->slots.find(slot);
    return found == this->slots.end() ? 0 : found->second.nextNumber;
}

std::uint64_t GroupCommit::revisionOf(SlotId slot) const
{
    const auto found = this->slots.find(slot);
    return found == this->slots.end() ? 0 : found->second.revision;
}

bool GroupCommit::isOpen(SlotId slot) const
{
    return this->slots.contains(slot);
}

bool GroupCommit::hasWork() const
{
    return this->current.has_value() || !this->queue.empty();
}

} // namespace oleandergate
