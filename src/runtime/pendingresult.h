#ifndef OLEANDERGATE_RUNTIME_PENDINGRESULT_H
#define OLEANDERGATE_RUNTIME_PENDINGRESULT_H

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"

#include <optional>

namespace oleandergate {

//! The result of a coroutine, for another one that waits for it for a limited time. Thread-safe.
template <class Value>
class PendingResult
{
public:
    void set(Value result)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->value = std::move(result);
        }
        this->signal.notify();
    }

    //! Returns the result, or nothing when it is not there within \p timeLimit.
    boost::asio::awaitable<std::optional<Value>> wait(Duration timeLimit)
    {
        const Time giveUpAt = currentTime() + timeLimit;
        while (true) {
            const Time now = currentTime();
            {
                const std::lock_guard lock(this->mutex);
                if (this->value || now >= giveUpAt) {
                    co_return this->value;
                }
            }
            co_await this->signal.wait(giveUpAt - now);
        }
    }

private:
    std::mutex mutex;
    std::optional<Value> value;
    AsyncSignal signal;
};

} // namespace oleandergate

#endif
