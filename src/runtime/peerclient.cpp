#include "runtime/peerclient.h"

#include "runtime/address.h"
#include "runtime/answerchannel.h"
#include "runtime/clock.h"
#include "runtime/connectionbudget.h"
#include "runtime/connectionpool.h"
#include "runtime/peerframing.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds connectTimeout{1};

//! The server sends empty chunks more often than this while it executes a command.
constexpr std::chrono::seconds silenceTimeout{2};

//! A step of an exchange that is out of time fails after this time.
constexpr Duration minTimeout = std::chrono::milliseconds(1);

//! Idle connections kept per instance.
constexpr std::size_t maxIdlePerPeer = 64;

struct PeerConnection
{
    PeerConnection(asio::io_context &context, const MessageAuth &auth)
        : stream(asio::make_strand(context))
        , framing(stream, auth, false)
    {
    }

    boost::beast::tcp_stream stream;
    PeerFraming framing;
    bool established = false;
    std::unique_ptr<ConnectionPlace> place{}; //!< Among the connections of the process; nullptr where these are not bounded.
};

using ConnectionPointer = std::shared_ptr<PeerConnection>;

} // namespace

struct PeerClient::Core
{
    asio::io_context &context;
    const MessageAuth &auth;
    ConnectionPool<PeerConnection> idleConnections{maxIdlePerPeer};
    ConnectionBudget *connectionBudget = nullptr;
};

namespace {

//! Returns an idle connection or a new one; nullptr when the process has too many.
ConnectionPointer acquire(const std::shared_ptr<PeerClient::Core> &core, const std::string &address, bool forceNew)
{
    ConnectionPointer idle = forceNew ? nullptr : core->idleConnections.acquire(address);
    if (idle) {
        if (idle->place) {
            idle->place->occupy();
        }
        return idle;
    }
    std::unique_ptr<ConnectionPlace> place = core->connectionBudget == nullptr ? nullptr : core->connectionBudget->openAdmitted(ConnectionKind::Control);
    if (core->connectionBudget != nullptr && !place) {
        return nullptr;
    }
    auto opened = std::make_shared<PeerConnection>(core->context, core->auth);
    if (place) {
        takePlace(core, address, opened, std::move(place));
    }
    return opened;
}

Error tooManyConnections(const std::string &address)
{
    return Error{ErrorCode::PeerFailed, Step::Forward, address, Executed::No, std::nullopt, "too many open connections"};
}

using Reply = std::optional<Result<PeerMessage>>;

//! Returns \p limit, or what is left until \p giveUpAt if that is less.
Duration timeoutWithin(Duration limit, Time giveUpAt)
{
    return std::clamp(Duration(giveUpAt - currentTime()), minTimeout, limit);
}

asio::awaitable<Reply> exchange(std::shared_ptr<PeerClient::Core> core,
                                ConnectionPointer connection,
                                const std::string &address,
                                const PeerMessage &command,
                                const std::shared_ptr<AnswerChannel> &chunks,
                                Time giveUpAt,
                                bool &replyStarted)
{
    const auto failed = [&address](const std::string &detail) {
        return Error{ErrorCode::PeerFailed, Step::Forward, address, Executed::Unknown, std::nullopt, detail};
    };
    if (!connection->established) {
        const auto endpoint = parseTcpAddress(address);
        if (!endpoint) {
            co_return failed("the address is not an IP address and a port");
        }
        connection->stream.expires_after(timeoutWithin(connectTimeout, giveUpAt));
        const auto [error] = co_await connection->stream.async_connect(*endpoint, useResult);
        if (error) {
            co_return failed("connect: " + error.message());
        }
        boost::system::error_code ignored;
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        const Result<void> opened = co_await connection->framing.handshake(timeoutWithin(connectTimeout, giveUpAt));
        if (!opened) {
            co_return opened.error();
        }
    }
    const Result<void> written = co_await connection->framing.write(command, timeoutWithin(silenceTimeout, giveUpAt));
    if (!written) {
        co_return written.error();
    }
    while (true) {
        Result<PeerMessage> message = co_await connection->framing.read(timeoutWithin(silenceTimeout, giveUpAt));
        if (!message) {
            co_return message.error();
        }
        replyStarted = true;
        const auto *chunk = std::get_if<AnswerChunk>(&message.value());
        if (chunk == nullptr) {
            connection->stream.expires_never();
            connection->established = true;
            core->idleConnections.release(address, connection);
            if (connection->place) {
                connection->place->rest();
            }
            co_return message;
        }
        if (!chunk->text.empty() && chunks) {
            chunks->push(chunk->text);
        }
    }
}

} // namespace

PeerClient::PeerClient(asio::io_context &context, const MessageAuth &auth)
    : core(new Core{context, auth})
{
}

PeerClient::~PeerClient()
{
    this->core->idleConnections.clear();
}

void PeerClient::shareLimits(ConnectionBudget &budget)
{
    this->core->connectionBudget = &budget;
}

asio::awaitable<Result<PeerMessage>> PeerClient::send(std::string address, PeerMessage command, std::shared_ptr<AnswerChannel> chunks)
{
    return this->sendBefore(Time::max(), std::move(address), std::move(command), std::move(chunks));
}

asio::awaitable<Result<PeerMessage>> PeerClient::sendWithin(Duration timeLimit, std::string address, PeerMessage command)
{
    return this->sendBefore(currentTime() + timeLimit, std::move(address), std::move(command), nullptr);
}

asio::awaitable<Result<PeerMessage>> PeerClient::sendBefore(Time giveUpAt, std::string address, PeerMessage command, std::shared_ptr<AnswerChannel> chunks)
{
    const std::shared_ptr<Core> shared = this->core;
    ConnectionPointer connection = acquire(shared, address, false);
    if (!connection) {
        co_return tooManyConnections(address);
    }
    const bool reused = connection->established;
    bool replyStarted = false;
    Reply reply = co_await asio::co_spawn(
        connection->stream.get_executor(), exchange(shared, connection, address, command, chunks, giveUpAt, replyStarted), asio::use_awaitable);
    if (*reply || !reused || replyStarted || currentTime() >= giveUpAt) {
        co_return std::move(*reply);
    }
    // The peer may have closed the idle connection. Commands are idempotent at their owner, so sending one again is safe.
    connection = acquire(shared, address, true);
    if (!connection) {
        co_return std::move(*reply);
    }
    Reply second = co_await asio::co_spawn(
        connection->stream.get_executor(), exchange(shared, connection, address, command, chunks, giveUpAt, replyStarted), asio::use_awaitable);
    co_return std::move(*second);
}

} // namespace oleandergate
