#ifndef OLEANDERGATE_RUNTIME_CANCELLATION_H
#define OLEANDERGATE_RUNTIME_CANCELLATION_H

#include "runtime/cancelreason.h"

#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace oleandergate {

//! Cancels an operation that another part of the process runs. Thread-safe.
class Cancellation
{
public:
    //! Calls the hook. A hook that is set afterwards is called at once. The first reason stays. While the operation is committed, a caller who leaves
    //! does not cancel it.
    void cancel(CancelReason why = CancelReason::CallerLeft)
    {
        std::function<void()> call;
        {
            const std::lock_guard lock(this->mutex);
            if (why == CancelReason::CallerLeft && this->committed) {
                this->leftCommitted = true;
                return;
            }
            this->firstReason = this->firstReason.value_or(why);
            call = this->hook;
        }
        if (call) {
            call();
        }
    }

    //! Commits the operation: it takes effect whether or not its caller waits. Returns false when it was cancelled before.
    bool commit()
    {
        const std::lock_guard lock(this->mutex);
        this->committed = !this->firstReason;
        return this->committed;
    }

    //! Takes commit() back, as the operation had no effect. A caller who has left meanwhile cancels it now.
    void revokeCommit()
    {
        bool callerLeft = false;
        {
            const std::lock_guard lock(this->mutex);
            this->committed = false;
            callerLeft = std::exchange(this->leftCommitted, false);
        }
        if (callerLeft) {
            this->cancel(CancelReason::CallerLeft);
        }
    }

    //! Returns true after cancel() was called.
    bool isCancelled() const
    {
        return this->reason().has_value();
    }

    //! Returns why cancel() was called; nothing if it was not.
    std::optional<CancelReason> reason() const
    {
        const std::lock_guard lock(this->mutex);
        return this->firstReason;
    }

    //! Sets the function that cancel() calls; an empty function removes it.
    void setHook(std::function<void()> newHook)
    {
        bool callNow = false;
        {
            const std::lock_guard lock(this->mutex);
            this->hook = newHook;
            callNow = this->firstReason.has_value();
        }
        if (callNow && newHook) {
            newHook();
        }
    }

private:
    mutable std::mutex mutex;
    std::optional<CancelReason> firstReason;
    std::function<void()> hook;
    bool committed = false;
    bool leftCommitted = false; //!< The caller left while the operation was committed.
};

} // namespace oleandergate

#endif
