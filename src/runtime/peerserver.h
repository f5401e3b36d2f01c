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

//! Carries out one command. Text pushed into the channel goes to the peer at once; the returned message ends the command.
using PeerHandler = std::function<boost::asio::awaitable<PeerMessage>(PeerMessage command, std::shared_ptr<AnswerChannel> chunks)>;

//! Serves commands of other instances.
class PeerServer
{
public:
    PeerServer(boost::asio::io_context &context, const MessageAuth &auth, PeerHandler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    Result<void> start(const std::string &address);
    void stop();

    //! Returns the number of commands being carried out.
    std::size_t activeCount() const;

    //! State shared with running connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
