#ifndef OLEANDERGATE_RUNTIME_JOURNALSTORE_H
#define OLEANDERGATE_RUNTIME_JOURNALSTORE_H

#include "decision/commitbatch.h"
#include "decision/error.h"
#include "decision/programstate.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace oleandergate {

class KeyValueService;

//! Content of a slot's journal.
struct RecoveredSlot
{
    std::vector<ProgramState> programs{};
    std::uint64_t nextNumber = 1; //!< Number of the next log record.
    std::uint64_t generation = 0; //!< Generation of the latest checkpoint; 0 when there is none.
    std::uint64_t turns = 0; //!< Number of turns in the latest checkpoint.
};

//! Stores the journal of each slot in the key-value service: a checkpoint and the log records after it.
class JournalStore
{
public:
    explicit JournalStore(KeyValueService &service);

    //! Writes a batch in one transaction, on condition that every slot's record has the expected revision and that no log record
    //! with the same number exists.
    boost::asio::awaitable<BatchResult> write(CommitBatch batch);

    //! Reads a slot's checkpoint and log. Fails with NotOwner when the slot's record does not have \p revision, and with Internal
    //! when the checkpoint is incomplete or a program's hash chain is broken.
    boost::asio::awaitable<Result<RecoveredSlot>> recover(SlotId slot, std::uint64_t revision);

    //! Writes \p state as the slot's checkpoint in place of the log records before its nextNumber, on condition that the slot's record
    //! has \p revision.
    boost::asio::awaitable<Result<void>> checkpoint(SlotId slot, std::uint64_t revision, RecoveredSlot state);

private:
    KeyValueService &service;
};

} // namespace oleandergate

#endif
