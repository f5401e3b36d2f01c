#ifndef OLEANDERGATE_TESTS_SOAK_STOPJUDGE_H
#define OLEANDERGATE_TESTS_SOAK_STOPJUDGE_H

#include "soakcaller.h"
#include "standinendpoint.h"
#include "stopplan.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate::soak {

//! The stop of a gateway as it was seen from outside.
struct SeenStop
{
    std::size_t gateway = 0;
    Time termAt{};
    Time endedAt{};
    bool killed = false; //!< By SIGKILL, when its time was over.
    int status = 0;
    int signal = 0; //!< That ended it by itself; 0 for none.
    std::string lastLine{}; //!< Of its log.
};

//! A time in which a gateway that does not stop stood still.
struct Freeze
{
    std::size_t gateway = 0;
    Time beganAt{};
    Time endedAt{};
};

//! All that was seen in a run.
struct Seen
{
    std::vector<SeenStop> stops{};
    std::vector<Freeze> freezes{};
    std::vector<Exchange> exchanges{};
    std::size_t strayAnswers = 0;
    std::map<std::string, std::vector<support::ReceivedRequest>> received{}; //!< By the identifier of the request.
};

struct Breach
{
    std::string text{};
    const Exchange *exchange = nullptr; //!< The request that it is about; none for a breach by a process.
    bool isLoss = false; //!< Of a request that an endpoint received.
};

//! Counts requests to gateways that stop.
struct StopCounts
{
    std::size_t underWay = 0; //!< Begun before SIGTERM and not answered by then.
    std::size_t later = 0; //!< Begun after SIGTERM.
    std::map<int, std::size_t> byStatus{};
    std::size_t lostAtEndpoint = 0; //!< An endpoint received it and its caller got no whole answer.
    std::size_t lostChunkedOrders = 0; //!< Those of them that are unsafe and had a chunked body.
    std::size_t lostUnderWay = 0; //!< Those of them that were under way at SIGTERM.
    std::size_t excused = 0; //!< The same as lostAtEndpoint, where the rules allow it.
    std::size_t excusedStreams = 0; //!< Those of them that are streams: only the end of the connection can show that one is broken off.
    std::size_t faultyStreams = 0; //!< An endpoint received the request and had a fault in its stream.
    std::size_t faultyWhole = 0; //!< Streams that arrived whole though a fault was planned.
    std::size_t faultyBroken = 0; //!< Those of them that were broken off, where the fault allows it.
    std::size_t cutUnread = 0; //!< Sent whole, not passed on, and without an answer.
    std::size_t cutArriving = 0; //!< The connection ended before it was sent whole.
    std::size_t crossed = 0; //!< Sent just before the end of its connection, or behind a request whose answer was broken off, and not passed on.
};

//! Judges by what callers and endpoints saw, and by how the processes ended.
class StopJudge
{
public:
    StopJudge(const StopPlan &plan, const Seen &seen);

    std::vector<Breach> breaches{};
    StopCounts counts{};

private:
    void judgeProcess(const SeenStop &stop);
    void judge(const Exchange &exchange);
    void judgeAnswer(const Exchange &exchange, const std::vector<support::ReceivedRequest> &received);

    //! Judges the pieces of a stream that its caller got in \p body.
    void judgePieces(const Exchange &exchange, const std::string &body, bool isComplete);
    void judgeEnd(const Exchange &exchange, const std::vector<support::ReceivedRequest> &received);

    bool isUnderWay(const Exchange &exchange) const;

    //! Returns whether an endpoint's request may be left without an answer.
    bool isExcused(const Exchange &exchange, const support::ReceivedRequest &received) const;

    //! Returns whether a stream was broken off for its caller to see, and an endpoint had spoiled it.
    static bool isBrokenByEndpoint(const Exchange &exchange, const std::vector<support::ReceivedRequest> &received);

    //! Returns whether another gateway, which may have carried the request to its endpoint, stood still while the request was under way.
    bool hadFrozenCarrier(const Exchange &exchange) const;
    void add(const std::string &text, const Exchange *exchange = nullptr);
    const SeenStop *stopOf(const Exchange &exchange) const;

    const StopPlan &plan;
    const Seen &seen;
};

} // namespace oleandergate::soak

#endif
