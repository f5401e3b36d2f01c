#include "runtime/httpclient.h"

#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"
#include "runtime/connectionbudget.h"
#include "runtime/connectionpool.h"
#include "runtime/directdialer.h"
#include "runtime/log.h"
#include "runtime/unparsedbytes.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <limits>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);

//! Idle connections are no longer used from this long before their peer closes them, as announced in Keep-Alive.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);

//! Idle connections kept per address.
constexpr std::size_t maxIdlePerAddress = 32;

//! How often a call asks again for a connection while the process has none left.
constexpr Duration placeInterval = std::chrono::milliseconds(20);

//! Bytes behind a complete response that are read at most.
constexpr std::size_t maxBytesBehind = 4096;

//! Largest number of responses to other requests that a call skips.
constexpr int maxSkippedResponses = 4;

//! A connection whose responses name no request is given up behind this many: all of them are remembered, at 8 bytes each.
constexpr std::size_t maxRememberedResponses = 1024;

//! Largest number of interim responses (RFC 9110, 15.2) that a call reads over.
constexpr int maxInterimResponses = 8;

constexpr int firstInterimStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;
constexpr int statusSwitchingProtocols = 101;

//! A connection with its own strand, on which all its operations run.
struct Connection
{
    explicit Connection(asio::io_context &context)
        : executor(asio::make_strand(context))
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

    bool isEstablished() const
    {
        return this->dialed.stream != nullptr;
    }

    EndpointStream &stream()
    {
        return *this->dialed.stream;
    }

    //! Returns false when the peer has closed the connection or sent unrequested bytes.
    bool isReusable()
    {
        char probe = 0;
        beast::error_code error;
        tcp::socket &socket = this->stream().tcp().socket();
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }

    //! Remembers what \p response says. Returns false if an earlier response on this connection said the same.
    bool remember(const HttpResponse &response)
    {
        const std::uint64_t said = hashOf(response.body, static_cast<std::uint64_t>(response.status));
        if (std::ranges::find(this->responses, said) != this->responses.end()) {
            return false;
        }
        this->responses.push_back(said);
        return true;
    }

    //! Tells the call that used the connection last which bytes have arrived since.
    void reportLateBytes()
    {
        std::string bytes(maxBytesBehind, '\0');
        beast::error_code error;
        const std::size_t size = this->stream().tcp().socket().receive(asio::buffer(bytes), asio::socket_base::message_peek, error);
        bytes.resize(error ? 0 : size);
        if (this->onLateBytes && !bytes.empty()) {
            this->onLateBytes(bytes);
        }
    }

    //! Ends all operations. To be called on the strand.
    void close()
    {
        if (this->isEstablished()) {
            this->stream().tcp().close();
        }
    }

    asio::any_io_executor executor;
    DialedConnection dialed{};
    beast::flat_buffer buffer{maxUnparsedBytes};
    Time idleSince{};
    Time usableUntil = Time::max(); //!< The peer may close the connection after this time.
    std::vector<std::uint64_t> responses{}; //!< Hashes of the responses that name no request.
    std::function<void(const std::string &bytes)> onLateBytes{}; //!< Of the call that used the connection last.
    std::shared_ptr<std::atomic<std::size_t>> openCount{}; //!< Number of open connections to the same address.
    std::unique_ptr<ConnectionPlace> place{}; //!< Among the connections of the process; nullptr where these are not bounded.
};

using ConnectionPointer = std::shared_ptr<Connection>;

//! A call whose request is being sent or was sent.
struct CallUnderWay
{
    ConnectionPointer connection{};
    std::string address{};
    bool isRepeatable = false;
    bool lost = false; //!< Was given up.
    Time lastReceived{}; //!< When bytes last arrived, at first when the request was sent.
};

} // namespace

struct HttpClient::Core : std::enable_shared_from_this<HttpClient::Core>
{
    Core(asio::io_context &context, Dialer *givenDialer, std::size_t receiveBufferBytes)
        : context(context)
        , directDialer(receiveBufferBytes)
        , dialer(givenDialer == nullptr ? this->directDialer : *givenDialer)
    {
    }

    asio::io_context &context;
    DirectDialer directDialer;
    Dialer &dialer;
    ConnectionPool<Connection> idleConnections{maxIdlePerAddress};
    std::atomic<std::size_t> maxOpenPerAddress{std::numeric_limits<std::size_t>::max()};
    std::atomic<std::uint64_t> openedConnections{0};
    std::atomic<ConnectionBudget *> connectionBudget{nullptr};
    std::atomic<ConnectionKind> kind{ConnectionKind::Endpoint};
    std::mutex mutex{};
    std::map<std::string, std::shared_ptr<std::atomic<std::size_t>>> openCounts{}; //!< Guarded by the mutex.
    std::list<CallUnderWay> callsUnderWay{}; //!< Guarded by the mutex.
    std::list<std::shared_ptr<AsyncSignal>> waitingCalls{}; //!< For a connection, the oldest first. Guarded by the mutex.

    //! The turn of a call that waits for a connection. The next one has it when this one ends.
    class WaitingCall
    {
    public:
        explicit WaitingCall(Core &core)
            : woken(std::make_shared<AsyncSignal>())
            , core(core)
        {
            const std::lock_guard lock(this->core.mutex);
            this->position = this->core.waitingCalls.insert(this->core.waitingCalls.end(), this->woken);
        }
        ~WaitingCall()
        {
            const std::lock_guard lock(this->core.mutex);
            this->core.waitingCalls.erase(this->position);
            if (!this->core.waitingCalls.empty()) {
                this->core.waitingCalls.front()->notify();
            }
        }
        WaitingCall(const WaitingCall &) = delete;
        WaitingCall &operator=(const WaitingCall &) = delete;

        bool isFirst() const
        {
            const std::lock_guard lock(this->core.mutex);
            return this->core.waitingCalls.front() == this->woken;
        }

        const std::shared_ptr<AsyncSignal> woken;

    private:
        Core &core;
        std::list<std::shared_ptr<AsyncSignal>>::iterator position{};
    };

    //! Returns an idle connection or a new one; nullptr when too many connections to the address are open.
    ConnectionPointer acquire(const HttpCall &call)
    {
        const Time now = currentTime();
        while (call.reuse) {
            ConnectionPointer connection = this->idleConnections.acquire(call.address);
            if (!connection) {
                break;
            }
            const bool isFresh = now - connection->idleSince <= call.maxIdleAge && now < connection->usableUntil;
            const bool isWayKept = this->dialer.mayReuse(call.address, connection->dialed.path, now);
            const bool isQuiet = connection->isReusable();
            if (isFresh && isWayKept && isQuiet) {
                if (connection->place) {
                    connection->place->occupy();
                }
                return connection;
            }
            if (!isQuiet) {
                connection->reportLateBytes();
            }
        }
        return this->create(call.address);
    }

    //! Keeps a connection without a call for the next one.
    void keepIdle(const std::string &address, const ConnectionPointer &connection, Time now)
    {
        connection->stream().tcp().expires_never();
        connection->idleSince = now;
        this->idleConnections.release(address, connection);
        if (connection->place) {
            connection->place->rest();
        }
    }

    //! Returns an idle connection or a new one. Waits for one, behind the calls that wait already, while the process has too many. Returns nullptr when too
    //! many connections to the address are open, or when there is none before the call's time to connect is over.
    asio::awaitable<ConnectionPointer> acquireInTime(const HttpCall &call)
    {
        const Time giveUpAt = std::min(call.deadline.value_or(Time::max()), currentTime() + call.connectTimeout);
        ConnectionPointer connection = this->hasWaitingCalls() ? nullptr : this->acquire(call);
        if (connection || this->isAtLimit(call.address)) {
            co_return connection;
        }
        const WaitingCall waiting(*this);
        while (!connection && !this->isAtLimit(call.address) && currentTime() < giveUpAt && !(call.cancellation && call.cancellation->isCancelled())) {
            co_await waiting.woken->wait(placeInterval);
            connection = waiting.isFirst() ? this->acquire(call) : nullptr;
        }
        co_return connection;
    }

    bool hasWaitingCalls()
    {
        const std::lock_guard lock(this->mutex);
        return !this->waitingCalls.empty();
    }

    //! Returns whether no further connection to \p address may be opened.
    bool isAtLimit(const std::string &address)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->openCounts.find(address);
        return found != this->openCounts.end() && *found->second >= this->maxOpenPerAddress;
    }

    //! Returns a new connection; nullptr when too many connections are open, to \p address or of the process.
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
        ConnectionBudget *budget = this->connectionBudget;
        std::unique_ptr<ConnectionPlace> place = budget == nullptr ? nullptr : budget->openAdmitted(this->kind);
        if (budget != nullptr && !place) {
            return nullptr;
        }
        auto connection = std::make_shared<Connection>(this->context);
        *openCount += 1;
        connection->openCount = openCount;
        if (place) {
            takePlace(this->shared_from_this(), address, connection, std::move(place));
        }
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

//! Returns whether a final response follows the one with \p status. Nothing asks a peer to switch protocols, so no HTTP response follows that.
bool isInterim(int status)
{
    return status >= firstInterimStatus && status < firstFinalStatus && status != statusSwitchingProtocols;
}

//! Returns whether \p status is one that HTTP has for a response.
bool isStatus(int status)
{
    return isInterim(status) || (status >= firstFinalStatus && status <= lastStatus);
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

//! Returns the request of \p call, whose body it refers to.
http::request<http::span_body<const char>> toMessage(const HttpCall &call)
{
    http::request<http::span_body<const char>> message;
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
    const std::string_view body = call.body.empty() ? call.bodyInPlace : std::string_view(call.body);
    message.body() = beast::span<const char>(body.data(), body.size());
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
    connection.stream().tcp().expires_after(timeout);
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
    // Bytes after a complete response belong to no request, so such a connection cannot be reused.
    if (!message.keep_alive() || message.need_eof() || connection->buffer.size() > 0) {
        return;
    }
    const Time now = currentTime();
    applyKeepAliveTimeout(*connection, message, now);
    connection->onLateBytes = call.onLateBytes;
    core.keepIdle(call.address, connection, now);
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

//! Registers a call as long as it is under way.
class UnderWay
{
public:
    UnderWay(HttpClient::Core &core, const ConnectionPointer &connection, const HttpCall &call, Time now)
        : core(core)
    {
        const std::lock_guard lock(core.mutex);
        this->position = core.callsUnderWay.insert(core.callsUnderWay.end(), CallUnderWay{connection, call.address, call.isRepeatable, false, now});
    }

    ~UnderWay()
    {
        const std::lock_guard lock(this->core.mutex);
        this->core.callsUnderWay.erase(this->position);
    }
    UnderWay(const UnderWay &) = delete;
    UnderWay &operator=(const UnderWay &) = delete;

    void onReceived(Time now)
    {
        {
            const std::lock_guard lock(this->core.mutex);
            this->position->lastReceived = now;
        }
        this->core.dialer.onReceived(this->position->address, this->position->connection->dialed.path, now);
    }

    bool isLost() const
    {
        const std::lock_guard lock(this->core.mutex);
        return this->position->lost;
    }

private:
    HttpClient::Core &core;
    std::list<CallUnderWay>::iterator position;
};

asio::awaitable<HttpOutcome> receiveResponse(
    UnderWay &underWay, ConnectionPointer connection, const HttpCall &call, Step step, http::response_parser<http::string_body> &parser, bool &accepted)
{
    parser.body_limit(call.maxBodyBytes);
    std::size_t deliveredBytes = 0;
    std::size_t headBytes = 0;
    HttpResponse head;
    bool headReceived = false;
    while (!parser.is_done()) {
        if (!armTimer(*connection, call, call.idleTimeout)) {
            HttpFailure timedOut = failure(ErrorCode::Timeout, step, call, false, "no complete response before the deadline");
            timedOut.responseStarted = headReceived && accepted;
            co_return timedOut;
        }
        const auto [error, size] = co_await http::async_read_some(connection->stream(), connection->buffer, parser, useResult);
        if (size > 0) {
            underWay.onReceived(currentTime());
        }
        headBytes += parser.is_header_done() ? 0 : size;
        if (headBytes > maxUnparsedBytes) {
            // The parser's own limit holds for what is put in at a time.
            co_return failure(ErrorCode::EndpointGarbled, step, call, false, "the head of the response is too long");
        }
        if (parser.is_header_done() && !headReceived) {
            headReceived = true;
            head = toResponse(parser.get());
            head.body.clear();
            if (!isStatus(head.status)) {
                // What follows on the connection is not known either.
                co_return failure(ErrorCode::EndpointGarbled, step, call, false, "the status " + std::to_string(head.status) + " is none of HTTP");
            }
            accepted = !isInterim(head.status) && (!call.accepts || call.accepts(head));
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
        } else if (headReceived) {
            parser.get().body().clear();
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
        if (call.mayHold && !parser.is_done()) {
            const bool granted = co_await call.mayHold(connection->buffer.capacity() + parser.get().body().capacity());
            if (!granted) {
                HttpFailure ended = failure(ErrorCode::EndpointGarbled, step, call, false, "there is no room for the rest of the response");
                ended.responseStarted = headReceived && accepted;
                co_return ended;
            }
        }
    }
    co_return toResponse(parser.get());
}

//! Returns the bytes that have arrived behind a complete response, after \p wait where none had.
asio::awaitable<std::string> receiveBehind(ConnectionPointer connection, const HttpCall &call, Duration wait)
{
    if (connection->buffer.size() == 0 && wait > Duration::zero()) {
        co_await sleepFor(wait);
        beast::error_code error;
        const bool hasMore = connection->stream().tcp().socket().available(error) > 0;
        if (hasMore && armTimer(*connection, call, wait)) {
            const auto [readError, size] = co_await connection->stream().async_read_some(connection->buffer.prepare(maxBytesBehind), useResult);
            connection->buffer.commit(size);
        }
    }
    co_return beast::buffers_to_string(connection->buffer.data());
}

//! Returns whether other calls may use the connection, as far as \p response tells.
bool mayKeep(const Connection &connection, const HttpCall &call, const HttpResponse &response)
{
    return !call.isUnique || (connection.responses.size() < maxRememberedResponses && call.isUnique(response));
}

asio::awaitable<HttpOutcome> receiveAcceptedResponse(HttpClient::Core &core, UnderWay &underWay, ConnectionPointer connection, const HttpCall &call, Step step)
{
    int skipped = 0;
    int interim = 0;
    while (skipped <= maxSkippedResponses) {
        http::response_parser<http::string_body> parser;
        bool accepted = true;
        HttpOutcome outcome = co_await receiveResponse(underWay, connection, call, step, parser, accepted);
        if (outcome && accepted && call.isUnique && !connection->remember(outcome.value())) {
            logRecord(LogLevel::Warning,
                      "http",
                      "a response equals an earlier one of its connection, which was closed",
                      {{"step", std::string(stepName(step))}, {"peer", call.address}, {"target", call.target}});
            co_return failure(ErrorCode::EndpointGarbled, step, call, false, "the response equals an earlier one of its connection");
        }
        if (outcome && accepted && call.lookBehind) {
            outcome.value().bytesBehind = co_await receiveBehind(connection, call, call.lookBehind(outcome.value()));
        }
        if (outcome && accepted && mayKeep(*connection, call, outcome.value())) {
            keepConnection(core, connection, call, parser.get());
        }
        if (!outcome || accepted) {
            co_return outcome;
        }
        if (isInterim(outcome.value().status)) {
            interim += 1;
            if (interim > maxInterimResponses) {
                co_return failure(ErrorCode::EndpointGarbled, step, call, false, "more than " + std::to_string(maxInterimResponses) + " interim responses");
            }
            continue;
        }
        if (!parser.get().keep_alive() || parser.get().need_eof()) {
            break;
        }
        skipped += 1;
    }
    co_return failure(ErrorCode::EndpointGarbled, step, call, false, "only responses to other requests were received");
}

asio::awaitable<std::optional<HttpFailure>> connect(HttpClient::Core &core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    const Time now = currentTime();
    core.openedConnections += 1;
    const Time giveUpAt = std::min(call.deadline.value_or(Time::max()), now + call.connectTimeout);
    DialOutcome dialed = co_await core.dialer.dial(connection->executor, call.address, giveUpAt);
    if (!dialed) {
        HttpFailure result = failure(dialed.error().code, step, call, true, dialed.error().detail);
        result.connectionRefused = dialed.error().refused;
        co_return result;
    }
    connection->dialed = std::move(dialed.value());
    co_return std::nullopt;
}

asio::awaitable<HttpOutcome> exchange(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    const bool wasUsed = connection->isEstablished();
    if (!wasUsed) {
        std::optional<HttpFailure> failed = co_await connect(*core, connection, call, step);
        if (failed) {
            co_return std::move(*failed);
        }
    }
    if (call.cancellation && call.cancellation->isCancelled()) {
        co_return failure(ErrorCode::Cancelled, step, call, true, "the request was cancelled before it was sent");
    }
    const http::request<http::span_body<const char>> message = toMessage(call);
    if (call.maySend && !call.maySend()) {
        co_return failure(ErrorCode::Cancelled, step, call, true, "the request was withdrawn before it was sent");
    }
    if (!armTimer(*connection, call, call.idleTimeout)) {
        co_return failure(ErrorCode::Timeout, step, call, true, "the deadline passed before sending");
    }
    if (call.onConnection) {
        call.onConnection(connection->dialed.path, wasUsed);
    }
    UnderWay underWay(*core, connection, call, currentTime());
    const auto [error, size] = co_await http::async_write(connection->stream(), message, useResult);
    HttpOutcome outcome = failure(codeOf(error), step, call, false, "write: " + error.message());
    if (!error) {
        outcome = co_await receiveAcceptedResponse(*core, underWay, connection, call, step);
    }
    if (!outcome && underWay.isLost()) {
        outcome.error().connectionLost = true;
        outcome.error().error.detail = "nothing arrived over a connection whose way is cut off";
    }
    co_return outcome;
}

asio::awaitable<std::optional<HttpOutcome>>
exchangeCancellable(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    for (const std::shared_ptr<Cancellation> &cancellation : {call.cancellation, call.abort}) {
        if (cancellation) {
            cancellation->setHook([connection]() {
                asio::post(connection->executor, [connection]() {
                    connection->close();
                });
            });
        }
    }
    HttpOutcome outcome = co_await exchange(core, connection, call, step);
    if (call.abort) {
        call.abort->setHook({});
    }
    if (call.cancellation) {
        call.cancellation->setHook({});
        if (!outcome && call.cancellation->isCancelled()) {
            outcome.error().error.code = ErrorCode::Cancelled;
        }
    }
    co_return outcome;
}

asio::awaitable<Listening> probeConnection(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, HttpCall call, Duration settleTime)
{
    const std::optional<HttpFailure> failed = co_await connect(*core, connection, call, Step::Send);
    if (failed) {
        co_return failed->connectionRefused ? Listening::No : Listening::Unknown;
    }
    if (settleTime > Duration::zero()) {
        co_await sleepFor(settleTime);
        if (!connection->isReusable()) {
            const ConnectionPointer again = core->create(call.address);
            co_return again ? co_await probeConnection(core, again, std::move(call), Duration::zero()) : Listening::Unknown;
        }
    }
    core->keepIdle(call.address, connection, currentTime());
    co_return Listening::Yes;
}

} // namespace

HttpClient::HttpClient(asio::io_context &context, std::size_t receiveBufferBytes)
    : core(std::make_shared<Core>(context, nullptr, receiveBufferBytes))
{
}

HttpClient::HttpClient(asio::io_context &context, Dialer &dialer)
    : core(std::make_shared<Core>(context, &dialer, 0))
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

void HttpClient::shareLimits(ConnectionBudget &budget, ConnectionKind kind)
{
    this->core->kind = kind;
    this->core->connectionBudget = &budget;
}

std::uint64_t HttpClient::openedCount() const
{
    return this->core->openedConnections;
}

asio::awaitable<HttpOutcome> HttpClient::send(HttpCall call, Step step)
{
    const std::shared_ptr<Core> shared = this->core;
    ConnectionPointer connection = co_await shared->acquireInTime(call);
    if (!connection) {
        HttpFailure none = failure(ErrorCode::Overloaded, step, call, true, "too many open connections");
        none.noConnectionLeft = !shared->isAtLimit(call.address);
        co_return none;
    }
    const bool reused = connection->isEstablished();
    std::optional<HttpOutcome> first = co_await asio::co_spawn(connection->executor, exchangeCancellable(shared, connection, call, step), asio::use_awaitable);
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
    std::optional<HttpOutcome> second = co_await asio::co_spawn(connection->executor, exchangeCancellable(shared, connection, call, step), asio::use_awaitable);
    if (!*second) {
        // The first connection may have delivered the request before it failed.
        second->error().provablyNotSent = false;
        second->error().error.executed = Executed::Unknown;
    }
    co_return std::move(*second);
}

asio::awaitable<Listening> HttpClient::probe(std::string address, Duration timeout, Duration settleTime)
{
    const std::shared_ptr<Core> shared = this->core;
    const ConnectionPointer connection = shared->create(address);
    if (!connection) {
        co_return Listening::Unknown;
    }
    HttpCall call;
    call.address = std::move(address);
    call.connectTimeout = timeout;
    co_return co_await asio::co_spawn(connection->executor, probeConnection(shared, connection, std::move(call), settleTime), asio::use_awaitable);
}

void HttpClient::dropLostIdle(Time now)
{
    this->core->idleConnections.dropIf([this, now](const std::string &address, const Connection &connection) {
        return !this->core->dialer.mayReuse(address, connection.dialed.path, now);
    });
}

std::vector<std::string> HttpClient::giveUpLostCalls(Duration silence, Time now)
{
    std::set<std::string> silent;
    const std::lock_guard lock(this->core->mutex);
    for (CallUnderWay &call : this->core->callsUnderWay) {
        const ConnectionPath &path = call.connection->dialed.path;
        if (call.lost || now - call.lastReceived < silence) {
            continue;
        }
        if (path.peer.empty()) {
            silent.insert(call.address);
        }
        if (call.isRepeatable && !this->core->dialer.mayReuse(call.address, path, now)) {
            call.lost = true;
            asio::post(call.connection->executor, [connection = call.connection]() {
                connection->close();
            });
        }
    }
    return {silent.begin(), silent.end()};
}

} // namespace oleandergate
