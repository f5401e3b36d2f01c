#include "support/loopbackproxy.h"

#include "runtime/address.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>

#include <array>
#include <future>
#include <sys/socket.h>

namespace oleandergate::support {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bufferBytes = 16384;
constexpr std::chrono::milliseconds pollInterval{5};

//! The kernel completes one connection more than the queue of a listening socket holds, and drops further ones.
constexpr int silentBacklog = 0;
constexpr int backlogConnections = 3;

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct LoopbackProxy::Pair
{
    explicit Pair(tcp::socket accepted)
        : caller(std::move(accepted))
        , target(caller.get_executor())
    {
    }

    tcp::socket caller;
    tcp::socket target;
};

LoopbackProxy::LoopbackProxy(std::string target)
    : target(std::move(target))
    , listenAddress(unusedAddress())
    , acceptor(context)
{
    this->listen();
    this->thread = std::thread([this]() {
        const auto work = asio::make_work_guard(this->context);
        this->context.run();
    });
}

LoopbackProxy::~LoopbackProxy()
{
    this->context.stop();
    this->thread.join();
}

const std::string &LoopbackProxy::address() const
{
    return this->listenAddress;
}

void LoopbackProxy::listen()
{
    const tcp::endpoint endpoint = *parseTcpAddress(this->listenAddress);
    this->acceptor = tcp::acceptor(this->context, endpoint, true);
    asio::co_spawn(this->context, this->accept(), asio::detached);
}

void LoopbackProxy::setLink(Link newLink)
{
    std::promise<void> applied;
    asio::post(this->context, [this, newLink, &applied]() {
        this->apply(newLink);
        applied.set_value();
    });
    applied.get_future().wait();
}

void LoopbackProxy::apply(Link newLink)
{
    this->link = newLink;
    this->acceptRound += 1;
    this->backlog.clear();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    if (newLink == Link::Reset) {
        for (const std::weak_ptr<Pair> &entry : this->pairs) {
            if (const std::shared_ptr<Pair> pair = entry.lock()) {
                reset(pair->caller);
                reset(pair->target);
            }
        }
    }
    if (newLink == Link::Open) {
        this->listen();
    } else if (newLink == Link::Silent) {
        this->fillBacklog();
    }
}

void LoopbackProxy::fillBacklog()
{
    const tcp::endpoint endpoint = *parseTcpAddress(this->listenAddress);
    this->acceptor = tcp::acceptor(this->context);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(silentBacklog);
    for (int count = 0; count < backlogConnections; ++count) {
        tcp::socket socket(this->context);
        socket.open(endpoint.protocol());
        socket.native_non_blocking(true);
        // Not by the socket's own function, which waits for the end of the attempt.
        static_cast<void>(::connect(socket.native_handle(), endpoint.data(), static_cast<socklen_t>(endpoint.size())));
        this->backlog.push_back(std::move(socket));
    }
}

asio::awaitable<void> LoopbackProxy::accept()
{
    const std::uint64_t round = this->acceptRound;
    while (round == this->acceptRound) {
        auto [error, socket] = co_await this->acceptor.async_accept(useResult);
        if (error) {
            co_return;
        }
        auto pair = std::make_shared<Pair>(std::move(socket));
        this->pairs.push_back(pair);
        asio::co_spawn(this->context, this->open(pair), asio::detached);
    }
}

asio::awaitable<void> LoopbackProxy::open(std::shared_ptr<Pair> pair)
{
    const auto [error] = co_await pair->target.async_connect(*parseTcpAddress(this->target), useResult);
    if (error) {
        reset(pair->caller);
        co_return;
    }
    asio::co_spawn(this->context, this->forward(pair, true), asio::detached);
    asio::co_spawn(this->context, this->forward(pair, false), asio::detached);
}

asio::awaitable<void> LoopbackProxy::forward(std::shared_ptr<Pair> pair, bool toTarget)
{
    tcp::socket &from = toTarget ? pair->caller : pair->target;
    tcp::socket &to = toTarget ? pair->target : pair->caller;
    std::array<char, bufferBytes> buffer{};
    asio::steady_timer timer(this->context);
    while (true) {
        const auto [readError, size] = co_await from.async_read_some(asio::buffer(buffer), useResult);
        while (this->link == Link::Silent) {
            timer.expires_after(pollInterval);
            co_await timer.async_wait(useResult);
        }
        if (readError) {
            break;
        }
        const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buffer, size), useResult);
        if (writeError) {
            break;
        }
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace oleandergate::support
