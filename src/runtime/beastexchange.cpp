#include "runtime/beastexchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds writeTimeout{30};

void copyHeaders(const std::vector<HttpHeader> &headers, http::fields &fields)
{
    for (const HttpHeader &header : headers) {
        fields.insert(header.name, header.value);
    }
}

} // namespace

DisconnectWatcher::DisconnectWatcher(beast::tcp_stream &stream)
    : stream(stream)
{
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

void DisconnectWatcher::checkConnection()
{
    char probe = 0;
    beast::error_code error;
    this->stream.socket().non_blocking(true, error);
    const std::size_t size = this->stream.socket().receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        this->wait();
    } else if (error || size == 0) {
        const std::function<void()> onDisconnected = std::move(this->hook);
        this->hook = {};
        onDisconnected();
    }
    // Otherwise the caller has pipelined another request. Its unread bytes would hide a close, so the watch ends here.
}

BeastExchange::BeastExchange(beast::tcp_stream &stream, std::shared_ptr<DisconnectWatcher> watcher, std::function<bool()> mayKeepAlive)
    : stream(stream)
    , watcher(std::move(watcher))
    , mayKeepAlive(std::move(mayKeepAlive))
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

void BeastExchange::onCallerDisconnected(std::function<void()> onDisconnected)
{
    this->watcher->setHook(std::move(onDisconnected));
}

bool BeastExchange::keepsAlive() const
{
    return this->keepAlive && this->healthy && this->responseComplete;
}

bool BeastExchange::hasSentResponse() const
{
    return this->responseStarted && this->healthy;
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
    message.keep_alive(this->keepAlive);
    message.chunked(true);
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
    const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(chunk)), useResult);
    this->healthy = !error;
    co_return this->healthy;
}

asio::awaitable<bool> BeastExchange::endStream()
{
    if (!this->healthy) {
        co_return false;
    }
    this->stream.expires_after(writeTimeout);
    const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk_last(), useResult);
    this->healthy = !error;
    this->responseComplete = true;
    co_return this->healthy;
}

} // namespace oleandergate
