//! Gateway processes before an endpoint that states in its answers that it is leaving.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int callCount = 12;
constexpr int timeoutMs = 20000;

} // namespace

// Guards against new requests to an endpoint that is leaving while its registration still says that it serves.
TEST_CASE("Leaving: an endpoint that states so gets no new request from any gateway, and a stream that runs there goes on")
{
    GatewayCluster cluster(2, 2);
    REQUIRE(cluster.startServing());
    cluster.endpoints[0]->setStatesLeaving(true);
    std::optional<HttpResponse> answer;
    for (int number = 0; number < callCount && cluster.endpoints[0]->receivedCount() == 0; ++number) {
        answer = cluster.call(
            0, "POST", "/turns/1", {{"Oleandergate-Token-Counts", "100,100"}, {"Oleandergate-Prompt-Prefix", "x" + std::to_string(number) + ":100"}});
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(countOf(answer->body, "data:") == StandinEndpoint::eventCount);
        CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    }
    const std::size_t received = cluster.endpoints[0]->receivedCount();
    REQUIRE(received > 0);
    // The other gateway has sent nothing to the endpoint yet.
    CHECK(cluster.logHas(1, "an endpoint states that it is leaving"));
    for (int number = 0; number < callCount; ++number) {
        CHECK(cluster.call(static_cast<std::size_t>(number % 2), "GET", "/reads/2")->status == 200);
    }
    CHECK(cluster.endpoints[0]->receivedCount() == received);
    CHECK(countOf(cluster.log(0), "an endpoint states that it is leaving") == 1);
    CHECK(countOf(cluster.log(1), "an endpoint states that it is leaving") == 1);
}

// Guards against a stream that breaks off and is sent again to its endpoint, which is leaving.
TEST_CASE("Leaving: a stream that breaks off at an endpoint that is leaving is not sent there again, and does not end as complete")
{
    GatewayCluster cluster(1, 2);
    REQUIRE(cluster.startServing());
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({Behaviour::SlowBreakMidEvent});
    }
    std::optional<HttpResponse> answer;
    std::jthread caller([&]() {
        answer = cluster.call(0, "POST", "/turns/1", {{"Oleandergate-Token-Counts", "100,100"}, {"Oleandergate-Prompt-Prefix", "a1:100"}});
    });
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedCount() == 1;
        },
        timeoutMs));
    const std::size_t leaving = cluster.endpoints[0]->receivedCount() == 1 ? 0 : 1;
    cluster.registerEndpoint(leaving, "draining");
    caller.join();
    // Its route allows one endpoint, so the stream cannot go on elsewhere either.
    CHECK(cluster.receivedCount() == 1);
    CHECK_FALSE(answer);
    REQUIRE(cluster.logHas(0, "takes no new ones"));
    CHECK(cluster.logHas(0, "\"outcome\":\"broken-off\""));
}
