#include "runtime/directdialer.h"

#include "runtime/address.h"
#include "runtime/clock.h"

#include <boost/asio.hpp>

#include <netinet/tcp.h>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
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

DialFailure failureOf(ErrorCode code, bool refused, const std::string &detail)
{
    DialFailure failure;
    failure.code = code;
    failure.refused = refused;
    failure.detail = detail;
    return failure;
}

} // namespace

DirectDialer::DirectDialer(std::size_t receiveBufferBytes)
    : receiveBufferBytes(receiveBufferBytes)
{
}

void openWithReceiveBuffer(tcp::socket &socket, const tcp::endpoint &endpoint, std::size_t bytes)
{
    if (bytes > 0) {
        beast::error_code ignored;
        socket.open(endpoint.protocol(), ignored);
        socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
    }
}

void setConnectionOptions(tcp::socket &socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(keepAliveProbeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(keepAliveProbeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(keepAliveProbeCount), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(tcpUserTimeoutMs), ignored);
}

ReachOutcome reachOutcomeOf(const DialOutcome &dialed)
{
    if (dialed) {
        return ReachOutcome::Connected;
    }
    return dialed.error().refused ? ReachOutcome::Refused : ReachOutcome::TimedOut;
}

asio::awaitable<DialOutcome> DirectDialer::dial(asio::any_io_executor executor, std::string address, Time giveUpAt)
{
    const std::optional<tcp::endpoint> endpoint = parseTcpAddress(address);
    if (!endpoint) {
        co_return failureOf(ErrorCode::NoEndpoint, false, "the address is not an IP address and a port");
    }
    const Duration left = giveUpAt - currentTime();
    if (left <= Duration::zero()) {
        co_return failureOf(ErrorCode::Timeout, false, "the deadline passed before connecting");
    }
    auto stream = std::make_unique<beast::tcp_stream>(executor);
    openWithReceiveBuffer(stream->socket(), *endpoint, this->receiveBufferBytes);
    stream->expires_after(left);
    const auto [error] = co_await stream->async_connect(*endpoint, useResult);
    if (error) {
        const bool timedOut = error == beast::error::timeout || error == asio::error::timed_out;
        const ErrorCode code = timedOut ? ErrorCode::Timeout : ErrorCode::EndpointFailed;
        co_return failureOf(code, error == asio::error::connection_refused, "connect: " + error.message());
    }
    setConnectionOptions(stream->socket());
    DialedConnection dialed;
    dialed.stream = std::make_unique<EndpointStream>(std::move(stream), false);
    co_return dialed;
}

bool DirectDialer::mayReuse(const std::string & /*address*/, const ConnectionPath & /*path*/, Time /*now*/) const
{
    return true;
}

void DirectDialer::onReceived(const std::string & /*address*/, const ConnectionPath & /*path*/, Time /*now*/)
{
}

} // namespace oleandergate
