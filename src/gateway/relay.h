#ifndef OLEANDERGATE_GATEWAY_RELAY_H
#define OLEANDERGATE_GATEWAY_RELAY_H

#include "gateway/endpointsend.h"
#include "gateway/interfaces/dialect.h"
#include "gateway/interfaces/turnbudget.h"
#include "gateway/planholder.h"
#include "gateway/poolset.h"
#include "runtime/httpclient.h"
#include "runtime/httpexchange.h"

#include <atomic>
#include <map>
#include <string>

namespace oleandergate {

class Counter;
class LatencyHistogram;
class Metrics;

//! Answers callers' requests: finds their route, waits for an endpoint, passes request and answer on.
class Relay
{
public:
    struct Parts
    {
        PlanHolder &plans;
        PoolSet &pools;
        HttpClient &client;
        const Dialect &dialect;
        TurnBudget &budget;
        Metrics &metrics;
    };

    explicit Relay(const Parts &parts);

    boost::asio::awaitable<void> handle(HttpRequest request, HttpExchange &exchange);

    //! From now on refuses requests that could last longer than until \p end, when this process ends.
    void endBy(Time end);

private:
    struct Job;

    boost::asio::awaitable<void> serve(Job &job);
    boost::asio::awaitable<void> awaitPlan(Job &job);
    boost::asio::awaitable<void> serveAdmitted(Job &job);
    boost::asio::awaitable<NextStep> sendOnce(Job &job, EndpointId only);
    boost::asio::awaitable<void> conclude(Job &job, NextStep step);
    boost::asio::awaitable<void> refuse(Job &job, const Error &error);
    void note(const Job &job) const;

    Parts parts;
    std::map<std::string, Counter *> ended; //!< Requests by outcome.
    LatencyHistogram &requestSeconds;
    std::atomic<CallId> nextCall{1};
    std::atomic<Time> end{Time::max()};
};

} // namespace oleandergate

#endif
