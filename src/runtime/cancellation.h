#ifndef OLEANDERGATE_RUNTIME_CANCELLATION_H
#define OLEANDERGATE_RUNTIME_CANCELLATION_H

#include <functional>
#include <mutex>

namespace oleandergate {

//! Cancels an operation that another part of the process runs. Thread-safe.
class Cancellation
{
public:
    //! Calls the hook. A hook that is set afterwards is called at once.
    void cancel()
    {
        std::function<void()> call;
        {
            const std::lock_guard lock(this->mutex);
            this->cancelled = true;
            call = this->hook;
        }
        if (call) {
            call();
        }
    }

    //! Returns true after cancel() was called.
    bool isCancelled() const
    {
        const std::lock_guard lock(this->mutex);
        return this->cancelled;
    }

    //! Sets the function that cancel() calls; an empty function removes it.
    void setHook(std::function<void()> newHook)
    {
        bool callNow = false;
        {
            const std::lock_guard lock(this->mutex);
            this->hook = newHook;
            callNow = this->cancelled;
        }
        if (callNow && newHook) {
            newHook();
        }
    }

private:
    mutable std::mutex mutex;
    bool cancelled = false;
    std::function<void()> hook;
};

} // namespace oleandergate

#endif
