#ifndef OLEANDERGATE_RUNTIME_ASYNCSIGNAL_H
#define OLEANDERGATE_RUNTIME_ASYNCSIGNAL_H

#include "decision/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <mutex>
#include <vector>

namespace oleandergate {

//! Wakes coroutines that wait for a change. A waiting coroutine has to run on a strand.
class AsyncSignal
{
public:
    //! Wakes all that wait, and lets the next wait() return at once when nobody does.
    void notify();

    //! Waits for notify(), at most for \p timeout.
    boost::asio::awaitable<void> wait(Duration timeout);

private:
    std::mutex mutex;
    bool notified = false;
    std::vector<std::weak_ptr<boost::asio::steady_timer>> waiters;
};

//! Suspends the calling coroutine.
boost::asio::awaitable<void> sleepFor(Duration duration);

} // namespace oleandergate

#endif
