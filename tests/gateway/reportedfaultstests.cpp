//! Faults that operators of similar systems reported.

#include "gatewaycluster.h"

#include "runtime/address.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int callerCount = 8;

//! Requests on new connections until the gateway has not been ready for a while, as the platform's balancer sends them.
struct LoadResult
{
    std::atomic<int> answered{0};
    std::atomic<int> cut{0}; //!< Connections that were accepted and ended without a complete answer.
};

void loadUntil(const GatewayCluster &cluster, const std::atomic<bool> &stopped, LoadResult &result)
{
    int number = 0;
    while (!stopped) {
        asio::io_context context;
        tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect(*parseTcpAddress(cluster.callerAddress(0)), error);
        if (error) {
            continue;
        }
        const std::string id = std::to_string(std::hash<std::thread::id>()(std::this_thread::get_id())) + "-" + std::to_string(++number);
        asio::write(
            socket, asio::buffer("GET /reads/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: " + id + "\r\nConnection: close\r\n\r\n"), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        const bool isAnswer = answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503");
        (isAnswer ? result.answered : result.cut) += 1;
    }
}

} // namespace

TEST_CASE("Reported: a second copy of an answer that arrives late, on a connection in use again, reaches nobody")
{
    GatewayCluster cluster(1, 1);
    REQUIRE(cluster.startServing());
    for (int number = 0; number < 6; ++number) {
        cluster.endpoints[0]->setNextBehaviours({Behaviour::LateCopy});
        for (const char *method : {"GET", "POST"}) {
            const std::optional<HttpResponse> answer = cluster.call(0, method, std::string(method) == "GET" ? "/reads/1" : "/orders/1");
            REQUIRE(answer);
            CHECK(answer->status == 200);
            // Each request of the stand-in's callers has the next number.
            CHECK(answer->header("Oleandergate-Request-Id") == cluster.endpoints[0]->received().back().request.header("Oleandergate-Request-Id"));
        }
    }
}

TEST_CASE("Reported: a planned stop under load cuts off no request that was accepted")
{
    GatewayCluster cluster(1, 2);
    REQUIRE(cluster.startServing());
    std::atomic<bool> stopped{false};
    LoadResult result;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&]() {
            loadUntil(cluster, stopped, result);
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    stopped = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(result.answered > 100);
    CHECK(result.cut == 0);
}

TEST_CASE("Reported: a slow but sound stream is delivered whole, and one that sends a byte now and then ends in its caller's time")
{
    GatewayCluster cluster(1, 1);
    REQUIRE(cluster.startServing());
    const std::vector<HttpHeader> headers{{"Oleandergate-Token-Counts", "100,100"}, {"Oleandergate-Prompt-Prefix", "a1:100"}};
    cluster.endpoints[0]->setNextBehaviours({Behaviour::SlowStream});
    const std::optional<HttpResponse> slow = cluster.call(0, "POST", "/turns/1", headers);
    REQUIRE(slow);
    CHECK(slow->status == 200);
    CHECK(countOf(slow->body, "data:") == StandinEndpoint::eventCount);
    CHECK(cluster.endpoints[0]->receivedCount() == 1);
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(8, Behaviour::Trickle));
    std::vector<HttpHeader> limited = headers;
    limited.push_back(HttpHeader{"Oleandergate-Deadline-Ms", "1500"});
    const Clock::time_point began = Clock::now();
    const std::optional<HttpResponse> stalled = cluster.call(0, "POST", "/turns/1", limited);
    CHECK(Clock::now() - began < std::chrono::milliseconds(4000));
    CHECK((!stalled || stalled->status != 200));
    CHECK(waitFor(
        [&]() {
            return cluster.endpoints[0]->abandonedCount() > 0;
        },
        GatewayCluster::logTimeoutMs));
}

TEST_CASE("Reported: an endpoint that is only silent for a while keeps its request, which runs once")
{
    GatewayCluster cluster(3, 2);
    REQUIRE(cluster.startServing());
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({Behaviour::Slow});
    }
    std::optional<HttpResponse> answer;
    std::thread caller([&]() {
        answer = cluster.call(0, "GET", "/reads/1");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    CHECK(cluster.receivedCount() == 1);
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->release();
    }
    caller.join();
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(cluster.receivedCount() == 1);
    CHECK(cluster.log(0).find("cut off from an endpoint") == std::string::npos);
}

// Guards against "not run" for a request that runs, by a copy of an earlier refusal on its connection.
TEST_CASE("Reported: an earlier refusal that an endpoint writes once more is not taken for that of the next request")
{
    for (const Behaviour copied : {Behaviour::LateRefusal, Behaviour::LateUnnamedRefusal}) {
        CAPTURE(static_cast<int>(copied));
        GatewayCluster cluster(1, 1);
        REQUIRE(cluster.startServing());
        cluster.endpoints[0]->setNextBehaviours({copied});
        const std::optional<HttpResponse> refused = cluster.call(0, "POST", "/orders/1");
        REQUIRE(refused);
        CHECK(refused->status == 503);
        const std::optional<HttpResponse> next = cluster.call(0, "POST", "/orders/2");
        REQUIRE(next);
        // A refusal that names no request may be one of this request or of another.
        CHECK(next->status == (copied == Behaviour::LateRefusal ? 200 : 502));
        CHECK(cluster.receivedCount() == 2);
    }
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream that ends as complete before its last event.
TEST_CASE("Reported: a stream that broke off and is answered with an error when it is sent again is broken off for its caller")
{
    for (const Behaviour second : {Behaviour::Refuse,
                                   Behaviour::Failure,
                                   Behaviour::FullWithoutStatement,
                                   Behaviour::Unsigned,
                                   Behaviour::Truncate,
                                   Behaviour::EndMidHead,
                                   Behaviour::CloseUnanswered,
                                   Behaviour::EndBeforeFirstEvent}) {
        CAPTURE(static_cast<int>(second));
        GatewayCluster cluster(1, 1);
        REQUIRE(cluster.startServing());
        constexpr std::size_t repeats = 8;
        std::vector<Behaviour> behaviours(repeats, second);
        behaviours.insert(behaviours.begin(), Behaviour::BreakMidEvent);
        cluster.endpoints[0]->setNextBehaviours(behaviours);
        const std::string received = cluster.sendRaw(0,
                                                     "POST /turns/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: broken\r\n"
                                                     "Oleandergate-Token-Counts: 100,100\r\nOleandergate-Prompt-Prefix: a1:100\r\n"
                                                     "Content-Length: 4\r\nConnection: close\r\n\r\nbody");
        CHECK(cluster.receivedCount() > 1);
        CHECK(countOf(received, "HTTP/1.1") == 1);
        CHECK(received.starts_with("HTTP/1.1 200"));
        CHECK(countOf(received, "data:") > 0);
        CHECK(countOf(received, "data:") < StandinEndpoint::eventCount);
        CHECK_FALSE(received.ends_with("0\r\n\r\n"));
        for (const char *part : {"failure text", "error", "Not-Run", "short", "ok\r\n"}) {
            CHECK(countOf(received, part) == 0);
        }
    }
}

// Guards against a success with an empty or a short body, framed as whole, for an answer whose head was cut.
TEST_CASE("Reported: an answer that ends inside its head is not delivered as a success")
{
    GatewayCluster cluster(1, 1);
    REQUIRE(cluster.startServing());
    constexpr std::size_t repeats = 8;
    const std::vector<HttpHeader> turn{{"Oleandergate-Token-Counts", "100,100"}, {"Oleandergate-Prompt-Prefix", "a1:100"}};
    cluster.endpoints[0]->setNextBehaviours({Behaviour::EndMidHead});
    CHECK(cluster.call(0, "POST", "/orders/1")->status == 502);
    CHECK(cluster.receivedCount() == 1);
    for (const char *target : {"/reads/1", "/turns/1"}) {
        CAPTURE(target);
        cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(repeats, Behaviour::EndMidHead));
        const bool isTurn = std::string(target) == "/turns/1";
        const std::optional<HttpResponse> answer = cluster.call(0, isTurn ? "POST" : "GET", target, isTurn ? turn : std::vector<HttpHeader>());
        REQUIRE(answer);
        CHECK(answer->status == 502);
        cluster.endpoints[0]->setNextBehaviours({});
    }
}
