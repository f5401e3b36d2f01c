#ifndef OLEANDERGATE_GATEWAY_ENDPOINTSEND_H
#define OLEANDERGATE_GATEWAY_ENDPOINTSEND_H

#include "decision/endpointspec.h"
#include "decision/retryplan.h"
#include "decision/streamcontinuity.h"
#include "gateway/eventsplitter.h"
#include "gateway/interfaces/headercodec.h"
#include "gateway/streamhabitregistry.h"
#include "runtime/httpclient.h"
#include "runtime/httpexchange.h"
#include "runtime/memorybudget.h"
#include "runtime/witnessconnection.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace oleandergate {

class Cancellation;

//! What the caller of a stream has received so far, over all sends of its request.
struct StreamProgress
{
    bool headSent = false;
    bool callerDisconnected = false;
    StreamContinuity continuity{};
    std::optional<std::int64_t> weights{}; //!< Version of the weights that made the last event of the stream, where its endpoint named one.
    std::set<EndpointId> brokenAt{}; //!< Endpoints that began an answer to this request and broke it off, or ended it before its end.
    std::set<EndpointId> agreedAt{}; //!< Endpoints whose runs behind its last event ended unframed without another one.
    EndpointId openEndAt{}; //!< Endpoint whose run ended unframed behind the last event, which proves nothing; empty for none.
};

//! What one run contributed to a stream.
struct StreamRun
{
    std::optional<std::uint64_t> resumedAfter{}; //!< Number behind which it was asked to go on.
    std::optional<std::uint64_t> firstEvent{}; //!< Number of the first event that was passed on.
    std::optional<std::uint64_t> lastEvent{};
    std::uint64_t events = 0; //!< Those that were passed on.
    Evidence complete = Evidence::Unknown; //!< Whether the stream was complete at the end of the run.
    bool onUsedConnection = false; //!< Its connection had carried other requests before.
};

//! Outcome of one send, with the answer if there is one.
struct SendResult
{
    SendReport report{};
    std::optional<HttpResponse> answer{}; //!< A complete answer that was not forwarded as a stream.
    bool streamed = false; //!< The stream was forwarded to its end.
    bool endedWithConnection = false; //!< The answer had neither a length nor chunks.
    std::size_t unfinishedBytes = 0; //!< Bytes of a stream behind its last whole event.
    StreamRun run{};
    bool refusedAsMisdirected = false; //!< Another endpoint has the address, or this one other weights than the request expects.
    bool endedForMemory = false; //!< An answer of a stated length found no room in this instance; says nothing about the endpoint.
    bool noConnectionLeft = false; //!< This instance had no connection left for the send; says nothing about the endpoint.
    bool connectionLost = false; //!< The way to the endpoint was cut off; says nothing about the endpoint.
    std::string detail{};
    Listening listening = Listening::Unknown; //!< Whether the endpoint still accepts connections after a send that broke or may have.
};

//! Sends one request to one endpoint and forwards the events of a stream as they arrive.
class EndpointSend
{
public:
    struct Parts
    {
        HttpClient &client;
        const HeaderCodec &headerCodec;
        HttpExchange &exchange;
        StreamProgress &progress;
        StreamHabitRegistry &habits;
        const std::string &service; //!< Name of the endpoint's service.
        bool isOnlyEndpoint = false; //!< The service has no other endpoint of its software version.
        bool needsNewConnection = false; //!< Connections that are kept to the endpoint may bring answers to earlier requests.
        HeldMemory &held; //!< Counts what is held of the answer; goes on counting it when run() has returned.
        std::function<void(const AnswerMetadata &metadata)> onAnswerHead{}; //!< Called with the head of the endpoint's answer.
        std::function<void(std::uint64_t events)> onEvents{}; //!< Called with the number of events that were just forwarded.
        std::function<void(const ConnectionPath &path)> onConnection{}; //!< Called with the way of the connection that the request is sent on.
        std::function<bool()> maySend{}; //!< Called just before the request is written to a connection; if it returns false, it is not sent.
    };

    //! With \p isRepeatable the request may be sent again when its connection is given up.
    EndpointSend(const Parts &parts, const RelayCall &call, RouteKind kind, bool isRepeatable, std::shared_ptr<Cancellation> cancellation);

    //! Sends the call to \p endpoint. The answer has to be complete by \p deadline. \p priority is 0 for the highest.
    boost::asio::awaitable<SendResult> run(EndpointSpec endpoint, int priority, Time deadline, Time now);

private:
    HttpCall makeCall(const EndpointSpec &endpoint, int priority, Time deadline, Time now) const;

    //! Returns whether the answer is a stream whose events are forwarded as they arrive.
    bool isForwardableStream(const HttpResponse &head) const;

    //! Forwards the events of \p chunk that go on with the stream. Returns false when the rest of the answer is of no use.
    boost::asio::awaitable<bool> forwardEvents(const HttpResponse &head, const std::string &chunk);

    //! Returns whether the answer's weights, if it names any, are those of the stream's last event.
    bool acceptWeights();

    //! Keeps \p event, if it may belong to the end of the stream, until the run has proved that. Returns whether it was kept.
    bool keepForEnd(const StreamEvent &event);

    //! Learns what follows behind the last numbered event of the run.
    void noteTail(const StreamEvent &event);

    //! The run has brought events. Records that an end of an earlier run was none.
    void disproveOpenEnd(Time now);

    //! Notes what a run that was broken off shows for the rest of the request, and of the streams of its endpoint's version.
    void noteBreak(const EndpointSpec &endpoint, const SendResult &result, Time now);

    //! Finds out whether the endpoint has ended, as the connections of an ended process are closed in order.
    boost::asio::awaitable<void> findWhetherEnded(const std::string &address, SendResult &result);

    //! Sees to it that there is a connection that ends with the endpoint's process, where nobody can be asked whether an unframed stream is whole.
    boost::asio::awaitable<void> watchEndpoint();

    //! Decides about a stream whose answer has ended in order.
    boost::asio::awaitable<void> endStream(const HttpResponse &answer, const EndpointSpec &endpoint, SendResult &result);

    //! Takes the last event of an answer that its framing ends, if that is whole but for its empty line. Returns whether the answer ends between events then.
    bool takeUnterminatedEvent(const HttpResponse &answer);

    //! Returns what is done with bytes that arrive behind the complete answer, when this object may be gone.
    std::function<void(const std::string &bytes)> lateBytesObserver() const;

    //! Returns whether \p bytes, which follow behind the stated end of the stream, begin with its next event.
    bool isContinuedBy(const std::string &bytes) const;

    //! Decides whether the stream is complete, and learns from how it ended.
    Evidence judgeEnd(const EndpointSpec &endpoint, StreamEnd &end, Time now);

    //! Learns the weights that the text \p event states, which made it and what follows.
    void noteWeights(std::string_view event);

    //! Takes one chunk of the answer's body. Returns false when the caller has disconnected or the rest of the answer is of no use.
    boost::asio::awaitable<bool> forwardChunk(const HttpResponse &head, std::string chunk);

    //! Keeps a chunk of an answer that is no stream. Returns false when the answer will not be delivered.
    bool collect(const HttpResponse &head, const std::string &chunk);

    //! Sends the caller \p events, behind the head of the response if that has not been sent yet. Returns false when the caller has disconnected.
    boost::asio::awaitable<bool> deliver(const HttpResponse &head, std::string events);

    //! Waits until there is room for what is held of the answer. Returns false when it is to be given up.
    boost::asio::awaitable<bool> holdAnswer(std::size_t bytes, Time deadline);
    SendOutcome classifyAnswer(const HttpResponse &answer, std::string &detail) const;
    SendResult resultOfFailure(const EndpointSpec &endpoint, const HttpFailure &failure, Time deadline, Time now) const;

    Parts parts;
    const RelayCall &call;
    RouteKind kind;
    bool isRepeatable;
    std::shared_ptr<Cancellation> cancellation;
    EventSplitter splitter;
    std::string collected;
    std::string heldEvents; //!< The event that StreamContinuity holds, and what follows it without data.
    std::string rejection; //!< Why the answer is of no use; empty as long as it may be.
    StreamRun streamRun;
    std::string keptEnd; //!< Events without numbers of a run that has brought no others, which are not passed on yet.
    std::shared_ptr<std::optional<std::uint64_t>> lastEvent = std::make_shared<std::optional<std::uint64_t>>(); //!< Number of the last one of the stream.
    std::string tail; //!< Events without numbers behind the last numbered one, up to their largest size.
    std::optional<std::int64_t> answerWeights; //!< Version of the weights that the head of the answer names, or the latest event that states one.
    EndpointId endpointId; //!< Where the request is sent.
    std::string endpointAddress;
    bool isDirect = true; //!< The request's connection leads straight to the endpoint.
    std::unique_ptr<WitnessConnection> witness;
    int witnessesOpened = 0;
    bool isUnnamed = false; //!< The answer names no request, and its connection had carried others.
    bool hasHead = false; //!< The head of an answer to this request arrived.
    bool isFramed = false; //!< Its head states a length or chunks.
    bool isOutOfRoom = false; //!< The instance had no room for more of the answer.
    bool hasLength = false; //!< The head of the answer states its length.
};

} // namespace oleandergate

#endif
