#include "runtime/asyncsignal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleandergate {

namespace asio = boost::asio;

void AsyncSignal::notify()
{
    std::vector<std::weak_ptr<asio::steady_timer>> woken;
    {
        const std::lock_guard lock(this->mutex);
        woken.swap(this->waiters);
        this->notified = woken.empty();
    }
    for (const std::weak_ptr<asio::steady_timer> &waiter : woken) {
        if (const std::shared_ptr<asio::steady_timer> timer = waiter.lock()) {
            asio::post(timer->get_executor(), [timer]() {
                timer->cancel();
            });
        }
    }
}

asio::awaitable<void> AsyncSignal::wait(Duration timeout)
{
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
    timer->expires_after(timeout);
    {
        const std::lock_guard lock(this->mutex);
        if (this->notified) {
            this->notified = false;
            co_return;
        }
        this->waiters.emplace_back(timer);
    }
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace oleandergate
