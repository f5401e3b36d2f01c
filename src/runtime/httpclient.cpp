#include "runtime/httpclient.h"

#include "runtime/address.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"
#include "runtime/connectionpool.h"
#include "runtime/unparsedbytes.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <atomic>
#include <cstring>
#include <limits>
#include <map>
#include <mutex>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);

//! TCP keep-alive and user timeout: a peer that is gone is detected after about two seconds without a reply to a probe or an
//! acknowledgement of sent bytes.
constexpr int keepAliveProbeSeconds = 1;
constexpr int keepAliveProbeCount = 2;
constexpr int tcpUserTimeoutMs = 2000;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

//! Idle connections are no longer used from this long before their peer closes them, as announced in Keep-Alive.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);

//! Idle connections kept per address.
constexpr std::size_t maxIdlePerAddress = 32;

//! Largest number of responses to other requests that a call skips.
constexpr int maxSkippedResponses = 4;

//! A connection with its own strand, on which all its operations run.
struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream(asio::make_strand(context))
    {
    }

    ~Connection()
    {
        if (this->openCount) {
            *this->openCount -= 1;
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    //! Returns false when the peer has closed the connection or sent unrequested bytes.
    bool isReusable()
    {
        char probe = 0;
        beast::error_code error;
        this->stream.socket().non_blocking(true, error);
        this->stream.socket().receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{maxUnparsedBytes};
    bool established = false;
    Time idleSince{};
    Time usableUntil = Time::max(); //!< The peer may close the connection after this time.
    std::shared_ptr<std::atomic<std::size_t>> openCount{}; //!< Number of open connections to the same address.
};

using ConnectionPointer = std::shared_ptr<Connection>;

} // namespace

struct HttpClient::Core
{
    asio::io_context &context;
    ConnectionPool<Connection> idleConnections{maxIdlePerAddress};
    std::atomic<std::size_t> maxOpenPerAddress{std::numeric_limits<std::size_t>::max()};
    std::atomic<std::uint64_t> openedConnections{0};
    std::mutex mutex{};
    std::map<std::string, std::shared_ptr<std::atomic<std::size_t>>> openCounts{}; //!< Guarded by the mutex.

    //! Returns an idle connection or a new one; nullptr when too many connections to the address are open.
    ConnectionPointer acquire(const HttpCall &call)
    {
        const Time now = currentTime();
        while (call.reuse) {
            ConnectionPointer connection = this->idleConnections.acquire(call.address);
            if (!connection) {
                break;
            }
            if (now - connection->idleSince <= call.maxIdleAge && now < connection->usableUntil && connection->isReusable()) {
                return connection;
            }
        }
        return this->create(call.address);
    }

    //! Returns a new connection; nullptr when too many connections to \p address are open.
    ConnectionPointer create(const std::string &address)
    {
        const std::lock_guard lock(this->mutex);
        constexpr std::size_t counterCleanupThreshold = 1024;
        if (this->openCounts.size() > counterCleanupThreshold) {
            std::erase_if(this->openCounts, [](const auto &entry) {
                return entry.second->load() == 0;
            });
        }
        auto &openCount = this->openCounts[address];
        if (!openCount) {
            openCount = std::make_shared<std::atomic<std::size_t>>(0);
        }
        if (*openCount >= this->maxOpenPerAddress) {
            return nullptr;
        }
        auto connection = std::make_shared<Connection>(this->context);
        *openCount += 1;
        connection->openCount = openCount;
        return connection;
    }
};

namespace {

HttpFailure failure(ErrorCode code, Step step, const HttpCall &call, bool notSent, const std::string &detail)
{
    HttpFailure result;
    result.error = Error{code, step, call.address, notSent ? Executed::No : Executed::Unknown, std::nullopt, detail};
    result.provablyNotSent = notSent;
    return result;
}

ErrorCode codeOf(const beast::error_code &error)
{
    return error == beast::error::timeout || error == asio::error::timed_out ? ErrorCode::Timeout : ErrorCode::EndpointFailed;
}

HttpResponse toResponse(const http::response<http::string_body> &message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.contentType = std::string(message[http::field::content_type]);
    response.body = message.body();
    response.endsWithConnection = message.need_eof() && !message.has_content_length() && !message.chunked();
    for (const auto &field : message) {
        response.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    return response;
}

http::request<http::string_body> toMessage(const HttpCall &call)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(call.method);
    message.target(call.target);
    message.set(http::field::host, call.address);
    for (const HttpHeader &header : call.headers) {
        if (beast::iequals(header.name, "Host")) {
            message.set(http::field::host, header.value);
        } else {
            message.insert(header.name, header.value);
        }
    }
    message.keep_alive(true);
    message.body() = call.body;
    message.prepare_payload();
    return message;
}

//! Limits the next operation to \p timeout and to the call's deadline. Returns false when the deadline has passed.
bool armTimer(Connection &connection, const HttpCall &call, Duration timeout)
{
    if (call.deadline) {
        const Duration left = *call.deadline - currentTime();
        if (left <= Duration::zero()) {
            return false;
        }
        timeout = std::min(timeout, left);
    }
    connection.stream.expires_after(timeout);
    return true;
}

//! Sets \ref Connection::usableUntil from the peer's Keep-Alive header, such as "timeout=5" (seconds).
void applyKeepAliveTimeout(Connection &connection, const http::response<http::string_body> &message, Time now)
{
    const std::string value(message[http::field::keep_alive]);
    const std::size_t position = value.find("timeout=");
    connection.usableUntil = Time::max();
    if (position != std::string::npos) {
        constexpr int decimal = 10;
        const std::chrono::seconds idle(std::strtoll(value.c_str() + position + std::strlen("timeout="), nullptr, decimal));
        connection.usableUntil = now + idle - keepAliveMargin;
    }
}

void keepConnection(HttpClient::Core &core, const ConnectionPointer &connection, const HttpCall &call, const http::response<http::string_body> &message)
{
    connection->stream.expires_never();
    // Bytes after a complete response belong to no request, so such a connection cannot be reused.
    if (!message.keep_alive() || message.need_eof() || connection->buffer.size() > 0) {
        return;
    }
    const Time now = currentTime();
    applyKeepAliveTimeout(*connection, message, now);
    connection->established = true;
    connection->idleSince = now;
    core.idleConnections.release(call.address, connection);
}

//! Passes the part of the body that has arrived since the last call to the callbacks. Returns false when the call is to stop.
asio::awaitable<bool> deliverBody(const HttpCall &call, const HttpResponse &head, http::response_parser<http::string_body> &parser, std::size_t &deliveredBytes)
{
    std::string &body = parser.get().body();
    if (body.size() > deliveredBytes && call.onBodyChunk) {
        call.onBodyChunk(head.status, std::string_view(body).substr(deliveredBytes));
    }
    if (call.forwardChunk && !body.empty()) {
        std::string chunk = std::move(body);
        body = {};
        deliveredBytes = 0;
        co_return co_await call.forwardChunk(head, std::move(chunk));
    }
    if (!call.collectBody) {
        body.clear();
    }
    deliveredBytes = body.size();
    co_return true;
}

asio::awaitable<HttpOutcome>
receiveResponse(ConnectionPointer connection, const HttpCall &call, Step step, http::response_parser<http::string_body> &parser, bool &accepted)
{
    parser.body_limit(call.maxBodyBytes);
    std::size_t deliveredBytes = 0;
    HttpResponse head;
    bool headReceived = false;
    while (!parser.is_done()) {
        if (!armTimer(*connection, call, call.idleTimeout)) {
            HttpFailure timedOut = failure(ErrorCode::Timeout, step, call, false, "no complete response before the deadline");
            timedOut.responseStarted = headReceived && accepted;
            co_return timedOut;
        }
        const auto [error, size] = co_await http::async_read_some(connection->stream, connection->buffer, parser, useResult);
        if (parser.is_header_done() && !headReceived) {
            headReceived = true;
            head = toResponse(parser.get());
            head.body.clear();
            accepted = !call.accepts || call.accepts(head);
            if (head.endsWithConnection && !call.mayEndWithConnection) {
                HttpFailure unframed = failure(ErrorCode::EndpointGarbled, step, call, false, "the response has neither a length nor chunks");
                unframed.responseStarted = accepted;
                co_return unframed;
            }
        }
        if (headReceived && accepted) {
            const bool wanted = co_await deliverBody(call, head, parser, deliveredBytes);
            if (!wanted) {
                HttpFailure stopped = failure(ErrorCode::Cancelled, step, call, false, "the response is no longer wanted");
                stopped.responseStarted = true;
                co_return stopped;
            }
        }
        if (error && error != http::error::need_buffer) {
            const ErrorCode code = error == http::error::body_limit ? ErrorCode::EndpointGarbled : codeOf(error);
            HttpFailure result = failure(code, step, call, false, error.message());
            result.responseStarted = headReceived && accepted;
            if (result.responseStarted) {
                result.partial = toResponse(parser.get());
            }
            co_return result;
        }
    }
    co_return toResponse(parser.get());
}

asio::awaitable<HttpOutcome> receiveAcceptedResponse(HttpClient::Core &core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    for (int skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        http::response_parser<http::string_body> parser;
        bool accepted = true;
        HttpOutcome outcome = co_await receiveResponse(connection, call, step, parser, accepted);
        if (outcome && accepted) {
            keepConnection(core, connection, call, parser.get());
        }
        if (!outcome || accepted) {
            co_return outcome;
        }
        if (!parser.get().keep_alive() || parser.get().need_eof()) {
            break;
        }
    }
    co_return failure(ErrorCode::EndpointGarbled, step, call, false, "only responses to other requests were received");
}

void setSocketOptions(tcp::socket &socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(keepAliveProbeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(keepAliveProbeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(keepAliveProbeCount), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(tcpUserTimeoutMs), ignored);
}

asio::awaitable<std::optional<HttpFailure>> connect(HttpClient::Core &core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    const std::optional<tcp::endpoint> endpoint = parseTcpAddress(call.address);
    if (!endpoint) {
        co_return failure(ErrorCode::NoEndpoint, step, call, true, "the address is not an IP address and a port");
    }
    if (!armTimer(*connection, call, call.connectTimeout)) {
        co_return failure(ErrorCode::Timeout, step, call, true, "the deadline passed before connecting");
    }
    core.openedConnections += 1;
    const auto [error] = co_await connection->stream.async_connect(*endpoint, useResult);
    if (error) {
        HttpFailure result = failure(codeOf(error), step, call, true, "connect: " + error.message());
        result.connectionRefused = error == asio::error::connection_refused;
        co_return result;
    }
    setSocketOptions(connection->stream.socket());
    co_return std::nullopt;
}

asio::awaitable<HttpOutcome> exchange(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    if (!connection->established) {
        std::optional<HttpFailure> failed = co_await connect(*core, connection, call, step);
        if (failed) {
            co_return std::move(*failed);
        }
    }
    if (call.cancellation && call.cancellation->isCancelled()) {
        co_return failure(ErrorCode::Cancelled, step, call, true, "the request was cancelled before it was sent");
    }
    const http::request<http::string_body> message = toMessage(call);
    if (call.maySend && !call.maySend()) {
        co_return failure(ErrorCode::Cancelled, step, call, true, "the request was withdrawn before it was sent");
    }
    if (!armTimer(*connection, call, call.idleTimeout)) {
        co_return failure(ErrorCode::Timeout, step, call, true, "the deadline passed before sending");
    }
    const auto [error, size] = co_await http::async_write(connection->stream, message, useResult);
    if (error) {
        co_return failure(codeOf(error), step, call, false, "write: " + error.message());
    }
    co_return co_await receiveAcceptedResponse(*core, connection, call, step);
}

asio::awaitable<std::optional<HttpOutcome>>
exchangeCancellable(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    if (call.cancellation) {
        call.cancellation->setHook([connection]() {
            asio::post(connection->stream.get_executor(), [connection]() {
                connection->stream.close();
            });
        });
    }
    HttpOutcome outcome = co_await exchange(core, connection, call, step);
    if (call.cancellation) {
        call.cancellation->setHook({});
        if (!outcome && call.cancellation->isCancelled()) {
            outcome.error().error.code = ErrorCode::Cancelled;
        }
    }
    co_return outcome;
}

asio::awaitable<Listening> probeConnection(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, HttpCall call)
{
    const std::optional<HttpFailure> failed = co_await connect(*core, connection, call, Step::Send);
    if (failed) {
        co_return failed->connectionRefused ? Listening::No : Listening::Unknown;
    }
    connection->stream.expires_never();
    connection->established = true;
    connection->idleSince = currentTime();
    core->idleConnections.release(call.address, connection);
    co_return Listening::Yes;
}

} // namespace

HttpClient::HttpClient(asio::io_context &context)
    : core(new Core{context})
{
}

HttpClient::~HttpClient()
{
    this->core->idleConnections.clear();
}

void HttpClient::limitConnections(std::size_t maxPerAddress)
{
    this->core->maxOpenPerAddress = maxPerAddress;
}

std::uint64_t HttpClient::openedCount() const
{
    return this->core->openedConnections;
}

asio::awaitable<HttpOutcome> HttpClient::send(HttpCall call, Step step)
{
    const std::shared_ptr<Core> shared = this->core;
    ConnectionPointer connection = shared->acquire(call);
    if (!connection) {
        co_return failure(ErrorCode::Overloaded, step, call, true, "too many open connections to the address");
    }
    const bool reused = connection->established;
    std::optional<HttpOutcome> first
        = co_await asio::co_spawn(connection->stream.get_executor(), exchangeCancellable(shared, connection, call, step), asio::use_awaitable);
    HttpOutcome outcome = std::move(*first);
    const bool cancelled = call.cancellation && call.cancellation->isCancelled();
    if (outcome || !reused || !call.resendOnStale || cancelled || outcome.error().responseStarted || outcome.error().error.code == ErrorCode::Timeout) {
        co_return outcome;
    }
    // The peer may have closed the idle connection. Sending again is allowed: the call would otherwise not set resendOnStale.
    connection = shared->create(call.address);
    if (!connection) {
        co_return outcome;
    }
    std::optional<HttpOutcome> second
        = co_await asio::co_spawn(connection->stream.get_executor(), exchangeCancellable(shared, connection, call, step), asio::use_awaitable);
    if (!*second) {
        // The first connection may have delivered the request before it failed.
        second->error().provablyNotSent = false;
        second->error().error.executed = Executed::Unknown;
    }
    co_return std::move(*second);
}

asio::awaitable<Listening> HttpClient::probe(std::string address, Duration timeout)
{
    const std::shared_ptr<Core> shared = this->core;
    const ConnectionPointer connection = shared->create(address);
    if (!connection) {
        co_return Listening::Unknown;
    }
    HttpCall call;
    call.address = std::move(address);
    call.connectTimeout = timeout;
    co_return co_await asio::co_spawn(connection->stream.get_executor(), probeConnection(shared, connection, std::move(call)), asio::use_awaitable);
}

} // namespace oleandergate
