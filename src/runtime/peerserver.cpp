#include "runtime/peerserver.h"

#include "runtime/address.h"
#include "runtime/answerchannel.h"
#include "runtime/backgroundtask.h"
#include "runtime/connectionbudget.h"
#include "runtime/listener.h"
#include "runtime/log.h"
#include "runtime/peerframing.h"
#include "runtime/tunnelserver.h"

#include <boost/asio.hpp>

#include <atomic>

namespace oleandergate {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds handshakeTimeout{2};
constexpr std::chrono::seconds writeTimeout{5};
constexpr std::chrono::hours idleTimeout{1};
constexpr std::chrono::milliseconds acceptRetryDelay{20};

//! Interval of the empty chunks that show the peer that a command is still being executed.
constexpr std::chrono::milliseconds keepAliveInterval{500};

} // namespace

struct PeerServer::Core
{
    asio::io_context &context;
    const MessageAuth &auth;
    PeerHandler handler;
    TunnelServer *tunnels = nullptr;
    std::optional<tcp::acceptor> acceptor{};
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> activeCommands{0};
    ConnectionBudget *connectionBudget = nullptr;
};

namespace {

//! A command being executed, with its reply once it has ended.
struct RunningCommand
{
    std::shared_ptr<AnswerChannel> chunks = std::make_shared<AnswerChannel>();
    std::optional<PeerMessage> reply{};
};

asio::awaitable<void> executeCommand(std::shared_ptr<PeerServer::Core> core, std::shared_ptr<RunningCommand> run, PeerMessage command)
{
    try {
        run->reply = co_await core->handler(std::move(command), run->chunks);
    } catch (const std::exception &error) {
        run->reply = CallReply{false, {}, Error{ErrorCode::Internal, Step::Forward, {}, Executed::Unknown, std::nullopt, error.what()}};
    }
    run->chunks->finish(CallAnswer{});
}

asio::awaitable<bool> serveCommand(std::shared_ptr<PeerServer::Core> core, PeerFraming &framing, PeerMessage command)
{
    auto run = std::make_shared<RunningCommand>();
    core->activeCommands += 1;
    asio::co_spawn(co_await asio::this_coro::executor, executeCommand(core, run, std::move(command)), asio::detached);
    std::size_t sentBytes = 0;
    bool healthy = true;
    while (!run->reply) {
        co_await run->chunks->wait(keepAliveInterval);
        AnswerChunk chunk{run->chunks->textFrom(sentBytes)};
        sentBytes += chunk.text.size();
        if (healthy && !run->reply) {
            const Result<void> written = co_await framing.write(chunk, writeTimeout);
            healthy = written.has_value();
        }
    }
    AnswerChunk remainder{run->chunks->textFrom(sentBytes)};
    if (healthy && !remainder.text.empty()) {
        const Result<void> written = co_await framing.write(remainder, writeTimeout);
        healthy = written.has_value();
    }
    if (healthy) {
        const Result<void> written = co_await framing.write(*run->reply, writeTimeout);
        healthy = written.has_value();
    }
    core->activeCommands -= 1;
    co_return healthy;
}

//! A connection that a peer has opened.
struct AcceptedPeer
{
    AcceptedPeer(tcp::socket socket, std::unique_ptr<ConnectionPlace> givenPlace)
        : stream(std::move(socket))
        , place(std::move(givenPlace))
    {
    }

    void setServing(bool isServing)
    {
        this->serving = isServing;
        if (this->place) {
            isServing ? this->place->occupy() : this->place->rest();
        }
    }

    boost::beast::tcp_stream stream;
    std::unique_ptr<ConnectionPlace> place; //!< Among the connections of the process; nullptr where these are not bounded.
    bool serving = false; //!< A command is being executed, or a connection carried.
};

//! Closes the connection, whose place is needed for another one, unless it has become busy.
void giveWay(const std::shared_ptr<AcceptedPeer> &peer)
{
    asio::post(peer->stream.get_executor(), [peer]() {
        if (!peer->serving) {
            peer->stream.close();
        }
    });
}

asio::awaitable<void> serveConnection(std::shared_ptr<PeerServer::Core> core, std::shared_ptr<AcceptedPeer> peer)
{
    boost::beast::tcp_stream &stream = peer->stream;
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    PeerFraming framing(stream, core->auth, true);
    const Result<void> opened = co_await framing.handshake(handshakeTimeout);
    bool healthy = opened.has_value();
    while (healthy) {
        peer->setServing(false);
        Result<PeerMessage> command = co_await framing.read(idleTimeout);
        if (!command) {
            if (command.error().detail.find("authentication") != std::string::npos) {
                logError("peer", "rejected a frame and closed the connection", command.error());
            }
            co_return;
        }
        peer->setServing(true);
        const auto *tunnel = std::get_if<TunnelRequest>(&command.value());
        if (tunnel != nullptr && core->tunnels != nullptr) {
            healthy = co_await core->tunnels->serve(*tunnel, framing, stream);
            continue;
        }
        healthy = co_await serveCommand(core, framing, std::move(command.value()));
    }
}

asio::awaitable<void> acceptPeers(std::shared_ptr<PeerServer::Core> core)
{
    while (!core->stopping) {
        const auto strand = asio::make_strand(core->context);
        auto [error, socket] = co_await core->acceptor->async_accept(strand, useResult);
        if (error) {
            co_await sleepFor(acceptRetryDelay);
            continue;
        }
        std::unique_ptr<ConnectionPlace> place;
        if (core->connectionBudget != nullptr) {
            place = co_await core->connectionBudget->openInTime(ConnectionKind::Peer);
            if (!place || place->isTurnedAway()) {
                continue;
            }
        }
        const auto peer = std::make_shared<AcceptedPeer>(std::move(socket), std::move(place));
        if (peer->place) {
            peer->place->setEnding([ended = std::weak_ptr<AcceptedPeer>(peer)]() {
                if (const std::shared_ptr<AcceptedPeer> open = ended.lock()) {
                    giveWay(open);
                }
            });
        }
        asio::co_spawn(strand, serveConnection(core, peer), asio::detached);
    }
}

} // namespace

PeerServer::PeerServer(asio::io_context &context, const MessageAuth &auth, PeerHandler handler, TunnelServer *tunnels)
    : core(new Core{context, auth, std::move(handler), tunnels})
{
}

PeerServer::~PeerServer()
{
    this->stop();
}

void PeerServer::shareLimits(ConnectionBudget &budget)
{
    this->core->connectionBudget = &budget;
}

Result<void> PeerServer::start(const std::string &address)
{
    const auto endpoint = parseTcpAddress(address);
    boost::system::error_code error = asio::error::invalid_argument;
    tcp::acceptor acceptor(asio::make_strand(this->core->context));
    if (endpoint) {
        error = listenOn(acceptor, *endpoint, this->core->connectionBudget == nullptr ? 0 : receiveBufferBytes);
    }
    if (error) {
        return Error{ErrorCode::Internal, Step::InstanceStart, address, Executed::No, std::nullopt, error.message()};
    }
    this->core->acceptor.emplace(std::move(acceptor));
    spawnLoop(this->core->acceptor->get_executor(), "peers", [core = this->core]() {
        return acceptPeers(core);
    });
    return boost::outcome_v2::success();
}

void PeerServer::stop()
{
    if (this->core->stopping.exchange(true) || !this->core->acceptor) {
        return;
    }
    asio::post(this->core->acceptor->get_executor(), [core = this->core]() {
        boost::system::error_code ignored;
        core->acceptor->close(ignored);
    });
}

std::size_t PeerServer::activeCount() const
{
    return this->core->activeCommands;
}

} // namespace oleandergate
