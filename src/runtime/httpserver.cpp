#include "runtime/httpserver.h"

#include "runtime/address.h"
#include "runtime/asyncsignal.h"
#include "runtime/unparsedbytes.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <map>
#include <mutex>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds writeTimeout{30};
constexpr std::chrono::milliseconds acceptRetryDelay{20};

//! Longest time to read the rest of a rejected request. Closing a connection with unread bytes would reset it, and the caller
//! would lose the response.
constexpr std::chrono::milliseconds lingerTimeout{500};

void copyHeaders(const std::vector<HttpHeader> &headers, http::fields &fields)
{
    for (const HttpHeader &header : headers) {
        fields.insert(header.name, header.value);
    }
}

} // namespace

struct HttpServer::Core
{
    asio::io_context &context;
    HttpLimits limits; //!< Guarded by the mutex.
    HttpHandler handler;
    HttpErrorFormatter formatError;
    std::mutex mutex{};
    std::optional<tcp::acceptor> acceptor{};
    std::atomic<bool> stopping{false};
    std::atomic<bool> keepAliveDisabled{false};
    std::atomic<std::size_t> activeRequests{0};
    std::atomic<std::size_t> openConnections{0};
    std::uint64_t nextConnectionId = 1;
    std::map<std::uint64_t, std::function<void()>> closeIfIdle{};

    HttpLimits currentLimits()
    {
        const std::lock_guard lock(this->mutex);
        return this->limits;
    }
};

namespace {

//! Detects that the peer closes a connection while a request is handled and nothing is read.
class DisconnectWatcher : public std::enable_shared_from_this<DisconnectWatcher>
{
public:
    explicit DisconnectWatcher(beast::tcp_stream &stream)
        : stream(stream)
    {
    }

    void setHook(std::function<void()> newHook)
    {
        this->hook = std::move(newHook);
        if (!this->waiting) {
            this->wait();
        }
    }

    void clearHook()
    {
        this->hook = {};
    }

private:
    void wait()
    {
        this->waiting = true;
        this->stream.socket().async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](const beast::error_code &error) {
            self->waiting = false;
            if (!error && self->hook) {
                self->checkConnection();
            }
        });
    }

    void checkConnection()
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

    beast::tcp_stream &stream;
    std::function<void()> hook{};
    bool waiting = false;
};

class BeastExchange : public HttpExchange
{
public:
    BeastExchange(beast::tcp_stream &stream, std::shared_ptr<DisconnectWatcher> watcher, const std::atomic<bool> &keepAliveDisabled, bool keepAlive)
        : stream(stream)
        , watcher(std::move(watcher))
        , keepAliveDisabled(keepAliveDisabled)
        , keepAlive(keepAlive)
    {
    }

    ~BeastExchange() override
    {
        this->watcher->clearHook();
    }
    BeastExchange(const BeastExchange &) = delete;
    BeastExchange &operator=(const BeastExchange &) = delete;

    void closeAfterResponse() override
    {
        this->keepAlive = false;
        this->responseOptional = true;
    }

    void onCallerDisconnected(std::function<void()> onDisconnected) override
    {
        this->watcher->setHook(std::move(onDisconnected));
    }

    bool keepsAlive() const
    {
        return this->keepAlive && this->healthy && this->responseComplete;
    }

    asio::awaitable<bool> respond(HttpResponse response) override
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

    asio::awaitable<bool> startStream(HttpResponse head) override
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

    asio::awaitable<bool> sendChunk(std::string chunk) override
    {
        if (!this->healthy) {
            co_return false;
        }
        this->stream.expires_after(writeTimeout);
        const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(chunk)), useResult);
        this->healthy = !error;
        co_return this->healthy;
    }

    asio::awaitable<bool> endStream() override
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

    bool responseStarted = false;
    bool responseOptional = false;

private:
    void decideKeepAlive()
    {
        this->keepAlive = this->keepAlive && !this->keepAliveDisabled;
    }

    beast::tcp_stream &stream;
    std::shared_ptr<DisconnectWatcher> watcher;
    const std::atomic<bool> &keepAliveDisabled;
    bool keepAlive;
    bool healthy = true;
    bool responseComplete = false;
};

HttpRequest toRequest(http::request<http::string_body> &&message, const std::string &peer)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.peer = peer;
    for (const auto &field : message) {
        request.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

int statusOfReadError(const beast::error_code &error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    const bool closed = error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::operation_aborted;
    return closed ? 0 : 400;
}

//! Returns true when the body length of a request is ambiguous, which allows request smuggling.
bool hasAmbiguousFraming(const http::request<http::string_body> &message)
{
    const auto count = [&message](http::field name) {
        const auto range = message.equal_range(name);
        return std::distance(range.first, range.second);
    };
    if (count(http::field::host) > 1 || count(http::field::content_length) > 1 || count(http::field::transfer_encoding) > 1) {
        return true;
    }
    const auto coding = message.find(http::field::transfer_encoding);
    if (coding == message.end()) {
        return false;
    }
    return !beast::iequals(coding->value(), "chunked") || count(http::field::content_length) > 0 || message.version() < 11;
}

asio::awaitable<void> handleRequest(HttpServer::Core &core, BeastExchange &exchange, HttpRequest request)
{
    std::string failure;
    core.activeRequests += 1;
    try {
        co_await core.handler(std::move(request), exchange);
    } catch (const std::exception &error) {
        failure = error.what();
        exchange.closeAfterResponse();
    }
    if (!exchange.responseStarted && (!exchange.responseOptional || !failure.empty())) {
        HttpResponse response = core.formatError(500, failure.empty() ? "the handler sent no response" : failure);
        co_await exchange.respond(std::move(response));
    }
    core.activeRequests -= 1;
}

//! Shuts down the sending side and discards input until the caller closes the connection or \ref lingerTimeout passes.
asio::awaitable<void> lingerBeforeClose(beast::tcp_stream &stream)
{
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> scratch{};
    stream.expires_after(lingerTimeout);
    for (bool open = true; open;) {
        const auto [error, size] = co_await stream.async_read_some(asio::buffer(scratch), useResult);
        open = !error;
    }
}

asio::awaitable<void>
rejectRequest(HttpServer::Core &core, beast::tcp_stream &stream, std::shared_ptr<DisconnectWatcher> watcher, int status, std::string detail)
{
    BeastExchange exchange(stream, std::move(watcher), core.keepAliveDisabled, false);
    HttpResponse response = core.formatError(status, detail);
    co_await exchange.respond(std::move(response));
    co_await lingerBeforeClose(stream);
}

//! Waits until the next request begins to arrive. Returns false when the connection was closed or stayed idle for \p timeout.
asio::awaitable<bool> waitForRequest(beast::tcp_stream &stream, Duration timeout)
{
    char probe = 0;
    stream.expires_after(timeout);
    const auto [error, size] = co_await stream.socket().async_receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, useResult);
    co_return !error && size > 0;
}

asio::awaitable<beast::error_code>
readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::request_parser<http::string_body> &parser, Duration timeout)
{
    stream.expires_after(timeout);
    const auto [headError, headSize] = co_await http::async_read_header(stream, buffer, parser, useResult);
    if (headError || parser.is_done()) {
        co_return headError;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(continueResponse), useResult);
    }
    stream.expires_after(timeout);
    const auto [error, size] = co_await http::async_read(stream, buffer, parser, useResult);
    co_return error;
}

asio::awaitable<void> serveRequests(HttpServer::Core &core, beast::tcp_stream &stream, std::atomic<bool> &idle, std::string peer)
{
    const auto watcher = std::make_shared<DisconnectWatcher>(stream);
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive && !core.stopping) {
        const HttpLimits limits = core.currentLimits();
        idle = true;
        if (buffer.size() == 0) {
            const bool received = co_await waitForRequest(stream, limits.idleTimeout);
            if (!received) {
                co_return;
            }
        }
        idle = false;
        buffer.max_size(limits.maxHeaderBytes + maxUnparsedBytes);
        http::request_parser<http::string_body> parser;
        parser.body_limit(limits.maxBodyBytes);
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        const beast::error_code error = co_await readRequest(stream, buffer, parser, limits.receiveTimeout);
        if (error) {
            const int status = statusOfReadError(error);
            if (status != 0) {
                co_await rejectRequest(core, stream, watcher, status, error.message());
            }
            co_return;
        }
        if (hasAmbiguousFraming(parser.get())) {
            co_await rejectRequest(
                core, stream, watcher, 400, "ambiguous request framing: repeated or contradictory Host, Content-Length or Transfer-Encoding header fields");
            co_return;
        }
        stream.expires_never();
        BeastExchange exchange(stream, watcher, core.keepAliveDisabled, parser.get().keep_alive() && !core.stopping);
        HttpRequest request = toRequest(parser.release(), peer);
        co_await handleRequest(core, exchange, std::move(request));
        keepAlive = exchange.keepsAlive();
    }
}

asio::awaitable<void> serveConnection(std::shared_ptr<HttpServer::Core> core, tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const tcp::endpoint remote = socket.remote_endpoint(ignored);
    const std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    auto idle = std::make_shared<std::atomic<bool>>(false);
    std::uint64_t connectionId = 0;
    {
        const std::lock_guard lock(core->mutex);
        connectionId = core->nextConnectionId++;
        core->closeIfIdle[connectionId] = [stream, idle]() {
            asio::post(stream->get_executor(), [stream, idle]() {
                if (*idle) {
                    stream->close();
                }
            });
        };
    }
    core->openConnections += 1;
    co_await serveRequests(*core, *stream, *idle, peer);
    core->openConnections -= 1;
    stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream->close();
    const std::lock_guard lock(core->mutex);
    core->closeIfIdle.erase(connectionId);
}

asio::awaitable<void> acceptConnections(std::shared_ptr<HttpServer::Core> core)
{
    while (!core->stopping) {
        const auto strand = asio::make_strand(core->context);
        auto [error, socket] = co_await core->acceptor->async_accept(strand, useResult);
        if (core->stopping) {
            co_return;
        }
        if (error) {
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        if (core->openConnections >= core->currentLimits().maxConnections) {
            continue;
        }
        asio::co_spawn(strand, serveConnection(core, std::move(socket)), asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const HttpLimits &limits, HttpHandler handler, HttpErrorFormatter formatError)
    : core(new Core{context, limits, std::move(handler), std::move(formatError)})
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

Result<void> HttpServer::start(const std::string &address)
{
    const auto failed = [&address](const std::string &detail) {
        return Error{ErrorCode::Internal, Step::InstanceStart, address, Executed::No, std::nullopt, detail};
    };
    const std::optional<tcp::endpoint> endpoint = parseTcpAddress(address);
    if (!endpoint) {
        return failed("the address is not an IP address and a port");
    }
    beast::error_code error;
    tcp::acceptor acceptor(asio::make_strand(this->core->context));
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failed(error.message());
    }
    this->core->acceptor.emplace(std::move(acceptor));
    asio::co_spawn(this->core->acceptor->get_executor(), acceptConnections(this->core), asio::detached);
    return boost::outcome_v2::success();
}

void HttpServer::stop()
{
    if (this->core->stopping.exchange(true) || !this->core->acceptor) {
        return;
    }
    asio::post(this->core->acceptor->get_executor(), [core = this->core]() {
        beast::error_code ignored;
        core->acceptor->close(ignored);
    });
    this->closeIdleConnections();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    const std::lock_guard lock(this->core->mutex);
    this->core->limits = limits;
}

void HttpServer::disableKeepAlive()
{
    this->core->keepAliveDisabled = true;
}

void HttpServer::closeIdleConnections()
{
    const std::lock_guard lock(this->core->mutex);
    for (const auto &[connectionId, close] : this->core->closeIfIdle) {
        close();
    }
}

std::size_t HttpServer::activeCount() const
{
    return this->core->activeRequests;
}

} // namespace oleandergate
