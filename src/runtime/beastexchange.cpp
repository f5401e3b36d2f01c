#include "runtime/beastexchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds writeTimeout{30};

//! How often a connection with unread bytes is checked. Those who wait for its end have half a second.
constexpr std::chrono::milliseconds checkInterval{100};

void copyHeaders(const std::vector<HttpHeader> &headers, http::fields &fields)
{
    for (const HttpHeader &header : headers) {
        fields.insert(header.name, header.value);
    }
}

} // namespace

DisconnectWatcher::DisconnectWatcher(beast::tcp_stream &stream)
    : stream(stream)
    , timer(stream.get_executor())
{
}

bool DisconnectWatcher::isDisconnected() const
{
    pollfd connection{this->stream.socket().native_handle(), POLLRDHUP, 0};
    return ::poll(&connection, 1, 0) > 0;
}

void DisconnectWatcher::setHook(std::function<void()> newHook)
{
    this->hook = std::move(newHook);
    if (!this->waiting) {
        this->wait();
    }
}

void DisconnectWatcher::clearHook()
{
    this->hook = {};
}

void DisconnectWatcher::wait()
{
    this->waiting = true;
    this->stream.socket().async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](const beast::error_code &error) {
        self->waiting = false;
        if (!error && self->hook) {
            self->checkConnection();
        }
    });
}

void DisconnectWatcher::waitBehindInput()
{
    // The bytes of a pipelined request keep the socket readable, so it cannot be waited for.
    this->waiting = true;
    this->timer.expires_after(checkInterval);
    this->timer.async_wait([self = this->shared_from_this()](const beast::error_code &error) {
        self->waiting = false;
        if (!error && self->hook) {
            self->checkConnection();
        }
    });
}

void DisconnectWatcher::checkConnection()
{
    beast::error_code ignored;
    if (this->isDisconnected()) {
        const std::function<void()> onDisconnected = std::move(this->hook);
        this->hook = {};
        onDisconnected();
    } else if (this->stream.socket().available(ignored) > 0) {
        this->waitBehindInput();
    } else {
        this->wait();
    }
}

BeastExchange::BeastExchange(beast::tcp_stream &stream, std::shared_ptr<DisconnectWatcher> watcher, std::function<bool()> mayKeepAlive, bool callerReadsChunks)
    : stream(stream)
    , watcher(std::move(watcher))
    , mayKeepAlive(std::move(mayKeepAlive))
    , callerReadsChunks(callerReadsChunks)
{
}

BeastExchange::~BeastExchange()
{
    this->watcher->clearHook();
}

void BeastExchange::closeAfterResponse()
{
    this->keepAlive = false;
    this->responseOptional = true;
}

void BeastExchange::abandon()
{
    this->stream.close();
}

void BeastExchange::onCallerDisconnected(std::function<void()> onDisconnected)
{
    this->watcher->setHook(std::move(onDisconnected));
}

bool BeastExchange::isCallerDisconnected() const
{
    return this->watcher->isDisconnected();
}

bool BeastExchange::keepsAlive() const
{
    return this->keepAlive && this->healthy && this->responseComplete;
}

bool BeastExchange::hasSentResponse() const
{
    return this->responseStarted && this->healthy;
}

bool BeastExchange::needsReset() const
{
    return this->endsWithConnection && !this->responseComplete;
}

void BeastExchange::resetOnClose(bool reset)
{
    beast::error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

void BeastExchange::decideKeepAlive()
{
    this->keepAlive = this->keepAlive && this->mayKeepAlive();
}

asio::awaitable<bool> BeastExchange::respond(HttpResponse response)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    if (!response.contentType.empty()) {
        message.set(http::field::content_type, response.contentType);
    }
    copyHeaders(response.headers, message);
    this->decideKeepAlive();
    message.keep_alive(this->keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    this->responseStarted = true;
    this->stream.expires_after(writeTimeout);
    const auto [error, size] = co_await http::async_write(this->stream, message, useResult);
    this->healthy = !error;
    this->responseComplete = true;
    co_return this->healthy;
}

asio::awaitable<bool> BeastExchange::startStream(HttpResponse head)
{
    http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
    if (!head.contentType.empty()) {
        message.set(http::field::content_type, head.contentType);
    }
    copyHeaders(head.headers, message);
    this->decideKeepAlive();
    if (!this->callerReadsChunks) {
        this->keepAlive = false;
        this->endsWithConnection = true;
        this->resetOnClose(true);
    }
    message.keep_alive(this->keepAlive);
    message.chunked(this->callerReadsChunks);
    http::response_serializer<http::empty_body> serializer(message);
    this->responseStarted = true;
    this->stream.expires_after(writeTimeout);
    const auto [error, size] = co_await http::async_write_header(this->stream, serializer, useResult);
    this->healthy = !error;
    co_return this->healthy;
}

asio::awaitable<bool> BeastExchange::sendChunk(std::string chunk)
{
    if (!this->healthy) {
        co_return false;
    }
    this->stream.expires_after(writeTimeout);
    if (this->endsWithConnection) {
        const auto [error, size] = co_await asio::async_write(this->stream, asio::buffer(chunk), useResult);
        this->healthy = !error;
    } else {
        const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(chunk)), useResult);
        this->healthy = !error;
    }
    co_return this->healthy;
}

asio::awaitable<bool> BeastExchange::endStream()
{
    if (!this->healthy) {
        co_return false;
    }
    if (this->endsWithConnection) {
        this->resetOnClose(false);
        this->responseComplete = true;
        co_return true;
    }
    this->stream.expires_after(writeTimeout);
    const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk_last(), useResult);
    this->healthy = !error;
    this->responseComplete = true;
    co_return this->healthy;
}

} // namespace oleandergate
