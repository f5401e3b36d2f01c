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
class ConnectionBudget;

//! Sends commands to other instances over pooled TCP connections. Thread-safe.
class PeerClient
{
public:
    PeerClient(boost::asio::io_context &context, const MessageAuth &auth);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    //! Counts the open connections in \p budget, which has to outlive this object and its commands. Commands beyond its limit fail. To be called before the
    //! first command.
    void shareLimits(ConnectionBudget &budget);

    //! Sends \p command to \p address and returns its final reply. Chunks of a streamed answer are pushed to \p chunks.
    //! After ErrorCode::PeerFailed it is unknown whether the command was executed.
    boost::asio::awaitable<Result<PeerMessage>> send(std::string address, PeerMessage command, std::shared_ptr<AnswerChannel> chunks = nullptr);

    //! As above, for a command whose reply is of no use after \p timeLimit.
    boost::asio::awaitable<Result<PeerMessage>> sendWithin(Duration timeLimit, std::string address, PeerMessage command);

    //! State shared with running commands.
    struct Core;

private:
    boost::asio::awaitable<Result<PeerMessage>> sendBefore(Time giveUpAt, std::string address, PeerMessage command, std::shared_ptr<AnswerChannel> chunks);

    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
