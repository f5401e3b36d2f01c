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

//! Brings each command to the owner of its program: here, or one hop away. While a slot changes hands it waits for
//! the new owner; asking a new owner again is safe, since every command is idempotent at its owner.
class CallRouter
{
public:
    using TextSink = std::function<boost::asio::awaitable<bool>(std::string text)>;

    struct Parts
    {
        ClusterView &view;
        ProgramService &programs;
        PeerClient &peers;
        ConfigService &config;
        EventLog &events;
        Metrics &metrics;
    };

    CallRouter(const Parts &parts, Duration ownerWait);

    //! Runs a call. Text of a streamed answer goes to \p sink as it comes, unless it is empty.
    boost::asio::awaitable<Result<CallAnswer>> run(CallRequest request, TextSink sink);

    boost::asio::awaitable<Result<CallAnswer>> create(ProgramSpec spec);
    boost::asio::awaitable<Result<CallAnswer>> end(EndCommand command);

    //! Returns a program's state as JSON.
    boost::asio::awaitable<Result<std::string>> status(StatusQuery query);

    //! Carries out a command that came from a peer. Only commands for slots owned here succeed.
    boost::asio::awaitable<PeerMessage> serve(PeerMessage command, std::shared_ptr<AnswerChannel> pieces);

private:
    boost::asio::awaitable<Result<CallAnswer>> route(ProgramId program, PeerMessage command, TextSink sink, Time deadline);
    boost::asio::awaitable<Result<CallAnswer>> runHere(PeerMessage command, TextSink sink);
    boost::asio::awaitable<Result<CallAnswer>> runThere(std::string address, PeerMessage command, TextSink sink);
    std::shared_ptr<AnswerChannel> startHere(const PeerMessage &command);
    TextReply statusHere(const StatusQuery &query);

    Parts parts;
    Duration ownerWait;
};

} // namespace oleandergate

#endif
