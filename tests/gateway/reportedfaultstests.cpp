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
