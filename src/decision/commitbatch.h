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
    std::uint64_t slotRevision = 0; //!< The write holds only while the slot's record has this revision.
    std::uint64_t number = 0; //!< Number of the log record; the write holds only while it does not exist.
    std::vector<JournalEntry> entries{};
};

//! One conditional write of journal entries.
struct CommitBatch
{
    std::string identity{}; //!< Unique over all writers, stored in each log record.
    std::vector<SlotLogRecord> records{};
};

//! What the key-value service said of a batch.
struct BatchResult
{
    enum class Kind : std::uint8_t {
        Applied,
        Rejected,
        Unknown //!< No answer; the write may have taken effect or may yet.
    };

    //! What stood in the way of a rejected batch.
    struct ObservedSlot
    {
        std::uint64_t slotRevision = 0;
        std::string logIdentity{}; //!< Identity in the existing log record; empty when there is none.
    };

    Kind kind = Kind::Unknown;
    std::map<SlotId, ObservedSlot> observedSlots{};
};

} // namespace oleandergate

#endif
