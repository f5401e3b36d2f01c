#ifndef OLEANDERGATE_DECISION_COMMITBATCH_H
#define OLEANDERGATE_DECISION_COMMITBATCH_H

#include "decision/ids.h"
#include "decision/journalentry.h"

#include <map>
#include <string>
#include <vector>

namespace oleandergate {

//! The part of a batch that goes to one slot's log.
struct SlotLogRecord
{
    SlotId slot = 0;
    std::uint64_t slotRevision = 0; //!< The write is applied only if the slot's record still has this revision.
    std::uint64_t number = 0; //!< Number of the log record; the write is applied only if no record with this number exists.
    std::vector<JournalEntry> entries{};
};

//! One conditional write of journal entries.
struct CommitBatch
{
    std::string identity{}; //!< Unique among the batches of all writers; stored in each log record.
    std::vector<SlotLogRecord> records{};
};

//! Result of writing a batch to the key-value service.
struct BatchResult
{
    enum class Kind : std::uint8_t {
        Applied,
        Rejected,
        Unknown //!< No reply; the write may have been applied or may still be.
    };

    //! State of a slot as read when the batch was rejected.
    struct ObservedSlot
    {
        std::uint64_t slotRevision = 0;
        std::string logIdentity{}; //!< Identity of the batch in the existing log record; empty when there is none.
    };

    Kind kind = Kind::Unknown;
    std::map<SlotId, ObservedSlot> observedSlots{};
};

} // namespace oleandergate

#endif
