//! Callers that close their connections while their requests wait in a gateway, or are with an endpoint.

#include "gatewaycluster.h"
#include "support/callerconnection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int timeoutMs = 20000;

//! A request whose caller has left ends within this time, unless it is at an endpoint.
constexpr int dropTimeoutMs = 3000;

//! Time after which requests that can be sent have reached an endpoint.
constexpr std::chrono::milliseconds sendTime{300};

//! Orders that fill the endpoint and its queue in the gateway.
constexpr std::size_t stayingCount = 40;
constexpr std::size_t leavingCount = 12;

struct LeavingCallers : GatewayCluster
{
    explicit LeavingCallers(std::size_t endpointCount = 1, std::size_t linkedGateways = 0)
        : GatewayCluster(1, endpointCount, linkedGateways)
    {
        REQUIRE(this->startServing());
    }

    //! Sends a request with the identifier \p id on a connection of its own.
    std::unique_ptr<CallerConnection> send(const std::string &id, const std::string &target = "/orders/1") const
    {
        auto caller = std::make_unique<CallerConnection>(this->callerAddress(0));
        REQUIRE(caller->send(request(id, target)));
        return caller;
    }

    std::vector<std::unique_ptr<CallerConnection>> sendAll(const std::string &prefix, std::size_t count) const
    {
        std::vector<std::unique_ptr<CallerConnection>> callers;
        for (std::size_t number = 0; number < count; ++number) {
            callers.push_back(this->send(prefix + std::to_string(number)));
        }
        return callers;
    }

    static std::string request(const std::string &id, const std::string &target)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: " + id
            + "\r\nOleandergate-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
    }

    //! Returns how many requests with identifiers that begin with \p prefix the endpoints have received.
    std::size_t receivedOf(const std::string &prefix) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
            const std::vector<ReceivedRequest> received = endpoint->received();
            count += static_cast<std::size_t>(std::count_if(received.begin(), received.end(), [&prefix](const ReceivedRequest &entry) {
                return entry.request.header("Oleandergate-Request-Id").starts_with(prefix);
            }));
        }
        return count;
    }

    //! Waits until \p count requests have ended because their callers had left.
    bool hasDropped(std::size_t count) const
    {
        return waitFor(
            [&]() {
                return countOf(this->log(0), "\"outcome\":\"caller-left\"") == count;
            },
            dropTimeoutMs);
    }

    void release()
    {
        for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
            endpoint->release();
        }
    }
};

} // namespace

// Guards against orders that run although nobody waits for them: they stayed in the queue after their callers had left.
TEST_CASE("Leaving callers: orders that wait for an endpoint are dropped when their callers leave")
{
    LeavingCallers cluster;
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(stayingCount, Behaviour::Slow));
    const std::vector<std::unique_ptr<CallerConnection>> staying = cluster.sendAll("staying", stayingCount);
    std::this_thread::sleep_for(sendTime);
    REQUIRE(cluster.receivedCount() < stayingCount);
    std::vector<std::unique_ptr<CallerConnection>> leaving = cluster.sendAll("leaving", leavingCount);
    std::this_thread::sleep_for(sendTime);
    leaving.clear();
    CHECK(cluster.hasDropped(leavingCount));
    cluster.release();
    for (const std::unique_ptr<CallerConnection> &caller : staying) {
        caller->receive(1, timeoutMs);
        REQUIRE(caller->responses().size() == 1);
        CHECK(caller->responses().front().status == 200);
    }
    CHECK(cluster.receivedOf("staying") == stayingCount);
    CHECK(cluster.receivedOf("leaving") == 0);
}

// The same with bytes behind the request: they hid that the connection was closed.
TEST_CASE("Leaving callers: requests with pipelined bytes behind them are dropped, or cancelled if they may be repeated")
{
    LeavingCallers cluster;
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(stayingCount, Behaviour::Slow));
    std::unique_ptr<CallerConnection> reading = cluster.send("reading", "/reads/1");
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedOf("reading") == 1;
        },
        timeoutMs));
    REQUIRE(reading->send(LeavingCallers::request("behind", "/reads/1")));
    std::this_thread::sleep_for(sendTime);
    reading.reset();
    CHECK(waitFor(
        [&]() {
            return cluster.endpoints[0]->abandonedCount() == 1;
        },
        dropTimeoutMs));
    const std::vector<std::unique_ptr<CallerConnection>> staying = cluster.sendAll("staying", stayingCount);
    std::this_thread::sleep_for(sendTime);
    std::unique_ptr<CallerConnection> leaving = cluster.send("leaving");
    std::this_thread::sleep_for(sendTime);
    REQUIRE(leaving->send(LeavingCallers::request("behind", "/orders/1")));
    std::this_thread::sleep_for(sendTime);
    leaving.reset();
    CHECK(cluster.hasDropped(2));
    cluster.release();
    for (const std::unique_ptr<CallerConnection> &caller : staying) {
        caller->receive(1, timeoutMs);
        CHECK(caller->responses().size() == 1);
    }
    CHECK(cluster.receivedOf("leaving") == 0);
    CHECK(cluster.receivedOf("behind") == 0);
}

// Guards against the wait for a permit of an endpoint with a rate limit outlasting the caller.
TEST_CASE("Leaving callers: an order that waits for the rate limit of its endpoint is dropped when its caller leaves")
{
    LeavingCallers cluster;
    constexpr std::chrono::milliseconds limitInterval{2000};
    cluster.endpoints[0]->setRateLimit("0.5");
    REQUIRE(cluster.call(0, "GET", "/reads/1")->status == 200);
    std::vector<std::unique_ptr<CallerConnection>> leaving = cluster.sendAll("leaving", 3);
    std::this_thread::sleep_for(sendTime);
    const std::size_t sent = cluster.receivedOf("leaving");
    REQUIRE(sent < leaving.size());
    leaving.clear();
    CHECK(cluster.hasDropped(3 - sent));
    std::this_thread::sleep_for(2 * limitInterval);
    CHECK(cluster.receivedOf("leaving") == sent);
}

// Guards against an order whose caller left while a connection was opened going to the next endpoint.
TEST_CASE("Leaving callers: an order whose connection is being opened is not sent once its caller has left")
{
    LeavingCallers cluster(2, 1);
    cluster.setLink(0, Link::Silent);
    std::unique_ptr<CallerConnection> leaving = cluster.send("leaving");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    leaving.reset();
    cluster.setLink(0, Link::Open);
    CHECK(cluster.hasDropped(1));
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    CHECK(cluster.receivedOf("leaving") == 0);
}

// Guards against both: an order that is cancelled at an endpoint, and one that is refused there and then goes to another one for nobody.
TEST_CASE("Leaving callers: an order at an endpoint goes on without its caller, and no further if the endpoint refuses it")
{
    LeavingCallers cluster(2);
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({Behaviour::SlowRefusal});
    }
    std::unique_ptr<CallerConnection> leaving = cluster.send("leaving");
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedOf("leaving") == 1;
        },
        timeoutMs));
    leaving.reset();
    std::this_thread::sleep_for(sendTime);
    CHECK(cluster.endpoints[0]->abandonedCount() + cluster.endpoints[1]->abandonedCount() == 0);
    cluster.release();
    CHECK(cluster.hasDropped(1));
    CHECK(cluster.receivedOf("leaving") == 1);
}

// Guards against requests being sent whose callers had left before a process that was held up read them.
TEST_CASE("Leaving callers: requests whose callers left before they were read are not sent")
{
    LeavingCallers cluster;
    REQUIRE(cluster.call(0, "GET", "/reads/1")->status == 200);
    cluster.gateways[0].suspend();
    std::vector<std::unique_ptr<CallerConnection>> leaving = cluster.sendAll("leaving", leavingCount);
    leaving.clear();
    cluster.gateways[0].signal(SIGCONT);
    CHECK(cluster.hasDropped(leavingCount));
    CHECK(cluster.receivedOf("leaving") == 0);
}

// Guards against a caller that closes only its sending side being left without an answer about an order that was dropped.
TEST_CASE("Leaving callers: who still receives is told that an order was not sent")
{
    LeavingCallers cluster;
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(stayingCount, Behaviour::Slow));
    const std::vector<std::unique_ptr<CallerConnection>> staying = cluster.sendAll("staying", stayingCount);
    std::this_thread::sleep_for(sendTime);
    const std::unique_ptr<CallerConnection> leaving = cluster.send("leaving");
    std::this_thread::sleep_for(sendTime);
    leaving->endSending();
    leaving->receiveToEnd(dropTimeoutMs);
    REQUIRE(leaving->responses().size() == 1);
    CHECK(leaving->responses().front().status == 503);
    CHECK_FALSE(leaving->responses().front().header("Retry-After").empty());
    CHECK(leaving->end() == ConnectionEnd::Closed);
    CHECK(cluster.receivedOf("leaving") == 0);
    cluster.release();
}
