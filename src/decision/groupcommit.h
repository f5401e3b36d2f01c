#ifndef OLEANDERGATE_DECISION_GROUPCOMMIT_H
#define OLEANDERGATE_DECISION_GROUPCOMMIT_H

#include "decision/action.h"
#include "decision/commitbatch.h"

#include <deque>
#include <map>
#include <optional>

namespace oleandergate {

//! Commits whose result is known after a batch.
struct BatchResolution
{
    std::vector<CommitId> committed{};
    std::vector<CommitId> lost{}; //!< Commits that can never become durable, because their slot has a new owner.
    std::vector<SlotId> lostSlots{};
    bool retry = false; //!< The same batch has to be written again after a pause.
};

//! Batches the journal entries of many calls into one conditional write at a time.
//!
//! A write is a transaction that is applied only if every slot's record is unchanged and no log record with the
//! same number exists, so writing a batch again after a lost reply cannot apply it twice.
class GroupCommit
{
public:
    //! \p writer identifies this process and must be unique across restarts.
    explicit GroupCommit(std::string writer);

    //! Starts journalling for \p slot, whose record has \p revision and whose next log record gets \p nextNumber.
    void openSlot(SlotId slot, std::uint64_t revision, std::uint64_t nextNumber);

    //! Stops journalling for \p slot and drops its queued entries.
    void closeSlot(SlotId slot);

    //! Sets the revision of the slot's record after this instance rewrote the record.
    void updateRevision(SlotId slot, std::uint64_t revision);

    //! Queues \p action. Returns false when the slot is not open.
    bool add(CommitAction action);

    //! Returns the next batch to write; nothing when a batch is in flight or the queue is empty.
    //! After a result that requires a retry, it returns the same batch.
    std::optional<CommitBatch> nextBatch();

    //! Handles the result of writing the batch.
    BatchResolution onResult(const BatchResult &result);

    //! Returns the number of the next log record of \p slot; 0 when the slot is not open.
    std::uint64_t nextNumberOf(SlotId slot) const;
    std::uint64_t revisionOf(SlotId slot) const;
    bool isOpen(SlotId slot) const;
    bool hasWork() const;

private:
    struct OpenSlot
    {
        std::uint64_t revision = 0;
        std::uint64_t nextNumber = 0;
    };

    std::string writer;
    std::uint64_t nextBatchId = 1;
    std::map<SlotId, OpenSlot> slots;
    std::deque<CommitAction> queue;
    std::optional<CommitBatch> current;
    std::vector<CommitAction> currentActions;
    bool inFlight = false;
};

} // namespace oleandergate

#endif
