//! Planned stops of gateway processes.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int timeoutMs = 20000;

//! The load balancer knows of a stop by then.
constexpr std::chrono::milliseconds balancerLag{3200};
constexpr const char *orderTimeLimit = "6000";

constexpr std::size_t shortCalls = 100;

//! Statuses that promise that a request did not run.
bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

struct StoppingCluster : GatewayCluster
{
    StoppingCluster()
        : GatewayCluster(1, 1)
    {
        REQUIRE(this->startServing());
        // Teaches the gateway that calls are short.
        for (std::size_t number = 0; number < shortCalls; ++number) {
            REQUIRE(this->call(0, "GET", "/reads/1")->status == 200);
        }
    }

    //! Sends a request that its endpoint does not answer, in a thread of its own, and waits until the endpoint has it.
    std::jthread begin(std::optional<HttpResponse> &answer, const std::string &method, const std::string &target, const std::vector<HttpHeader> &headers = {})
    {
        const std::size_t before = this->receivedCount();
        this->endpoints[0]->setNextBehaviours({Behaviour::Slow});
        std::jthread caller([this, &answer, method, target, headers]() {
            answer = this->call(0, method, target, headers);
        });
        waitFor(
            [&]() {
                return this->receivedCount() > before;
            },
            timeoutMs);
        return caller;
    }
};

} // namespace

// Guards against requests that are taken on late in a stop because calls are short on average, and are cut off when the process exits.
TEST_CASE("Shutdown: a request that may outlast the process is refused as not run, with a time to come back")
{
    StoppingCluster cluster;
    std::optional<HttpResponse> running;
    std::jthread caller = cluster.begin(running, "POST", "/orders/1");
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(balancerLag);
    const std::size_t received = cluster.receivedCount();
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Slow});
    const std::optional<HttpResponse> late = cluster.call(0, "POST", "/orders/2", {{"Oleandergate-Deadline-Ms", orderTimeLimit}});
    REQUIRE(late);
    CHECK(late->status == 503);
    CHECK_FALSE(late->header("Retry-After").empty());
    CHECK(late->header("Connection") == "close");
    CHECK(cluster.receivedCount() == received);
    cluster.endpoints[0]->setNextBehaviours({});
    const std::optional<HttpResponse> fitting = cluster.call(0, "POST", "/orders/3", {{"Oleandergate-Deadline-Ms", "1000"}});
    REQUIRE(fitting);
    CHECK(fitting->status == 200);
    cluster.endpoints[0]->release();
    caller.join();
    REQUIRE(running);
    CHECK(running->status == 200);
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against connections that just close when the time for a stop is over: callers could not tell what happened to their requests.
TEST_CASE("Shutdown: what is still under way when the time is over gets a whole answer that does not deny a run")
{
    StoppingCluster cluster;
    constexpr int graceSeconds = 2;
    cluster.setGrace(0, graceSeconds);
    std::array<std::optional<HttpResponse>, 3> answers;
    std::vector<std::jthread> callers;
    callers.push_back(cluster.begin(answers[0], "POST", "/orders/1"));
    callers.push_back(cluster.begin(answers[1], "GET", "/reads/1"));
    callers.push_back(cluster.begin(answers[2], "POST", "/turns/1", {{"Oleandergate-Token-Counts", "100,100"}, {"Oleandergate-Prompt-Prefix", "a1:100"}}));
    cluster.gateways[0].signal(SIGTERM);
    // A second signal, as from an impatient operator, changes nothing.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cluster.gateways[0].signal(SIGTERM);
    for (std::jthread &caller : callers) {
        caller.join();
    }
    for (const std::optional<HttpResponse> &answer : answers) {
        REQUIRE(answer);
        CHECK(answer->status >= 500);
        CHECK_FALSE(promisesNotRun(answer->status));
    }
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against requests that wait for an endpoint until the process exits, although they can no longer be served.
TEST_CASE("Shutdown: a request that waits for an endpoint is refused as not run once it could not complete")
{
    StoppingCluster cluster;
    constexpr int graceSeconds = 2;
    cluster.setGrace(0, graceSeconds);
    // All places of the endpoint.
    constexpr std::size_t callerCount = 64;
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(callerCount, Behaviour::Slow));
    std::vector<std::optional<HttpResponse>> answers(callerCount);
    std::vector<std::jthread> callers;
    callers.reserve(callerCount);
    for (std::optional<HttpResponse> &answer : answers) {
        callers.emplace_back([&]() {
            answer = cluster.call(0, "POST", "/orders/1");
        });
    }
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedCount() > shortCalls;
        },
        timeoutMs));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    cluster.gateways[0].signal(SIGTERM);
    for (std::jthread &caller : callers) {
        caller.join();
    }
    std::size_t refused = 0;
    std::size_t unknown = 0;
    for (const std::optional<HttpResponse> &answer : answers) {
        REQUIRE(answer);
        (promisesNotRun(answer->status) ? refused : unknown) += 1;
    }
    CHECK(refused > 0);
    CHECK(unknown > 0);
    CHECK(cluster.receivedCount() == shortCalls + unknown);
    CHECK(cluster.gateways[0].wait() == 0);
}
