#ifndef OLEANDERGATE_GATEWAY_RELAY_H
#define OLEANDERGATE_GATEWAY_RELAY_H

#include "gateway/crashregistry.h"
#include "gateway/endpointsend.h"
#include "gateway/gatewayconfigurationholder.h"
#include "gateway/interfaces/headercodec.h"
#include "gateway/interfaces/tokenbudgetservice.h"
#include "gateway/poolset.h"
#include "gateway/ratelimiter.h"
#include "gateway/streamversions.h"
#include "runtime/httpclient.h"
#include "runtime/httpexchange.h"

#include <atomic>
#include <map>
#include <string>

namespace oleandergate {

class Counter;
class LatencyHistogram;
class Metrics;

//! Handles callers' requests: finds their route, waits for an endpoint, forwards request and answer.
class Relay
{
public:
    struct Parts
    {
        GatewayConfigurationHolder &configurationHolder;
        PoolSet &pools;
        HttpClient &client;
        const HeaderCodec &headerCodec;
        TokenBudgetService &budget;
        CrashRegistry &crashes;
        RateLimiter &limiter;
        StreamVersions &versions;
        Metrics &metrics;
    };

    explicit Relay(const Parts &parts);

    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

    //! Sets when this process ends. Requests that might not complete by \p time are refused from now on.
    void setShutdownTime(Time time);

private:
    struct RequestContext;

    boost::asio::awaitable<void> serve(RequestContext &context);
    boost::asio::awaitable<void> awaitConfiguration(RequestContext &context);

    //! Finds the route of a request; a request without one waits for a newer configuration if another instance has it already.
    boost::asio::awaitable<void> findRoute(RequestContext &context);
    boost::asio::awaitable<void> serveAdmitted(RequestContext &context);

    //! Waits while another run of the request decides whether it crashes endpoints. Returns the last verdict.
    boost::asio::awaitable<RunAdmission> awaitAdmission(RequestContext &context);

    //! Returns the next step of a request that may not run, and keeps the reason for its caller.
    NextStep onNotAdmitted(RequestContext &context, const RunAdmission &admission);

    //! Finds the software version of a stream that the caller takes up. Returns false when the request was refused because it cannot be told.
    boost::asio::awaitable<bool> findStreamVersion(RequestContext &context);

    //! Restricts \p queued to the software version that its stream needs, or at which it should begin.
    void requireVersion(const RequestContext &context, QueuedCall &queued, Time now) const;

    //! Records the software version of a stream that begins elsewhere than its assignment says. Fails when the stream may not begin there.
    boost::asio::awaitable<Result<void>> recordVersion(RequestContext &context, std::string version);
    QueuedCall makeQueuedCall(const RequestContext &context, EndpointId requiredEndpoint, const RunAdmission &admission, Time now);

    //! Records the end of a run, and whether its endpoint ended with it.
    void recordRunEnd(const RequestContext &context, const SendResult &result, Time startedAt, Time now);
    boost::asio::awaitable<NextStep> sendOnce(RequestContext &context, EndpointId requiredEndpoint);
    boost::asio::awaitable<void> sendFinalAnswer(RequestContext &context, NextStep nextStep);
    boost::asio::awaitable<void> refuse(RequestContext &context, const Error &error);
    void recordOutcome(const RequestContext &context) const;

    Parts parts;
    std::map<std::string, Counter *> requestCounters; //!< Ended requests by outcome.
    LatencyHistogram &requestSeconds;
    std::atomic<CallId> nextCallId{1};
    std::atomic<Time> shutdownTime{Time::max()};
};

} // namespace oleandergate

#endif
