//! Gateways that have lost their links to endpoints which the other gateways reach.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr std::size_t gatewayCount = 3;
constexpr std::size_t endpointCount = 4;
constexpr int batchSize = 12;

//! How long callers wait.
constexpr const char *patienceMs = "1500";

//! Time after the begin of a cut within which a gateway has to be served by way of others.
constexpr std::chrono::milliseconds detectionTime{1000};

//! Time after the start within which the gateways know each other.
constexpr std::chrono::milliseconds membershipTime{1000};

//! Gateways of which the first has links of its own to the endpoints, and has served requests over them.
struct LinkedCluster : GatewayCluster
{
    explicit LinkedCluster(std::size_t linkedGateways = 1)
        : GatewayCluster(gatewayCount, endpointCount, linkedGateways)
    {
        REQUIRE(this->startServing());
        std::this_thread::sleep_for(membershipTime);
        // Leaves idle connections to all endpoints behind.
        for (int number = 0; number < batchSize; ++number) {
            REQUIRE(this->servedBy(0, "GET", "/reads/1"));
            REQUIRE(this->servedBy(1, "GET", "/reads/1"));
        }
    }

    bool servedBy(std::size_t gateway, const std::string &method, const std::string &target)
    {
        const std::optional<HttpResponse> answer = this->call(gateway, method, target, {{"Oleandergate-Deadline-Ms", patienceMs}});
        return answer && answer->status == 200;
    }

    //! Sends requests of all kinds to \p gateway. Returns how many were served.
    int countServed(std::size_t gateway = 0)
    {
        int served = 0;
        for (int number = 0; number < batchSize; ++number) {
            served += this->servedBy(gateway, "GET", "/reads/1") ? 1 : 0;
            served += this->servedBy(gateway, "POST", "/orders/1") ? 1 : 0;
            const std::string program = "p" + std::to_string(this->programs++);
            const std::optional<HttpResponse> turn = this->call(gateway,
                                                                "POST",
                                                                "/turns/1",
                                                                {{"Oleandergate-Deadline-Ms", patienceMs},
                                                                 {"Oleandergate-Program-Id", program},
                                                                 {"Oleandergate-Session-Id", program + "-main"},
                                                                 {"Oleandergate-Token-Counts", "100,100"},
                                                                 {"Oleandergate-Prompt-Prefix", program + ":100"}});
            served += turn && turn->status == 200 ? 1 : 0;
        }
        return served;
    }

    //! Sends an order whose answer the endpoint holds back, and waits until it has arrived there. The thread ends with \p answer.
    std::thread beginSlowOrder(std::optional<HttpResponse> &answer)
    {
        const std::size_t before = this->receivedCount();
        for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
            endpoint->setNextBehaviours({Behaviour::Slow});
        }
        std::thread caller([this, &answer]() {
            answer = this->call(0, "POST", "/orders/1", {{"Oleandergate-Deadline-Ms", "6000"}});
        });
        CHECK(waitFor(
            [&]() {
                return this->receivedCount() > before;
            },
            logTimeoutMs));
        return caller;
    }

    int programs = 0;
};

constexpr int sentCount = 3 * batchSize;

//! At least 19 of 20 requests have to be served.
constexpr int minServed = sentCount * 19 / 20;

} // namespace

// Guards against callers of an instance without links to the endpoints being refused although other instances reach them.
TEST_CASE("Cut off: an instance whose connections to endpoints are reset and refused serves its callers by way of others")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::Reset);
    std::this_thread::sleep_for(detectionTime);
    CHECK(cluster.countServed() >= minServed);
    cluster.setLink(0, Link::Open);
    CHECK(cluster.countServed() == sentCount);
}

// The same where nothing tells the instance that its connections are gone.
TEST_CASE("Cut off: an instance whose connections to endpoints hang serves its callers by way of others")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::Silent);
    // Some of the requests of the first second may fail.
    const auto cutAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < cutAt + detectionTime) {
        cluster.call(0, "GET", "/reads/1", {{"Oleandergate-Deadline-Ms", "300"}});
    }
    CHECK(cluster.countServed() >= minServed);
}

// The same where open connections live on.
TEST_CASE("Cut off: an instance that cannot open new connections to endpoints serves its callers by way of others")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::NoNew);
    CHECK(cluster.countServed() >= minServed);
}

// Guards against an instance that loses single links taking the endpoints for ended, or leaving them unused.
TEST_CASE("Cut off: an instance without links to some endpoints still uses them, and nobody counts them as ended")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::Reset, endpointCount - 1);
    const std::size_t before = cluster.receivedCount() - cluster.endpoints.back()->receivedCount();
    CHECK(cluster.countServed() >= minServed);
    CHECK(cluster.receivedCount() - cluster.endpoints.back()->receivedCount() > before);
    CHECK(cluster.log(0).find("an endpoint ended under a request") == std::string::npos);
}

// Guards against taking the end of an endpoint for a cut: the others do not reach it either.
TEST_CASE("Cut off: an endpoint that has ended for all instances is left alone")
{
    // A proxy would accept connections for the endpoint that has ended.
    LinkedCluster cluster(0);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Crash});
    CHECK(cluster.countServed(1) >= minServed);
    CHECK(countOf(cluster.log(1), "\"via\":\"127.") == 0);
}

// Guards against an answer that its connection ends looking whole, or cut, because other connections carried it.
TEST_CASE("Cut off: answers without a length are delivered whole by way of others, and broken ones are not")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::Reset);
    REQUIRE(cluster.servedBy(0, "GET", "/reads/1"));
    for (const Behaviour behaviour : {Behaviour::Unframed, Behaviour::Truncate, Behaviour::EndMidEvent, Behaviour::EndBeforeFirstEvent}) {
        for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
            endpoint->setNextBehaviours({behaviour});
        }
        const bool isStream = behaviour == Behaviour::EndMidEvent || behaviour == Behaviour::EndBeforeFirstEvent;
        const std::optional<HttpResponse> answer = isStream
            ? cluster.call(0,
                           "POST",
                           "/turns/1",
                           {{"Oleandergate-Deadline-Ms", patienceMs}, {"Oleandergate-Token-Counts", "100,100"}, {"Oleandergate-Prompt-Prefix", "a1:100"}})
            : cluster.call(0, "POST", "/orders/1", {{"Oleandergate-Deadline-Ms", patienceMs}});
        REQUIRE(answer);
        if (isStream) {
            // The rest comes from the same endpoint or another one, each event once.
            CHECK(answer->status == 200);
            CHECK(countOf(answer->body, "data:") == StandinEndpoint::eventCount);
        } else {
            CHECK(answer->status == (behaviour == Behaviour::Unframed ? 200 : 502));
        }
    }
}

// Guards against a second run of a request that runs at most once, and against a wrong "not run", when the carrying instance ends.
TEST_CASE("Cut off: an order under way by way of an instance that ends may have run, and runs once")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::Reset);
    REQUIRE(cluster.servedBy(0, "GET", "/reads/1"));
    const std::size_t before = cluster.receivedCount();
    std::optional<HttpResponse> answer;
    std::thread caller = cluster.beginSlowOrder(answer);
    cluster.gateways[1].kill();
    cluster.gateways[2].kill();
    caller.join();
    REQUIRE(answer);
    CHECK(answer->status == 502);
    CHECK(cluster.receivedCount() == before + 1);
}

// Guards against requests that were passed on being cut off by a planned stop of the instance that carries them.
TEST_CASE("Cut off: an instance that stops finishes what it carries for others")
{
    LinkedCluster cluster;
    cluster.setLink(0, Link::Reset);
    REQUIRE(cluster.servedBy(0, "GET", "/reads/1"));
    std::optional<HttpResponse> answer;
    std::thread caller = cluster.beginSlowOrder(answer);
    cluster.gateways[1].signal(SIGTERM);
    cluster.gateways[2].signal(SIGTERM);
    std::this_thread::sleep_for(detectionTime);
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->release();
    }
    caller.join();
    REQUIRE(answer);
    CHECK(answer->status == 200);
}
