#ifndef OLEANDERGATE_RUNTIME_TUNNELSERVER_H
#define OLEANDERGATE_RUNTIME_TUNNELSERVER_H

#include "decision/pathplan.h"
#include "decision/processlimits.h"
#include "runtime/directdialer.h"
#include "runtime/peerframing.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <functional>
#include <string>

namespace oleandergate {

class ConnectionBudget;
class ConnectionPlace;

//! Carries connections to endpoints for instances that do not reach them directly. It passes bytes on and does not read them: what a request
//! may do is decided by the instance that took it from its caller.
class TunnelServer
{
public:
    struct Hooks
    {
        //! Returns the address to connect to for a request; empty to decline.
        std::function<std::string(const TunnelRequest &request, Time now)> addressFor{};
        //! Called with the end of a connection attempt. Returns whether it tells about the endpoint; if not, the request is declined.
        std::function<boost::asio::awaitable<bool>(std::string address, ReachOutcome outcome)> onDialed{};
    };

    //! \p maxTunnels limits the connections that are carried at a time.
    TunnelServer(Hooks hooks, std::size_t maxTunnels);

    //! Counts the connections to endpoints in \p budget, which has to outlive the tunnels. To be called before the first request.
    void shareLimits(ConnectionBudget &budget);

    //! Serves a request on the connection on which it arrived, until the tunnel ends. Returns true when the connection can carry further messages,
    //! because there was no tunnel.
    boost::asio::awaitable<bool> serve(TunnelRequest request, PeerFraming &framing, boost::beast::tcp_stream &stream);

    //! Returns the number of connections that are carried now, and the number since the start.
    std::size_t activeCount() const;
    std::uint64_t servedCount() const;

    //! Declines all further requests.
    void stop();

private:
    boost::asio::awaitable<TunnelOutcome> connect(TunnelRequest request, DialedConnection &dialed, std::unique_ptr<ConnectionPlace> &place);

    Hooks hooks;
    std::size_t maxTunnels;
    DirectDialer dialer{receiveBufferBytes};
    ConnectionBudget *connectionBudget = nullptr;
    std::atomic<std::size_t> active{0};
    std::atomic<std::uint64_t> served{0};
    std::atomic<bool> stopping{false};
};

} // namespace oleandergate

#endif
