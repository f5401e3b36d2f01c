#include "runtime/tunnelclient.h"

#include "decision/processlimits.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/directdialer.h"
#include "runtime/peerframing.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);

//! A step that is out of time fails after this time.
constexpr Duration minTimeout = std::chrono::milliseconds(1);

Duration timeLeft(Time giveUpAt)
{
    return std::max(minTimeout, Duration(giveUpAt - currentTime()));
}

OpenedTunnel unanswered(const std::string &detail)
{
    OpenedTunnel opened;
    opened.detail = detail;
    return opened;
}

} // namespace

TunnelClient::TunnelClient(const MessageAuth &auth)
    : auth(auth)
{
}

asio::awaitable<OpenedTunnel> TunnelClient::open(asio::any_io_executor executor, std::string peerAddress, TunnelRequest request, Time giveUpAt) const
{
    const auto endpoint = parseTcpAddress(peerAddress);
    if (!endpoint) {
        co_return unanswered("the address of the peer is not an IP address and a port");
    }
    auto stream = std::make_unique<beast::tcp_stream>(executor);
    openWithReceiveBuffer(stream->socket(), *endpoint, receiveBufferBytes);
    stream->expires_after(timeLeft(giveUpAt));
    const auto [error] = co_await stream->async_connect(*endpoint, useResult);
    if (error) {
        co_return unanswered("connect: " + error.message());
    }
    setConnectionOptions(stream->socket());
    PeerFraming framing(*stream, this->auth, false);
    const Result<void> opened = co_await framing.handshake(timeLeft(giveUpAt));
    if (!opened) {
        co_return unanswered("handshake: " + opened.error().detail);
    }
    PeerMessage message = request;
    const Result<void> written = co_await framing.write(message, timeLeft(giveUpAt));
    if (!written) {
        co_return unanswered("write: " + written.error().detail);
    }
    const Result<PeerMessage> answer = co_await framing.read(timeLeft(giveUpAt));
    const auto *reply = answer ? std::get_if<TunnelReply>(&answer.value()) : nullptr;
    if (reply == nullptr) {
        co_return unanswered(answer ? "an answer of another kind" : "read: " + answer.error().detail);
    }
    OpenedTunnel result;
    result.outcome = reply->outcome;
    if (reply->outcome == TunnelOutcome::Connected) {
        stream->expires_never();
        result.stream = std::move(stream);
    }
    co_return result;
}

} // namespace oleandergate
