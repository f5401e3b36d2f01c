#ifndef OLEANDERGATE_RUNTIME_CALLROUTER_H
#define OLEANDERGATE_RUNTIME_CALLROUTER_H

#include "decision/callrequest.h"
#include "decision/error.h"
#include "wire/peermessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oleandergate {

class AnswerChannel;
class ClusterView;
class ConfigService;
class EventLog;
class Metrics;
class PeerClient;
class ProgramService;

//! Routes each command to the instance that owns its program: this one, or a peer one hop away. While no owner of the slot can be
//! reached, it retries; that is safe because every command is idempotent at the owner.
class CallRouter
{
public:
    //! Receives text of a streamed answer.
    using TextSink = std::function<boost::asio::awaitable<bool>(std::string text)>;

    struct Dependencies
    {
        ClusterView &view;
        ProgramService &programs;
        PeerClient &peers;
        ConfigService &config;
        EventLog &events;
        Metrics &metrics;
    };

    //! \p ownerWait bounds how long a command is retried while no owner can be reached.
    CallRouter(const Dependencies &dependencies, Duration ownerWait);

    //! Runs a call. Passes text of a streamed answer to \p sink as it arrives, unless \p sink is empty.
    boost::asio::awaitable<Result<CallAnswer>> run(CallRequest request, TextSink sink);

    boost::asio::awaitable<Result<CallAnswer>> create(ProgramSpec spec);
    boost::asio::awaitable<Result<CallAnswer>> end(EndCommand command);

    //! Returns a program's state as a JSON document.
    boost::asio::awaitable<Result<std::string>> status(StatusQuery query);

    //! Executes a command from a peer. Commands for a program fail with NotOwner unless this instance owns the program's slot.
    //! \p answerChannel receives the text of a streamed answer.
    boost::asio::awaitable<PeerMessage> serve(PeerMessage command, std::shared_ptr<AnswerChannel> answerChannel);

private:
    boost::asio::awaitable<Result<CallAnswer>> route(ProgramId program, PeerMessage command, TextSink sink, Time deadline);
    boost::asio::awaitable<Result<CallAnswer>> runLocally(PeerMessage command, TextSink sink);
    boost::asio::awaitable<Result<CallAnswer>> runOnPeer(std::string address, PeerMessage command, TextSink sink);
    std::shared_ptr<AnswerChannel> startLocally(const PeerMessage &command);
    TextReply localStatus(const StatusQuery &query);

    Dependencies dependencies;
    Duration ownerWait;
};

} // namespace oleandergate

#endif
