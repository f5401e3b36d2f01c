#include "runtime/tunnelserver.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/connectionbudget.h"
#include "runtime/log.h"

#include <boost/asio.hpp>

#include <array>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bufferBytes = 16384;

//! A tunnel without a byte in either direction ends after this time; endpoints and callers give up much earlier.
constexpr std::chrono::seconds idleTimeout{60};
constexpr std::chrono::seconds writeTimeout{5};
constexpr Duration maxConnectTimeout = std::chrono::milliseconds(500);

TunnelOutcome tunnelOutcomeOf(ReachOutcome outcome)
{
    switch (outcome) {
    case ReachOutcome::Connected:
        return TunnelOutcome::Connected;
    case ReachOutcome::Refused:
        return TunnelOutcome::Refused;
    case ReachOutcome::TimedOut:
        break;
    }
    return TunnelOutcome::TimedOut;
}

std::array<unsigned char, tunnelLengthBytes> encodeLength(std::size_t length)
{
    constexpr unsigned bitsPerByte = 8;
    std::array<unsigned char, tunnelLengthBytes> bytes{};
    for (std::size_t index = 0; index < tunnelLengthBytes; ++index) {
        bytes[index] = static_cast<unsigned char>((length >> (bitsPerByte * index)) & 0xFFU);
    }
    return bytes;
}

//! Closes a connection so that the other end sees a reset, not an orderly end.
void reset(beast::tcp_stream &stream)
{
    beast::error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.close();
}

//! The part of a tunnel towards the endpoint, which ends with either connection.
struct Upstream
{
    beast::tcp_stream &requester;
    std::unique_ptr<EndpointStream> endpoint;
    std::unique_ptr<ConnectionPlace> place; //!< Of the connection to the endpoint; nullptr where connections are not bounded.
    AsyncSignal ended{};
    bool hasEnded = false;
};

asio::awaitable<void> sendUpstream(std::shared_ptr<Upstream> upstream)
{
    std::array<char, bufferBytes> buffer{};
    while (true) {
        upstream->requester.expires_after(idleTimeout);
        const auto [readError, size] = co_await upstream->requester.async_read_some(asio::buffer(buffer), useResult);
        if (readError) {
            break;
        }
        upstream->endpoint->tcp().expires_after(writeTimeout);
        const auto [writeError, written] = co_await asio::async_write(upstream->endpoint->tcp(), asio::buffer(buffer.data(), size), useResult);
        if (writeError) {
            break;
        }
    }
    // The requester has given up, or one of the connections broke: the endpoint is to stop at once.
    upstream->endpoint->tcp().close();
    upstream->hasEnded = true;
    upstream->ended.notify();
}

//! Passes on what the endpoint sends, in chunks. Returns true when the endpoint closed its connection in order.
asio::awaitable<bool> sendDownstream(std::shared_ptr<Upstream> upstream)
{
    std::array<char, bufferBytes> buffer{};
    while (true) {
        upstream->endpoint->tcp().expires_after(idleTimeout);
        const auto [readError, size] = co_await upstream->endpoint->tcp().async_read_some(asio::buffer(buffer), useResult);
        if (readError && readError != asio::error::eof) {
            co_return false;
        }
        const auto length = encodeLength(readError ? 0 : size);
        const std::array<asio::const_buffer, 2> parts{asio::buffer(length), asio::buffer(buffer.data(), readError ? 0 : size)};
        upstream->requester.expires_after(writeTimeout);
        const auto [writeError, written] = co_await asio::async_write(upstream->requester, parts, useResult);
        if (writeError || readError) {
            co_return !writeError;
        }
    }
}

} // namespace

TunnelServer::TunnelServer(Hooks hooks, std::size_t maxTunnels)
    : hooks(std::move(hooks))
    , maxTunnels(maxTunnels)
{
}

void TunnelServer::shareLimits(ConnectionBudget &budget)
{
    this->connectionBudget = &budget;
}

asio::awaitable<TunnelOutcome> TunnelServer::connect(TunnelRequest request, DialedConnection &dialed, std::unique_ptr<ConnectionPlace> &place)
{
    const std::string address = this->stopping || this->active > this->maxTunnels ? std::string() : this->hooks.addressFor(request, currentTime());
    if (address.empty()) {
        co_return TunnelOutcome::Declined;
    }
    if (this->connectionBudget != nullptr) {
        place = this->connectionBudget->openAdmitted(ConnectionKind::Endpoint);
        if (!place) {
            co_return TunnelOutcome::Declined;
        }
        place->occupy();
    }
    const Duration timeout = std::min<Duration>(maxConnectTimeout, std::chrono::milliseconds(request.timeout));
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    DialOutcome outcome = co_await this->dialer.dial(executor, address, currentTime() + timeout);
    const ReachOutcome reach = reachOutcomeOf(outcome);
    const bool isConclusive = co_await this->hooks.onDialed(address, reach);
    if (!isConclusive) {
        co_return TunnelOutcome::Declined;
    }
    if (outcome) {
        dialed = std::move(outcome.value());
    }
    co_return tunnelOutcomeOf(reach);
}

asio::awaitable<bool> TunnelServer::serve(TunnelRequest request, PeerFraming &framing, beast::tcp_stream &stream)
{
    this->active += 1;
    DialedConnection dialed;
    std::unique_ptr<ConnectionPlace> place;
    TunnelReply reply;
    reply.outcome = co_await this->connect(request, dialed, place);
    logRecord(LogLevel::Info,
              "tunnels",
              "asked to reach an endpoint for a peer",
              {{"peer", request.instance},
               {"tunnel", std::to_string(request.tunnel)},
               {"endpoint", request.endpoint},
               {"outcome", std::string(nameIn(tunnelOutcomeNames, reply.outcome))},
               {"carried", std::to_string(this->active)}});
    PeerMessage message = reply;
    const Result<void> written = co_await framing.write(message, writeTimeout);
    if (!written || reply.outcome != TunnelOutcome::Connected) {
        this->active -= 1;
        co_return written.has_value();
    }
    this->served += 1;
    const std::shared_ptr<Upstream> upstream(new Upstream{stream, std::move(dialed.stream), std::move(place)});
    asio::co_spawn(co_await asio::this_coro::executor, sendUpstream(upstream), asio::detached);
    const bool inOrder = co_await sendDownstream(upstream);
    if (inOrder) {
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        stream.close();
    } else {
        reset(stream);
    }
    while (!upstream->hasEnded) {
        co_await upstream->ended.wait(idleTimeout);
    }
    this->active -= 1;
    co_return false;
}

std::size_t TunnelServer::activeCount() const
{
    return this->active;
}

std::uint64_t TunnelServer::servedCount() const
{
    return this->served;
}

void TunnelServer::stop()
{
    this->stopping = true;
}

} // namespace oleandergate
