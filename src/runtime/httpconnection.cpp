#include "runtime/httpconnection.h"

#include "runtime/beastexchange.h"
#include "runtime/clock.h"
#include "runtime/connectionbudget.h"
#include "runtime/memorybudget.h"
#include "runtime/unparsedbytes.h"

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

//! After its last response a connection is read until the caller closes it, is silent for this long, or the limit passes. Closing it with unread
//! bytes would reset it, and the caller could lose the response.
constexpr std::chrono::milliseconds lingerSilence{500};
constexpr std::chrono::milliseconds lingerLimit{5000};

constexpr std::size_t minReadBytes = 512;

//! A connection that waits for a request keeps a buffer of this size at most.
constexpr std::size_t maxIdleBufferBytes = 2048;

//! Bytes of a body that are read at a time. Room for them is asked for before: each of many connections would otherwise hold a large step beyond what is
//! granted.
constexpr std::size_t bodyReadBytes = 16UL * 1024;

//! A body of unknown length grows by at least this part of its size, so that it is not copied with each step.
constexpr std::size_t bodyGrowthDivisor = 4;

//! Memory of a header field beside its text, in the request and in what is made of it.
constexpr std::size_t headerFieldBytes = 256;

//! Shortest header field, with its line end.
constexpr std::size_t minFieldLength = 4;

//! Bytes with header fields that are parsed at a time. Fields take many times as much memory as their bytes, which is asked for behind each step.
constexpr std::size_t fieldStepBytes = 1024;

constexpr int serviceUnavailable = 503;
constexpr const char *memoryDetail = "the instance holds too much for other requests";
constexpr const char *placeDetail = "the connection is needed for another caller";
constexpr const char *shutdownDetail = "the instance shuts down before the request has arrived";

std::size_t headMemory(const http::request<http::string_body> &message)
{
    return static_cast<std::size_t>(std::distance(message.begin(), message.end())) * headerFieldBytes;
}

HttpRequest toRequestHead(const http::request<http::string_body> &message, const std::string &peer)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.peer = peer;
    for (const auto &field : message) {
        request.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

HttpRequest toRequest(http::request<http::string_body> &&message, const std::string &peer)
{
    HttpRequest request = toRequestHead(message, peer);
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

} // namespace

HttpLimits HttpServer::Core::currentLimits()
{
    const std::lock_guard lock(this->mutex);
    return this->limits;
}

ConnectionCounts HttpServer::Core::counts() const
{
    ConnectionCounts found;
    for (std::size_t index = 0; index < found.byPhase.size(); ++index) {
        found.byPhase[index] = this->phaseCounts[index];
    }
    return found;
}

void HttpServer::Core::forEachConnection(const std::function<void(HttpConnection &)> &action)
{
    std::vector<std::shared_ptr<HttpConnection>> found;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[key, entry] : this->connections) {
            if (std::shared_ptr<HttpConnection> connection = entry.lock()) {
                found.push_back(std::move(connection));
            }
        }
    }
    for (const std::shared_ptr<HttpConnection> &connection : found) {
        action(*connection);
    }
}

HttpConnection::HttpConnection(std::shared_ptr<HttpServer::Core> givenCore, tcp::socket socket, std::unique_ptr<ConnectionPlace> givenPlace)
    : core(std::move(givenCore))
    , stream(std::move(socket))
    , watcher(std::make_shared<DisconnectWatcher>(stream))
    , place(std::move(givenPlace))
{
    this->core->openConnections += 1;
    this->core->phaseCounts.at(static_cast<std::size_t>(this->phase)) += 1;
}

HttpConnection::~HttpConnection()
{
    this->core->phaseCounts.at(static_cast<std::size_t>(this->phase)) -= 1;
    this->core->openConnections -= 1;
    const std::lock_guard lock(this->core->mutex);
    this->core->connections.erase(this);
}

void HttpConnection::enter(ConnectionPhase next)
{
    this->core->phaseCounts.at(static_cast<std::size_t>(next)) += 1;
    this->core->phaseCounts.at(static_cast<std::size_t>(this->phase)) -= 1;
    this->phase = next;
    if (this->place && next == ConnectionPhase::Handling) {
        this->place->occupy();
    } else {
        this->noteProgress();
    }
}

void HttpConnection::noteProgress()
{
    if (this->place && !this->givesWay) {
        this->place->rest();
    }
}

void HttpConnection::giveWay()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()]() {
        beast::error_code ignored;
        const bool hasArrived = self->stream.socket().available(ignored) > 0;
        if (self->phase == ConnectionPhase::Idle && !self->hasInput()) {
            self->givesWay = true;
            self->stream.socket().cancel(ignored);
        } else if (self->phase == ConnectionPhase::Receiving && (self->waitingForRoom != nullptr || !hasArrived)) {
            self->givesWay = true;
            self->refuse(placeDetail);
            self->stopReading();
        } else if (self->phase == ConnectionPhase::Closing) {
            self->givesWay = true;
            self->stream.close();
        } else if (self->phase != ConnectionPhase::Handling) {
            self->noteProgress();
        }
    });
}

bool HttpConnection::hasInput()
{
    beast::error_code ignored;
    return this->buffer.size() > 0 || this->stream.socket().available(ignored) > 0;
}

bool HttpConnection::mayKeepAlive()
{
    if (!this->hasInput()) {
        return !this->core->keepAliveDisabled && !this->core->stopping && !this->core->refusing;
    }
    // A request that has already arrived behind this one is answered too, unless it would keep the place from others.
    return !this->place || !this->place->yieldsAfterRequest();
}

void HttpConnection::closeIfIdle()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()]() {
        if (self->phase == ConnectionPhase::Idle && !self->hasInput()) {
            beast::error_code ignored;
            self->stream.socket().cancel(ignored);
        }
    });
}

void HttpConnection::refuse(const char *detail)
{
    if (!this->refusal) {
        this->refusal = this->core->formatError(serviceUnavailable, detail);
    }
}

void HttpConnection::stopReading()
{
    this->stream.cancel();
    if (this->waitingForRoom != nullptr) {
        this->waitingForRoom->stopWaiting();
    }
}

void HttpConnection::refuseIfReceiving()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()]() {
        if (self->phase == ConnectionPhase::Receiving) {
            self->refuse(shutdownDetail);
            beast::error_code ignored;
            // The rest of the request may have arrived, and others behind it.
            if (self->waitingForRoom != nullptr || self->stream.socket().available(ignored) == 0) {
                self->stopReading();
            }
        }
    });
}

void HttpConnection::drop()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()]() {
        self->stream.close();
    });
}

asio::awaitable<void> HttpConnection::serve()
{
    beast::error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    const tcp::endpoint remote = this->stream.socket().remote_endpoint(ignored);
    this->peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    {
        const std::lock_guard lock(this->core->mutex);
        this->core->connections.emplace(this, this->weak_from_this());
    }
    if (this->place) {
        this->place->setEnding([connection = this->weak_from_this()]() {
            if (const std::shared_ptr<HttpConnection> self = connection.lock()) {
                self->giveWay();
            }
        });
    }
    bool open = true;
    while (open) {
        const HttpLimits limits = this->core->currentLimits();
        this->enter(ConnectionPhase::Idle);
        this->shrinkBuffer();
        if (!this->hasInput() && (this->core->stopping || !co_await this->waitForRequest(limits.idleTimeout))) {
            break;
        }
        this->givesWay = false;
        this->enter(ConnectionPhase::Receiving);
        open = co_await this->serveRequest(limits);
    }
    co_await this->close();
}

asio::awaitable<void> HttpConnection::reject(std::string detail)
{
    HttpResponse response = this->core->formatError(serviceUnavailable, detail);
    co_await this->sendLast(std::move(response));
    co_await this->close();
}

asio::awaitable<bool> HttpConnection::waitForRequest(Duration timeout)
{
    char probe = 0;
    this->stream.expires_after(timeout);
    const auto [error, size] = co_await this->stream.socket().async_receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, useResult);
    co_return !error && size > 0;
}

asio::awaitable<void> HttpConnection::holdRequest(const Parser &parser, HeldMemory &held, Time giveUpAt)
{
    if (parser.is_done()) {
        co_return;
    }
    if (parser.is_header_done()) {
        held.describe(HeldFor::Arriving, !parser.chunked());
    }
    // The memory of a body whose length is stated is reserved at once, and used as the body arrives.
    const std::string &body = parser.get().body();
    const std::size_t bodyMemory = parser.chunked() ? body.capacity() : body.size();
    co_await this->holdBytes(held, headMemory(parser.get()) + this->buffer.capacity() + bodyMemory, giveUpAt);
}

asio::awaitable<void> HttpConnection::holdBytes(HeldMemory &held, std::size_t bytes, Time giveUpAt)
{
    this->waitingForRoom = &held;
    const bool granted = co_await held.hold(bytes, giveUpAt);
    this->waitingForRoom = nullptr;
    if (!granted) {
        this->refuse(memoryDetail);
    }
}

asio::awaitable<void> HttpConnection::makeRoomForBody(Parser &parser, HeldMemory &held, Time giveUpAt)
{
    std::string &body = parser.get().body();
    const std::size_t headBytes = headMemory(parser.get()) + this->trailerMemory() + this->buffer.capacity();
    const std::size_t needed = body.size() + bodyReadBytes;
    if (!parser.chunked() || body.capacity() >= needed) {
        co_await this->holdBytes(held, headBytes + body.size() + 2 * bodyReadBytes, giveUpAt);
        co_return;
    }
    // While the body is copied, both blocks exist.
    const std::size_t grown = needed + body.size() / bodyGrowthDivisor;
    co_await this->holdBytes(held, headBytes + body.capacity() + grown + bodyReadBytes, giveUpAt);
    if (!this->refusal) {
        body.reserve(grown);
    }
}

void HttpConnection::endForMemory()
{
    asio::post(this->stream.get_executor(), [self = this->shared_from_this()]() {
        if (self->phase == ConnectionPhase::Receiving) {
            self->refuse(memoryDetail);
            self->stopReading();
        }
    });
}

bool HttpConnection::parseSome(Parser &parser, std::size_t &parsedBytes, beast::error_code &error)
{
    const std::size_t available = this->buffer.size();
    const bool mayHaveFields = !parser.is_header_done() || parser.chunked();
    const std::size_t offered = mayHaveFields ? std::min(available, this->parseStep) : available;
    const std::size_t parsed = parser.put(asio::buffer(this->buffer.data().data(), offered), error);
    this->buffer.consume(parsed);
    parsedBytes += parsed;
    this->parseStep = parsed > 0 ? fieldStepBytes : std::max(this->parseStep, offered + fieldStepBytes);
    return parsed > 0 ? this->buffer.size() == 0 : offered == available;
}

asio::awaitable<beast::error_code> HttpConnection::readHead(Parser &parser, HeldMemory &held, Duration timeout)
{
    const Time giveUpAt = currentTime() + timeout;
    std::size_t headBytes = 0;
    while (true) {
        beast::error_code error;
        const bool isExhausted = this->parseSome(parser, headBytes, error);
        // The parser's own limit holds for what is put in at a time, and it takes fields as they arrive.
        const bool isTooLong = headBytes > this->maxHeaderBytes;
        if (parser.is_header_done() || isTooLong) {
            co_return isTooLong ? http::error::header_limit : beast::error_code();
        }
        if (error && error != http::error::need_more) {
            co_return error;
        }
        co_await this->holdRequest(parser, held, giveUpAt);
        if (this->refusal) {
            co_return beast::error_code();
        }
        if (!isExhausted) {
            continue;
        }
        const std::size_t wanted = std::max(minReadBytes, this->buffer.capacity() - this->buffer.size());
        const std::size_t room = std::min(wanted, this->buffer.max_size() - this->buffer.size());
        const auto [readError, size] = co_await this->stream.async_read_some(this->buffer.prepare(room), useResult);
        this->buffer.commit(size);
        this->noteProgress();
        if (readError == asio::error::eof) {
            co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (readError) {
            co_return readError;
        }
    }
}

asio::awaitable<beast::error_code> HttpConnection::readBody(Parser &parser, HeldMemory &held, Duration timeout)
{
    const Time giveUpAt = currentTime() + timeout;
    this->stream.expires_after(timeout);
    while (!parser.is_done() && !this->refusal) {
        co_await this->makeRoomForBody(parser, held, giveUpAt);
        if (this->refusal) {
            break;
        }
        const std::size_t room = std::min(bodyReadBytes, this->buffer.max_size() - this->buffer.size());
        if (room == 0) {
            co_return http::error::buffer_overflow;
        }
        const auto [readError, size] = co_await this->stream.async_read_some(this->buffer.prepare(room), useResult);
        this->buffer.commit(size);
        this->noteProgress();
        if (readError) {
            co_return readError == asio::error::eof ? http::error::partial_message : readError;
        }
        const beast::error_code error = co_await this->parseBody(parser, held, giveUpAt);
        if (error) {
            co_return error;
        }
    }
    co_return beast::error_code();
}

asio::awaitable<beast::error_code> HttpConnection::parseBody(Parser &parser, HeldMemory &held, Time giveUpAt)
{
    bool isExhausted = false;
    while (!isExhausted && !parser.is_done()) {
        if (this->trailerMemory() > 0) {
            co_await this->makeRoomForBody(parser, held, giveUpAt);
            if (this->refusal) {
                break;
            }
        }
        beast::error_code error;
        std::size_t parsedBytes = 0;
        isExhausted = this->parseSome(parser, parsedBytes, error);
        if (error && error != http::error::need_more) {
            co_return error;
        }
    }
    co_return beast::error_code();
}

std::size_t HttpConnection::trailerMemory() const
{
    return this->parseStep > 2 * fieldStepBytes ? this->parseStep / minFieldLength * headerFieldBytes : 0;
}

asio::awaitable<beast::error_code> HttpConnection::readRequest(Parser &parser, HeldMemory &held, Duration timeout)
{
    this->stream.expires_after(timeout);
    const beast::error_code headError = co_await this->readHead(parser, held, timeout);
    if (headError || parser.is_done() || this->refusal || !this->readsBody) {
        co_return headError;
    }
    // A request of which all has arrived is refused later, when it is to be handled: refusing it here would end the connection under requests that lie behind
    // it.
    const beast::error_code bodyError = co_await this->readArrived(parser, held, currentTime() + timeout);
    if (bodyError || parser.is_done() || this->refusal) {
        co_return bodyError;
    }
    if (this->core->refusing) {
        this->refuse(shutdownDetail);
    } else if (this->core->admission) {
        this->refusal = this->core->admission(toRequestHead(parser.get(), this->peer), currentTime());
    }
    if (this->refusal) {
        co_return beast::error_code();
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(this->stream, asio::buffer(continueResponse), useResult);
        if (this->refusal) {
            co_return beast::error_code();
        }
    }
    co_return co_await this->readBody(parser, held, timeout);
}

asio::awaitable<beast::error_code> HttpConnection::readArrived(Parser &parser, HeldMemory &held, Time giveUpAt)
{
    parser.eager(true);
    while (true) {
        const beast::error_code error = co_await this->parseBody(parser, held, giveUpAt);
        if (error || parser.is_done() || this->refusal) {
            co_return error;
        }
        co_await this->makeRoomForBody(parser, held, giveUpAt);
        if (this->refusal) {
            co_return beast::error_code();
        }
        beast::error_code ignored;
        const std::size_t room = std::min(bodyReadBytes, this->buffer.max_size() - this->buffer.size());
        const std::size_t arrived = std::min(this->stream.socket().available(ignored), room);
        if (arrived == 0) {
            co_return room == 0 ? http::error::buffer_overflow : beast::error_code();
        }
        const auto [readError, size] = co_await this->stream.async_read_some(this->buffer.prepare(arrived), useResult);
        this->buffer.commit(size);
        this->noteProgress();
        if (readError) {
            co_return readError;
        }
    }
}

asio::awaitable<bool> HttpConnection::serveRequest(HttpLimits limits)
{
    this->buffer.max_size(limits.maxHeaderBytes + maxUnparsedBytes);
    this->maxHeaderBytes = limits.maxHeaderBytes;
    this->parseStep = fieldStepBytes;
    this->readsBody = limits.readsBodies;
    Parser parser;
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    HeldMemory held(this->core->memory, HeldFor::Arriving);
    held.setEnding([connection = this->weak_from_this()]() {
        if (const std::shared_ptr<HttpConnection> self = connection.lock()) {
            self->endForMemory();
        }
    });
    const beast::error_code error = co_await this->readRequest(parser, held, limits.receiveTimeout);
    const bool isRefused = this->refusal && !parser.is_done() && (!error || error == asio::error::operation_aborted);
    if (error || isRefused) {
        const int status = isRefused ? 0 : statusOfReadError(error);
        // What has arrived is of no use, and its caller may take long to receive the refusal.
        parser.get().body() = std::string();
        this->dropInput();
        if (isRefused || status != 0) {
            HttpResponse response = isRefused ? std::move(*this->refusal) : this->core->formatError(status, error.message());
            co_await this->sendLast(std::move(response));
        }
        co_return false;
    }
    this->refusal.reset();
    this->givesWay = false;
    held.describe(HeldFor::Request, true);
    co_await this->holdBytes(held, headMemory(parser.get()) + this->buffer.capacity() + parser.get().body().capacity(), currentTime() + limits.receiveTimeout);
    if (this->refusal) {
        HttpResponse response = std::move(*this->refusal);
        co_await this->sendLast(std::move(response));
        co_return false;
    }
    if (hasAmbiguousFraming(parser.get())) {
        HttpResponse response
            = this->core->formatError(400, "ambiguous request framing: repeated or contradictory Host, Content-Length or Transfer-Encoding header fields");
        co_await this->sendLast(std::move(response));
        co_return false;
    }
    this->enter(ConnectionPhase::Handling);
    this->stream.expires_never();
    const bool callerKeepsAlive = parser.get().keep_alive() && parser.is_done();
    const bool callerReadsChunks = parser.get().version() >= 11;
    BeastExchange exchange(
        this->stream,
        this->watcher,
        [this, callerKeepsAlive]() {
            return callerKeepsAlive && this->mayKeepAlive();
        },
        callerReadsChunks);
    if (this->core->refusing) {
        HttpResponse response = this->core->formatError(serviceUnavailable, shutdownDetail);
        co_await exchange.respond(std::move(response));
    } else {
        HttpRequest request = toRequest(std::move(parser.get()), this->peer);
        co_await this->handle(exchange, std::move(request));
    }
    this->responseSent = exchange.hasSentResponse();
    this->mustReset = exchange.needsReset();
    co_return exchange.keepsAlive();
}

asio::awaitable<void> HttpConnection::handle(BeastExchange &exchange, HttpRequest request)
{
    std::string failure;
    try {
        co_await this->core->handler(std::move(request), exchange);
    } catch (const std::exception &error) {
        failure = error.what();
        exchange.closeAfterResponse();
    }
    if (!exchange.responseStarted && (!exchange.responseOptional || !failure.empty())) {
        HttpResponse response = this->core->formatError(500, failure.empty() ? "the handler sent no response" : failure);
        co_await exchange.respond(std::move(response));
    }
}

asio::awaitable<void> HttpConnection::sendLast(HttpResponse response)
{
    this->enter(ConnectionPhase::Handling);
    BeastExchange exchange(
        this->stream,
        this->watcher,
        []() {
            return false;
        },
        true);
    co_await exchange.respond(std::move(response));
    this->responseSent = exchange.hasSentResponse();
}

void HttpConnection::shrinkBuffer()
{
    if (this->buffer.capacity() > std::max(maxIdleBufferBytes, 2 * this->buffer.size())) {
        this->buffer.shrink_to_fit();
    }
}

void HttpConnection::dropInput()
{
    this->buffer.consume(this->buffer.size());
    this->buffer.shrink_to_fit();
}

asio::awaitable<void> HttpConnection::close()
{
    this->enter(ConnectionPhase::Closing);
    this->dropInput();
    if (this->mustReset) {
        this->stream.close();
        co_return;
    }
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    const Time until = currentTime() + lingerLimit;
    std::array<char, 4096> scratch{};
    while (this->responseSent && !this->givesWay && currentTime() < until) {
        this->stream.expires_after(lingerSilence);
        const auto [error, size] = co_await this->stream.async_read_some(asio::buffer(scratch), useResult);
        this->responseSent = !error;
    }
    this->stream.close();
}

} // namespace oleandergate
