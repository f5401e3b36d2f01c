#ifndef OLEANDERGATE_GATEWAY_RELAY_H
#define OLEANDERGATE_GATEWAY_RELAY_H

#include "gateway/calleridentity.h"
#include "gateway/crashregistry.h"
#include "gateway/endpointsend.h"
#include "gateway/gatewayconfigurationholder.h"
#include "gateway/interfaces/headercodec.h"
#include "gateway/interfaces/tokenbudgetservice.h"
#include "gateway/leavingendpoints.h"
#include "gateway/poolset.h"
#include "gateway/ratelimiter.h"
#include "gateway/relayrequest.h"
#include "gateway/requestdrain.h"
#include "gateway/routetargetrecords.h"
#include "gateway/sendsteps.h"
#include "gateway/servicedoubt.h"
#include "gateway/streamversions.h"
#include "runtime/httpclient.h"
#include "runtime/httpexchange.h"

#include <map>
#include <string>

namespace oleandergate {

class Allowances;
class AsyncSignal;
class Hedging;
class MemoryBudget;

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
        RequestDrain &drain;
        PoolSet &pools;
        HttpClient &client;
        const HeaderCodec &headerCodec;
        TokenBudgetService &budget;
        CrashRegistry &crashes;
        RateLimiter &limiter;
        Allowances &allowances;
        Hedging &hedging;
        LeavingEndpoints &leaving;
        const RouteTargetRecords &targets;
        StreamVersions &versions;
        StreamHabitRegistry &habits;
        MemoryBudget &memory;
        Metrics &metrics;
    };

    explicit Relay(const Parts &parts);

    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

    //! Returns the refusal of a request of which only \p head has arrived, if it could not complete before this instance has shut down.
    std::optional<HttpResponse> refuseUnread(HttpRequest head, Time now) const;

private:
    boost::asio::awaitable<void> serve(RelayRequest &context);
    boost::asio::awaitable<void> awaitConfiguration(RelayRequest &context);

    //! Finds the route of a request; a request without one waits for a newer configuration if another instance has it already.
    boost::asio::awaitable<void> findRoute(RelayRequest &context);

    //! Has a stream that begins wait for what changed while this process was paused, and find its route again.
    boost::asio::awaitable<void> awaitMissedChanges(RelayRequest &context);
    //! Serves a request whose organisation's allowance covers it.
    boost::asio::awaitable<void> serveAllowed(RelayRequest &context);
    boost::asio::awaitable<void> serveAdmitted(RelayRequest &context);

    //! Finds the software version of a stream that the caller takes up. Returns false when the request was refused because it cannot be told.
    boost::asio::awaitable<bool> findStreamVersion(RelayRequest &context);

    //! Returns why the service to which the route leads may not be the one that began the stream that the caller takes up. Waits a little for a configuration
    //! or a record that this instance may have missed.
    boost::asio::awaitable<ServiceDoubt> findServiceDoubt(RelayRequest &context);

    //! Returns whether the record of targets has been read, and is no older than the active configuration; reads it again if necessary.
    boost::asio::awaitable<bool> confirmTargetRecord(RelayRequest &context);

    //! Refuses a stream that its caller takes up, as the service that began it is not known.
    boost::asio::awaitable<void> refuseForDoubt(RelayRequest &context, ServiceDoubt doubt);

    //! Records the end of a run, and whether its endpoint ended with it.
    void recordRunEnd(const RelayRequest &context, const SendResult &result, Time startedAt, Time now);
    boost::asio::awaitable<NextStep> sendOnce(RelayRequest &context, EndpointId requiredEndpoint);

    //! What one run of a request has for itself.
    struct RunState
    {
        std::shared_ptr<Cancellation> cancellation{};
        HeldMemory &held;
        StreamProgress &progress;
        ConnectionPath &path;
    };

    //! Sends the request as prepared.
    boost::asio::awaitable<SendResult> run(RelayRequest &context, const SendAttempt &attempt, RunState state);

    //! One of two runs of a request that may be under way at the same time.
    struct HedgedRun;

    //! Returns whether a request that is sent for the first time may be sent a second time before that has ended.
    bool mayHedge(const RelayRequest &context) const;

    //! Sends the request as prepared, and to a second endpoint if the answer takes long. The first good answer counts, and the other run is cancelled.
    boost::asio::awaitable<NextStep> sendWithHedge(RelayRequest &context, SendAttempt attempt);
    boost::asio::awaitable<void> runHedged(RelayRequest &context, HedgedRun &run, AsyncSignal &ended);

    //! Prepares the second send. Returns false if there is to be none.
    boost::asio::awaitable<bool> prepareHedge(RelayRequest &context, EndpointId firstEndpoint, SendAttempt &attempt);

    //! Takes the results of both runs, the better one last.
    boost::asio::awaitable<NextStep> judgeHedged(RelayRequest &context, HedgedRun &first, HedgedRun *second);

    //! Records the result of a send and decides what follows.
    NextStep judge(RelayRequest &context, const SendAttempt &attempt, SendResult result);

    //! Gives back the reserved tokens that were not passed on.
    boost::asio::awaitable<void> settle(RelayRequest &context);
    boost::asio::awaitable<void> sendFinalAnswer(RelayRequest &context, NextStep nextStep);
    boost::asio::awaitable<void> refuse(RelayRequest &context, const Error &error);
    void recordOutcome(const RelayRequest &context) const;

    Parts parts;
    SendSteps steps;
    std::map<std::string, Counter *> requestCounters; //!< Ended requests by outcome.
    std::array<Counter *, callerIdentityNames.size()> identityCounters;
    LatencyHistogram &requestSeconds;
};

} // namespace oleandergate

#endif
