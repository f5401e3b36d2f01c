#ifndef OLEANDERGATE_RUNTIME_ASYNCSIGNAL_H
#define OLEANDERGATE_RUNTIME_ASYNCSIGNAL_H

#include "decision/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <mutex>
#include <vector>

namespace oleandergate {

//! Condition variable for coroutines. notify() may be called from any thread; a waiting coroutine must run on a strand.
class AsyncSignal
{
public:
    //! Resumes all waiting coroutines. If there is none, the next wait() returns immediately.
    void notify();

    //! Suspends the calling coroutine until notify() is called or \p timeout has passed.
    boost::asio::awaitable<void> wait(Duration timeout);

private:
    std::mutex mutex;
    bool notified = false;
    std::vector<std::weak_ptr<boost::asio::steady_timer>> waiters;
};

//! Suspends the calling coroutine for \p duration.
boost::asio::awaitable<void> sleepFor(Duration duration);

} // namespace oleandergate

#endif
