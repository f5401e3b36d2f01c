#ifndef OLEANDERGATE_RUNTIME_MEMORYBUDGET_H
#define OLEANDERGATE_RUNTIME_MEMORYBUDGET_H

#include "decision/memoryledger.h"
#include "runtime/asyncsignal.h"
#include "runtime/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace oleandergate {

class HeldMemory;

//! Bounds the bytes that a process holds for callers and endpoints, all together. Thread-safe.
class MemoryBudget
{
public:
    //! \p heldBytes is the limit of what is held, in bytes; ProcessLimits has that of a process.
    MemoryBudget(std::size_t heldBytes, Metrics &metrics);

    //! Exports what is held, by kind, and the most that ever was.
    void exportGauges();

private:
    friend class HeldMemory;

    //! Wakes those who have to ask again after bytes were given back: all where there is room, else the oldest one, which has another holder ended. The mutex
    //! has to be held.
    void wakeAfterRelease();

    std::mutex mutex;
    MemoryLedger ledger; //!< Guarded by the mutex.
    std::map<HolderId, std::function<void()>> endings; //!< Guarded by the mutex.
    std::map<HolderId, std::shared_ptr<AsyncSignal>> waiting; //!< Holders that wait for room, the oldest first. Guarded by the mutex.
    Metrics &metrics;
    std::array<Counter *, heldForNames.size()> endedCounters;
};

//! Bytes that one connection or request holds. Gives them back at its end.
class HeldMemory
{
public:
    //! \p budget may be nullptr for no limit.
    HeldMemory(MemoryBudget *budget, HeldFor kind);
    ~HeldMemory();
    HeldMemory(const HeldMemory &) = delete;
    HeldMemory &operator=(const HeldMemory &) = delete;

    //! Changes what the bytes are held for. \p isBounded tells that their final number is known.
    void describe(HeldFor kind, bool isBounded);

    //! Calls \p onEnded when the bytes are needed elsewhere, on the thread of the one who needs them. It has to make the holder give up.
    void setEnding(std::function<void()> onEnded);

    //! Notes that \p bytes are held now, and waits while there is no room for more. Returns false when they are to be given up, or at \p giveUpAt.
    boost::asio::awaitable<bool> hold(std::size_t bytes, Time giveUpAt);

    //! Notes that \p bytes are held now, without waiting: for a holder that the ledger always grants.
    void note(std::size_t bytes);

    //! Makes hold() return false if it waits. To be called on the strand of the one who waits.
    void stopWaiting();

    //! Notes that no bytes are held any more.
    void release();

    //! Returns whether hold() has returned false since the last release().
    bool wasEnded() const;

private:
    MemoryVerdict resize(std::size_t bytes, Time now);

    //! Waits until there may be room, at most until \p giveUpAt.
    boost::asio::awaitable<void> waitForRoom(Time giveUpAt, Time now);
    void leaveWaiting();

    MemoryBudget *budget;
    HeldFor kind;
    bool isBounded = false;
    std::function<void()> onEnded;
    std::optional<HolderId> id; //!< Set once the bytes are worth counting.
    bool ended = false;
    bool stopsWaiting = false;
    std::shared_ptr<AsyncSignal> woken{}; //!< Set while it waits for room.
};

} // namespace oleandergate

#endif
