#ifndef OLEANDERGATE_DECISION_GROUPCOMMIT_H
#define OLEANDERGATE_DECISION_GROUPCOMMIT_H

#include "decision/action.h"
#include "decision/commitbatch.h"

#include <deque>
#include <map>
#include <optional>

namespace oleandergate {

//! Tickets that a batch's result settled.
struct BatchResolution
{
    std::vector<CommitId> committed{};
    std::vector<CommitId> lost{};
    std::vector<SlotId> lostSlots{};
    bool retry = false; //!< The same batch has to be written again, after a pause.
};

//! Collects journal entries of many calls into one conditional write at a time.
//!
//! A write is a transaction that holds only while every slot's record is unchanged and no log record with the
//! same number exists, so writing a batch again after a lost answer cannot apply it twice.
class GroupCommit
{
public:
    //! \p writer names this process, unique over restarts.
    explicit GroupCommit(std::string writer);

    //! Starts journalling for \p slot, whose record has \p revision and whose next log number is \p nextNumber.
    void openSlot(SlotId slot, std::uint64_t revision, std::uint64_t nextNumber);

    //! Stops journalling for \p slot and drops what was not written.
    void closeSlot(SlotId slot);

    //! Notes that the slot's record was rewritten by this instance itself.
    void moveRevision(SlotId slot, std::uint64_t revision);

    //! Queues \p action. Returns false when the slot is not open.
    bool add(CommitAction action);

    //! Returns the batch to write, when none is in flight and there is something to write.
    //! After a result that asks for a retry, it returns the same batch.
    std::optional<CommitBatch> nextBatch();

    //! Takes the result of writing the batch.
    BatchResolution onResult(const BatchResult &result);

    //! Returns the number of log records of \p slot written since openSlot() or the latest checkpoint.
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
