#ifndef OLEANDERGATE_RUNTIME_PEERSERVER_H
#define OLEANDERGATE_RUNTIME_PEERSERVER_H

#include "decision/error.h"
#include "wire/messageauth.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class AnswerChannel;
class ConnectionBudget;
class TunnelServer;

//! Executes one command. Text pushed to \p chunks is sent to the peer immediately; the returned message is the final reply.
using PeerHandler = std::function<boost::asio::awaitable<PeerMessage>(PeerMessage command, std::shared_ptr<AnswerChannel> chunks)>;

//! Server for commands of other instances.
class PeerServer
{
public:
    //! TunnelRequest messages go to \p tunnels; without it they are declined.
    PeerServer(boost::asio::io_context &context, const MessageAuth &auth, PeerHandler handler, TunnelServer *tunnels = nullptr);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    //! Counts the connections that peers open in \p budget, which has to outlive this object. To be called before start().
    void shareLimits(ConnectionBudget &budget);

    //! Binds \p address, an IP address and a port, and starts accepting connections.
    Result<void> start(const std::string &address);

    //! Stops accepting connections. Commands being executed continue.
    void stop();

    //! Returns the number of commands being executed.
    std::size_t activeCount() const;

    //! State shared with running connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
