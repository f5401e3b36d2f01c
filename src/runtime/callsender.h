#ifndef OLEANDERGATE_RUNTIME_CALLSENDER_H
#define OLEANDERGATE_RUNTIME_CALLSENDER_H

#include "decision/placement.h"
#include "runtime/callwork.h"
#include "runtime/dispatchpool.h"
#include "runtime/httpclient.h"

#include <boost/asio/awaitable.hpp>

namespace oleandergate {

class ClusterView;
class DispatchService;
class EventLog;

class LatencyHistogram;
class Metrics;
class ProgramService;

//! Sends placed calls to their endpoints and reads the answers.
class CallSender
{
public:
    CallSender(DispatchService &dispatch, ProgramService &programs, HttpClient &client, ClusterView &view, EventLog &events, Metrics &metrics);

    //! Makes one attempt and reports its end to the dispatch service.
    boost::asio::awaitable<void> run(CallWorkPointer work, DispatchPoolPointer pool, Placement placement);

private:
    boost::asio::awaitable<void> callEngine(CallWorkPointer work, PoolConfig config, Placement placement);
    boost::asio::awaitable<void> callService(CallWorkPointer work, ServiceConfig config, Placement placement);
    boost::asio::awaitable<std::optional<HttpResponse>> askOutcome(CallWorkPointer work, ServiceConfig config, Placement placement);
    void finishEngine(const CallWorkPointer &work,
                      const PoolConfig &config,
                      const Placement &placement,
                      const HttpOutcome &outcome,
                      const class EngineStream &stream,
                      const std::string &text);
    HttpCall makeCall(const CallWork &work, const Placement &placement) const;

    DispatchService &dispatch;
    ProgramService &programs;
    HttpClient &client;
    ClusterView &view;
    EventLog &events;
    LatencyHistogram &callSeconds;
};

} // namespace oleandergate

#endif
