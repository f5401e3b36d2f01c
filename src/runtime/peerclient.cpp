#include "runtime/peerclient.h"

#include "runtime/address.h"
#include "runtime/answerchannel.h"
#include "runtime/connectionpool.h"
#include "runtime/peerframe.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds connectTimeout{1};

//! The serving side sends empty pieces more often than this while it works.
constexpr std::chrono::seconds silenceTimeout{2};

//! Idle connections that are kept to one instance.
constexpr std::size_t keptPerPeer = 64;

struct PeerConnection
{
    PeerConnection(asio::io_context &context, const MessageAuth &auth)
        : stream(asio::make_strand(context))
        , framing(stream, auth, false)
    {
    }

    boost::beast::tcp_stream stream;
    PeerFraming framing;
    bool used = false;
};

using ConnectionPointer = std::shared_ptr<PeerConnection>;

} // namespace

struct PeerClient::Core
{
    asio::io_context &context;
    const MessageAuth &auth;
    ConnectionPool<PeerConnection> kept{keptPerPeer};

    ConnectionPointer take(const std::string &address, bool fresh)
    {
        ConnectionPointer connection = fresh ? nullptr : this->kept.take(address);
        return connection ? connection : std::make_shared<PeerConnection>(this->context, this->auth);
    }
};

namespace {

using Reply = std::optional<Result<PeerMessage>>;

asio::awaitable<Reply> exchange(std::shared_ptr<PeerClient::Core> core,
                                ConnectionPointer connection,
                                const std::string &address,
                                const PeerMessage &command,
                                const std::shared_ptr<AnswerChannel> &pieces,
                                bool &gotAnything)
{
    const auto failed = [&address](const std::string &detail) {
        return Error{ErrorCode::PeerFailed, Step::Forward, address, Ran::Unknown, std::nullopt, detail};
    };
    if (!connection->used) {
        const auto endpoint = parseTcpAddress(address);
        if (!endpoint) {
            co_return failed("not an IP number and a port");
        }
        connection->stream.expires_after(connectTimeout);
        const auto [error] = co_await connection->stream.async_connect(*endpoint, useResult);
        if (error) {
            co_return failed("connect: " + error.message());
        }
        boost::system::error_code ignored;
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        const Result<void> opened = co_await connection->framing.open(connectTimeout);
        if (!opened) {
            co_return opened.error();
        }
    }
    const Result<void> written = co_await connection->framing.write(command, silenceTimeout);
    if (!written) {
        co_return written.error();
    }
    while (true) {
        Result<PeerMessage> message = co_await connection->framing.read(silenceTimeout);
        if (!message) {
            co_return message.error();
        }
        gotAnything = true;
        const auto *piece = std::get_if<AnswerChunk>(&message.value());
        if (piece == nullptr) {
            connection->stream.expires_never();
            connection->used = true;
            core->kept.keep(address, connection);
            co_return message;
        }
        if (!piece->text.empty() && pieces) {
            pieces->push(piece->text);
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
    this->core->kept.clear();
}

asio::awaitable<Result<PeerMessage>> PeerClient::send(std::string address, PeerMessage command, std::shared_ptr<AnswerChannel> pieces)
{
    const std::shared_ptr<Core> shared = this->core;
    ConnectionPointer connection = shared->take(address, false);
    const bool kept = connection->used;
    bool gotAnything = false;
    Reply reply
        = co_await asio::co_spawn(connection->stream.get_executor(), exchange(shared, connection, address, command, pieces, gotAnything), asio::use_awaitable);
    if (*reply || !kept || gotAnything) {
        co_return std::move(*reply);
    }
    // The peer may have closed the kept connection; a command is idempotent at its owner, so it may be sent again.
    connection = shared->take(address, true);
    Reply second
        = co_await asio::co_spawn(connection->stream.get_executor(), exchange(shared, connection, address, command, pieces, gotAnything), asio::use_awaitable);
    co_return std::move(*second);
}

} // namespace oleandergate
