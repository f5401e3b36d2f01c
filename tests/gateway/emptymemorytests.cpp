//! Streams and promises at an instance whose process has just started and remembers nothing of what happened before.

#include "releasecluster.h"

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

//! More refusals than requests in a case: the endpoint is full.
constexpr std::size_t refusalCount = 200;

//! Each refusal in an outage takes its time, and no stream is taken up later than its route allows.
constexpr std::size_t outageTakeUps = 3;

//! Until no instance has reached the store for a while.
constexpr std::chrono::milliseconds outageTime(2500);

} // namespace

// Guards against streams joined from two versions: the process that began them was killed, and their bucket moved before it came back.
TEST_CASE("Empty memory: a stream whose bucket moved goes on at its version or not at all at an instance that has just started")
{
    ReleaseCluster cluster;
    REQUIRE(cluster.beginAll(0) == programCount);
    cluster.end(0);
    cluster.release();
    cluster.start(0);
    REQUIRE(cluster.waitUntilReady());
    cluster.takeUpWhileFilling(0);
    cluster.takeUpWhileFilling(2);
}

// The same where the bucket moves while the process is starting.
TEST_CASE("Empty memory: a stream whose bucket moves beside the start of an instance goes on at its version or not at all")
{
    ReleaseCluster cluster;
    REQUIRE(cluster.beginAll(0) == programCount);
    cluster.end(0);
    cluster.start(0);
    cluster.registerEndpoint(1);
    REQUIRE(cluster.waitUntilReady());
    cluster.takeUpWhileFilling(0);
}

// The same with no process left that remembers anything: some streams began off their assignment.
TEST_CASE("Empty memory: streams go on at their versions or not at all after all instances have ended while two versions serve")
{
    ReleaseCluster cluster;
    cluster.release();
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(refusalCount, Behaviour::Refuse));
    REQUIRE(cluster.beginAll(0) == programCount);
    cluster.endpoints[0]->setNextBehaviours({});
    cluster.restartAll();
    REQUIRE(cluster.waitUntilReady());
    cluster.takeUpWhileFilling(0);
    cluster.takeUpWhileFilling(1);
    // Their records tell the version.
    CHECK(cluster.takeUpAll(2) == programCount);
}

// The same where the store refuses the instances at first, and where one instance is left that has the configuration.
TEST_CASE("Empty memory: streams go on at their versions or not at all at instances that started while the store refused them")
{
    ReleaseCluster cluster;
    cluster.release();
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(refusalCount, Behaviour::Refuse));
    REQUIRE(cluster.beginAll(0) == programCount);
    cluster.endpoints[0]->setNextBehaviours({});
    cluster.store.setRefusing(true);
    SUBCASE("all ended")
    {
        cluster.restartAll();
    }
    SUBCASE("one is left")
    {
        for (const std::size_t gateway : {0, 1}) {
            cluster.end(gateway);
        }
        for (const std::size_t gateway : {0, 1}) {
            cluster.start(gateway);
        }
        cluster.awaitConfiguration(0);
    }
    cluster.takeUpAll(0, true, outageTakeUps);
    cluster.takeUpAll(0, false, outageTakeUps);
    std::this_thread::sleep_for(outageTime);
    cluster.takeUpAll(1, true, outageTakeUps);
    cluster.takeUpAll(2, true, outageTakeUps);
    cluster.store.setRefusing(false);
    cluster.takeUpWhileFilling(0);
    cluster.takeUpWhileFilling(1);
    REQUIRE(cluster.waitUntilReady());
    cluster.awaitBuckets("v1:64,v2:64");
    CHECK(cluster.takeUpAll(0) == programCount);
}

// Guards against streams joined from two versions at an instance that was added behind a release.
TEST_CASE("Empty memory: an instance that was added behind a release takes streams up at their versions or not at all")
{
    ReleaseCluster cluster(4);
    cluster.end(3);
    REQUIRE(cluster.beginAll(0) == programCount);
    cluster.release();
    cluster.end(0);
    cluster.start(3);
    cluster.awaitConfiguration(3);
    cluster.takeUpWhileFilling(3);
}

// Guards against streams joined from two versions: an instance that could not read the assignments took that for a service without any, and began streams at
// the only version that was listed, without records.
TEST_CASE("Empty memory: a stream that began at an instance without assignments does not go on at the assigned version")
{
    ReleaseCluster cluster;
    cluster.release();
    // Nobody has to reckon with streams from before the release any more.
    cluster.store.endLeases("/before/");
    // The endpoint of v2 ends, and the store fails before buckets are moved.
    cluster.store.setRefusingWrites(true);
    cluster.store.remove("servers/" + cluster.endpoints[1]->identifier());
    std::this_thread::sleep_for(outageTime);
    cluster.store.setRefusing(true);
    cluster.end(1);
    std::this_thread::sleep_for(outageTime);
    cluster.start(1);
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.beginAll(1) > 0);
    SUBCASE("it has ended")
    {
        cluster.end(1);
    }
    SUBCASE("it runs")
    {
    }
    // It is back before the buckets are moved.
    cluster.registerEndpoint(1);
    cluster.store.setRefusing(false);
    std::this_thread::sleep_for(outageTime);
    cluster.takeUpWhileFilling(2);
    cluster.store.setRefusingWrites(false);
    cluster.takeUpWhileFilling(0);
}

// Guards against an endpoint that gets new requests although it stated that it is leaving: the instance started after the others had told each other.
TEST_CASE("Empty memory: an instance that has just started sends nothing to an endpoint that stated before that it is leaving")
{
    GatewayCluster cluster(2, 2);
    REQUIRE(cluster.startServing());
    cluster.endpoints[0]->setStatesLeaving(true);
    for (int number = 0; number < programCount && cluster.endpoints[0]->receivedCount() == 0; ++number) {
        REQUIRE(cluster.call(0, "GET", "/reads/1", ReleaseCluster::headersOf("p" + std::to_string(number))));
    }
    REQUIRE(cluster.endpoints[0]->receivedCount() > 0);
    REQUIRE(cluster.logHas(1, "an endpoint states that it is leaving"));
    // All reports of it have been sent.
    std::this_thread::sleep_for(outageTime);
    cluster.gateways[1].kill();
    cluster.clearLog(1);
    cluster.startGateway(1);
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.logHas(1, "an endpoint states that it is leaving"));
    const std::size_t received = cluster.endpoints[0]->receivedCount();
    for (int number = 0; number < programCount; ++number) {
        REQUIRE(cluster.call(1, "GET", "/reads/1", ReleaseCluster::headersOf("p" + std::to_string(number))));
    }
    CHECK(cluster.endpoints[0]->receivedCount() == received);
}

// Guards against a request that ends further endpoints through an instance that started after the others had refused it.
TEST_CASE("Empty memory: a request that ended three endpoints is refused by an instance that has just started")
{
    constexpr std::size_t crashesToRefuse = 3;
    GatewayCluster cluster(2, 5);
    REQUIRE(cluster.startServing());
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({Behaviour::Crash});
    }
    REQUIRE(cluster.turn(0, "p", 1000));
    REQUIRE(cluster.receivedCount() == crashesToRefuse);
    REQUIRE(cluster.logHas(1, "\"next_run\":\"refused\""));
    // All reports of it as news have been sent.
    std::this_thread::sleep_for(outageTime);
    cluster.gateways[1].kill();
    cluster.clearLog(1);
    cluster.startGateway(1);
    REQUIRE(cluster.waitUntilReady());
    REQUIRE(cluster.logHas(1, "\"next_run\":\"refused\""));
    const std::optional<HttpResponse> answer = cluster.turn(1, "q", 1000);
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(cluster.receivedCount() == crashesToRefuse);
}

// Guards against calls beyond a limit through an instance that started after the others had learnt it.
TEST_CASE("Empty memory: an instance that has just started learns the limit of an endpoint from the others")
{
    GatewayCluster cluster(2, 1);
    REQUIRE(cluster.startServing());
    cluster.endpoints[0]->setRateLimit("4");
    REQUIRE(cluster.call(0, "GET", "/reads/1"));
    REQUIRE(cluster.logHas(1, "\"change\":\"named\""));
    std::this_thread::sleep_for(outageTime);
    cluster.gateways[1].kill();
    cluster.clearLog(1);
    cluster.startGateway(1);
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.logHas(1, "\"change\":\"named\""));
    CHECK(cluster.endpoints[0]->receivedCount() == 1);
}
