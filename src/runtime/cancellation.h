#ifndef OLEANDERGATE_RUNTIME_CANCELLATION_H
#define OLEANDERGATE_RUNTIME_CANCELLATION_H

#include <functional>
#include <mutex>

namespace oleandergate {

//! Lets one party cancel what another runs. Safe to use from several threads.
class Cancellation
{
public:
    //! Cancels. Later hooks are called at once.
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

    //! Returns true once cancel() was called.
    bool isCancelled() const
    {
        const std::lock_guard lock(this->mutex);
        return this->cancelled;
    }

    //! Sets what cancel() calls; empty for nothing.
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
