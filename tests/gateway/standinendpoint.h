#ifndef OLEANDERGATE_TESTS_GATEWAY_STANDINENDPOINT_H
#define OLEANDERGATE_TESTS_GATEWAY_STANDINENDPOINT_H

#include "decision/time.h"
#include "runtime/httpmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace oleandergate::support {

//! What an endpoint does with one request.
enum class Behaviour : std::uint8_t {
    Normal, //!< A stream for a request with prompt headers, otherwise a short answer.
    Refuse, //!< Status 503 with the statement that the request did not run.
    LateRefusal, //!< The same, and a second copy of the refusal is sent when the next request has arrived on the connection, before that one's answer.
    LateUnnamedRefusal, //!< The same, but the copy does not say which request it refuses.
    Failure, //!< Status 500 with a text.
    EndMidHead, //!< Ends the connection in order inside the head of its answer.
    CloseUnanswered, //!< Receives the request and closes the connection without an answer.
    Truncate, //!< Declares a longer body than it sends.
    Unsigned, //!< A success without the endpoint's signature.
    FullWithoutStatement, //!< Status 503 without the statement that the request did not run.
    ExtraAnswer, //!< A second answer, to another request, follows the first.
    LateCopy, //!< A second copy of the answer is sent when the next request has arrived on the connection, before that one's answer.
    LateStream, //!< The same with a stream.
    LateUnnamedStream, //!< The same, but the copy does not say which request it answers.
    BreakMidEvent, //!< Ends a stream inside its third event.
    BreakBetweenEvents, //!< Ends a stream behind its second event.
    BreakBehindThird, //!< The same behind its third event.
    BreakUnnumbered, //!< The same as BreakBetweenEvents, and no event has a number.
    BreakBehindUnnumbered, //!< Ends a stream inside its fourth event; the events before it have no number, except for the first.
    Unnumbered, //!< A whole stream whose events have no number.
    FromStart, //!< A whole stream from its first event on, whatever the request asks for.
    BreakFromStart, //!< The same, and ends behind its third event.
    UnframedTwice, //!< A whole stream with neither length nor chunks, and the whole answer once more behind it.
    SlowUnframed, //!< A whole stream with neither length nor chunks, with pauses between its events.
    CrashInAnswer, //!< Sends a part of an answer with neither length nor chunks, then stops listening and closes all connections in order.
    LeaveOut, //!< Leaves the first event out.
    LeaveOutFourth, //!< Leaves the fourth event out.
    Repeat, //!< Writes the second event twice.
    GoBack, //!< Goes back to the first event behind the third one.
    EndBetweenEvents, //!< Ends behind the second event of an answer with neither length nor chunks, whose connection ends in order.
    CrashBetweenEvents, //!< The same, then stops listening and closes all connections.
    ResetBetweenEvents, //!< The same as EndBetweenEvents, but the connection is reset.
    EndMidEvent, //!< The same as BreakMidEvent in an answer with neither length nor chunks, whose connection ends in order.
    EndBeforeFirstEvent, //!< The head of a stream with neither length nor chunks, then the connection ends in order.
    OnlyComment, //!< A stream of one comment and no event.
    Unframed, //!< A whole answer with neither length nor chunks.
    EndlessHead, //!< Header fields without end, until the connection is closed.
    EndlessUnsignedBody, //!< A head without identifier and signature, then bytes without end.
    EndlessBody, //!< A valid head, then bytes without end.
    EndlessEvent, //!< The head of a stream, then one event without end.
    EndlessChunkHead, //!< The head of a stream, then the head of one chunk without end.
    CrashMidEvent, //!< Ends a stream inside its third event, then stops listening and closes all connections.
    Crash, //!< Receives the request, then stops listening and closes all connections.
    SlowStream, //!< Pauses between the events of a stream.
    SlowBreakMidEvent, //!< The same, and ends the stream inside its third event.
    Trickle, //!< The head of a stream, then a byte of its first event now and then, until the connection is closed.
    Slow, //!< Answers after StandinEndpoint::release() was called, unless the connection is closed before.
    SlowRefusal, //!< The same, with the statement that the request did not run.
    EndUnnumbered, //!< The same as EndBetweenEvents, and no event has a number.
    ShortLength, //!< A whole stream whose stated length ends behind its fourth event.
    LateShortLength, //!< The same, with a pause behind that event.
    EndBehindHalf, //!< Ends behind half of the events that it would send, in an answer with neither length nor chunks, whose connection ends in order.
    BreakOrLeaveOut, //!< The same as BreakBehindThird; a run that goes on behind an event leaves its first one out.
    BreakBehindFirst, //!< The same as BreakBetweenEvents behind the first event.
    ExtraStream, //!< A whole stream, and the whole answer once more right behind it.
    ExtraUnnamedStream, //!< The same, but the second answer does not say which request it answers.
    Interim, //!< Two interim answers, then a whole stream.
    EndlessInterim, //!< Interim answers without end, until the connection is closed.
    EndsWithoutBlankLine, //!< A whole stream whose last event lacks its empty line.
    LengthWithoutBlankLine, //!< The same with a stated length.
    EndsInLine, //!< A framed stream that ends inside the last line of its third event.
    LengthBeforeBlankLine, //!< A stated length that ends before the empty line of the fourth event; the rest follows.
    Done, //!< A whole stream with an event without a number at its end.
    BreakBeforeDone, //!< Ends a stream in front of that event.
    BreakBehindDone, //!< Ends a stream behind that event, without its last chunk.
    WeightsChange, //!< The fourth event states the next version of the weights, which the endpoint has from then on; ends a stream behind it.
    VeryLateShortLength, //!< The same as LateShortLength, with a pause of 30 ms.
    BreakMidNextEvent, //!< Ends a stream inside the first event that it would send.
    EndMidNextEvent, //!< The same in an answer with neither length nor chunks, whose connection ends in order.
    ZeroStatus, //!< A whole answer whose status is 000.
    LowStatus, //!< The same with 099.
    SwitchStatus, //!< The same with 101, which nobody asked for.
    HighStatus, //!< The same with 600.
    HighestStatus, //!< The same with 999.
};

//! A request that an endpoint received.
struct ReceivedRequest
{
    HttpRequest request{};
    Behaviour behaviour = Behaviour::Normal;
    Time receivedAt{};
    Time endedAt{}; //!< When the endpoint had sent its answer or given up; Time{} while it is at work.
};

//! An endpoint of the platform, in this process. Each connection has a thread.
//!
//! A request whose target has the query parameter work_ms is answered after that time, with plannedAnswer(): in one piece, or, with gap_ms, as a stream with
//! pauses of that length between its events. bytes is the number of filler bytes. fault is the number of the Behaviour of such a stream; its runs that go on
//! behind an event are sound. With Behaviour::FromStart a first run breaks off, and the first run at each endpoint that has to go on begins again.
//! event_bytes is the number of filler bytes in each event of a stream.
//! The events of a request with the query parameter stream name that stream, the endpoint and its software version.
class StandinEndpoint
{
public:
    explicit StandinEndpoint(std::string id);

    //! Listens at \p address, that of an endpoint that has ended.
    StandinEndpoint(std::string id, std::string address);
    ~StandinEndpoint();
    StandinEndpoint(const StandinEndpoint &) = delete;
    StandinEndpoint &operator=(const StandinEndpoint &) = delete;

    //! Ends as a process does: closes all connections and listens no more. What it received stays known.
    void end();

    //! Returns the value that it registers in the store.
    std::string registration(const std::string &service, const std::string &state = "ready") const;
    const std::string &identifier() const;
    const std::string &address() const;

    //! Sets the behaviours for the next requests, in order. Later requests get Behaviour::Normal.
    void setNextBehaviours(const std::vector<Behaviour> &behaviours);

    //! Sets the software version that it registers; v1 until then.
    void setVersion(const std::string &version);
    const std::string &softwareVersion() const;

    //! Sets whether its answers state that it is leaving. Its registration does not change.
    void setStatesLeaving(bool statesLeaving);

    //! Sets the version of the weights that its answers name, or none; it refuses requests that expect another one.
    void setWeightsVersion(std::optional<int> version);

    //! Sets the numbers of the eventCount events of its streams, which rise; 1, 2, 3 and so on until then. Their texts don't change.
    void setEventNumbers(const std::vector<std::uint64_t> &numbers);

    //! Sets the value of the rate limit field in its answers; none when empty.
    void setRateLimit(const std::string &limit);

    //! While it stands still, it reads and writes nothing, and its connections stay open.
    void setStandingStill(bool standsStill);

    std::vector<ReceivedRequest> received() const;
    std::size_t receivedCount() const;

    //! Returns how many requests with Behaviour::Slow, Behaviour::SlowRefusal or Behaviour::Trickle ended because their connection was closed.
    std::size_t abandonedCount() const;

    //! Returns how many endless answers ended because their connection was closed, and the size of the largest one in bytes.
    std::size_t closedFloodCount() const;
    std::size_t largestFlood() const;

    //! Answers all requests with Behaviour::Slow or Behaviour::SlowRefusal, pending and future.
    void release();

    //! Returns the body of the answer to a request with work_ms; it names the request and repeats its body.
    static std::string plannedAnswer(const std::string &requestId, const HttpRequest &request);

    static constexpr int eventCount = 6; //!< Events in each stream.

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    bool answer(boost::asio::ip::tcp::socket &socket, const HttpRequest &request, Behaviour behaviour);

    //! Returns whether \p request expects another endpoint, or another version of the weights.
    bool isMisdirected(const HttpRequest &request) const;
    void crash();
    bool stream(boost::asio::ip::tcp::socket &socket, const HttpRequest &request, Behaviour behaviour, bool framed);

    //! Returns the whole stream for \p request, with the head \p head.
    std::string wholeStream(const std::string &head, const HttpRequest &request) const;

    //! Returns the text of each event in the stream for \p request.
    std::string eventName(const HttpRequest &request) const;
    bool flood(boost::asio::ip::tcp::socket &socket, const std::string &start, const std::string &filler);
    bool trickle(boost::asio::ip::tcp::socket &socket, const HttpRequest &request);
    bool answerPlanned(boost::asio::ip::tcp::socket &socket, const HttpRequest &request, Behaviour behaviour, bool framed);

    //! Returns when it no longer stands still. Returns false when it ends.
    bool waitWhileStandingStill() const;

    //! Waits. Returns false when \p socket is closed by the other side before.
    bool work(boost::asio::ip::tcp::socket &socket, Duration duration);
    bool answerSlowly(boost::asio::ip::tcp::socket &socket, const std::string &text);
    std::string head(const HttpRequest &request, const std::string &framing, int status = 200) const;
    std::string refusal(const HttpRequest &request) const;

    //! Sends \p events with a stated length that ends as \p behaviour has it, mostly behind the fourth one.
    bool sendShortLength(boost::asio::ip::tcp::socket &socket, const HttpRequest &request, const std::vector<std::string> &events, Behaviour behaviour);

    //! Returns the copy of the answer to \p request that is sent before the next answer on its connection; empty for none.
    std::string lateCopyOf(const HttpRequest &request, Behaviour behaviour) const;
    Behaviour nextBehaviour();

    //! Returns the fault that \p request asks for, or else the next behaviour.
    Behaviour behaviourFor(const HttpRequest &request);

    std::string id;
    std::string listenAddress;
    std::string version = "v1";
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor acceptor;
    mutable std::mutex mutex;
    std::deque<Behaviour> nextBehaviours;
    std::string rateLimit;
    std::vector<std::uint64_t> eventNumbers;
    std::optional<int> weightsVersion;
    std::vector<ReceivedRequest> receivedRequests;
    std::list<std::thread> workers;
    std::atomic<bool> statesLeaving{false};
    std::atomic<bool> standsStill{false};
    std::atomic<bool> stopping{false};
    std::atomic<bool> listening{true};
    std::atomic<bool> released{false};
    std::atomic<std::size_t> abandoned{0};
    std::atomic<std::size_t> closedFloods{0};
    std::atomic<std::size_t> largestFloodBytes{0};
    std::thread acceptThread;
};

} // namespace oleandergate::support

#endif
