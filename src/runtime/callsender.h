#ifndef OLEANDERGATE_RUNTIME_CALLSENDER_H
#define OLEANDERGATE_RUNTIME_CALLSENDER_H

#include "decision/placement.h"
#include "runtime/dispatchedcall.h"
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

    //! Makes one attempt and reports its result to the dispatch service.
    boost::asio::awaitable<void> run(DispatchedCallPointer dispatched, DispatchPoolPointer pool, Placement placement);

private:
    boost::asio::awaitable<void> callEngine(DispatchedCallPointer dispatched, PoolConfig config, Placement placement);
    boost::asio::awaitable<void> callService(DispatchedCallPointer dispatched, ServiceConfig config, Placement placement);
    //! Queries a service for the outcome of a call whose answer was lost. Returns nothing when the service does not report one.
    boost::asio::awaitable<std::optional<HttpResponse>> queryOutcome(DispatchedCallPointer dispatched, ServiceConfig config, Placement placement);
    void handleEngineOutcome(const DispatchedCallPointer &dispatched,
                             const PoolConfig &config,
                             const Placement &placement,
                             const HttpOutcome &outcome,
                             const class EngineStream &stream,
                             const std::string &text);
    HttpCall makeCall(const DispatchedCall &dispatched, const Placement &placement) const;

    DispatchService &dispatch;
    ProgramService &programs;
    HttpClient &client;
    ClusterView &view;
    EventLog &events;
    LatencyHistogram &callSeconds;
};

} // namespace oleandergate

#endif
