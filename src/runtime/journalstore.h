#ifndef OLEANDERGATE_RUNTIME_JOURNALSTORE_H
#define OLEANDERGATE_RUNTIME_JOURNALSTORE_H

#include "decision/commitbatch.h"
#include "decision/error.h"
#include "decision/programstate.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace oleandergate {

class KeyValueService;

//! What the journal of a slot holds.
struct RecoveredSlot
{
    std::vector<ProgramState> programs{};
    std::uint64_t nextNumber = 1; //!< Of the next log record.
    std::uint64_t generation = 0; //!< Of the latest checkpoint.
    std::uint64_t turns = 0; //!< Turns that the latest checkpoint holds.
};

//! Keeps the journals of slots in the key-value service.
class JournalStore
{
public:
    explicit JournalStore(KeyValueService &service);

    //! Writes one batch.
    boost::asio::awaitable<BatchResult> write(CommitBatch batch);

    //! Reads a slot's checkpoint and log. Fails with NotOwner when the slot's record no longer has \p revision, and when
    //! a program's hash chain is broken.
    boost::asio::awaitable<Result<RecoveredSlot>> recover(SlotId slot, std::uint64_t revision);

    //! Replaces the log records before \p nextNumber by a checkpoint, if the slot's record still has \p revision.
    boost::asio::awaitable<Result<void>> checkpoint(SlotId slot, std::uint64_t revision, RecoveredSlot state);

private:
    KeyValueService &service;
};

} // namespace oleandergate

#endif
