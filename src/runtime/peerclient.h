#ifndef OLEANDERGATE_RUNTIME_PEERCLIENT_H
#define OLEANDERGATE_RUNTIME_PEERCLIENT_H

#include "decision/error.h"
#include "wire/messageauth.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class AnswerChannel;

//! Sends commands to other instances over kept TCP connections. Safe to use from several threads.
class PeerClient
{
public:
    PeerClient(boost::asio::io_context &context, const MessageAuth &auth);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    //! Sends \p command to \p address and returns its final reply. Pieces of a streamed answer go to \p chunks.
    //! The error PeerFailed leaves open whether the command was carried out.
    boost::asio::awaitable<Result<PeerMessage>> send(std::string address, PeerMessage command, std::shared_ptr<AnswerChannel> chunks = nullptr);

    //! State shared with running commands.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
