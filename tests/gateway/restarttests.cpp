//! Streams that callers take up at an instance whose process started after their route had changed.

#include "restartcluster.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int streamCount = restartStreamCount;

std::string movedRoute(const std::string &prefix, const std::string &targets)
{
    return R"(,{"Name":"moved","Host":"h.example","PathPrefix":")" + prefix + R"(","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":0,)"
        + targets + R"(,"MaxAttempts":1,"Resumable":true,"GapAimMs":200})";
}

std::string movedRoute(const std::string &service)
{
    return movedRoute("/moved/", R"("Service":")" + service + "\"");
}

std::string splitRoute(int engineWeight)
{
    return movedRoute("/moved/",
                      R"("TrafficSplit":[{"Service":"engine","Weight":)" + std::to_string(engineWeight) + R"(},{"Service":"other","Weight":)"
                          + std::to_string(100 - engineWeight) + "}]");
}

} // namespace

// Guards against streams joined from two services: a process that has just started knew no former targets of a route and took that for none.
TEST_CASE("Restarted: an instance that started after a route had moved does not take its streams up at the new service")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.beginAll(0);
    cluster.configure(2, movedRoute("other"));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    cluster.restart({1});
    REQUIRE(cluster.waitUntilReady());
    cluster.awaitVersion(1, 2);
    cluster.takeUpAll(1);
}

// The same with no process left that knew the former targets.
TEST_CASE("Restarted: no instance takes the streams of a moved route up at the new service after all have ended at once")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.beginAll(0);
    cluster.configure(2, movedRoute("other"));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    cluster.restart({0, 1, 2});
    for (const std::size_t gateway : {0, 2}) {
        cluster.awaitAssignment(gateway, "other");
        cluster.takeUpAll(gateway);
    }
}

// The same where no process has seen the change: all ended before it was acknowledged, or right behind.
TEST_CASE("Restarted: streams of a route that moved while no instance ran are not taken up at the new service")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.beginAll(0);
    for (ChildProcess &gateway : cluster.gateways) {
        gateway.kill();
    }
    cluster.configure(2, movedRoute("other"));
    cluster.restart({0, 1, 2});
    cluster.awaitAssignment(1, "other");
    cluster.takeUpAll(1);
}

// Guards against streams joined from two services where the shares of a split route have changed before the process started.
TEST_CASE("Restarted: an instance that started after the shares of a route had changed takes its streams up where they began, or not at all")
{
    RestartCluster cluster(splitRoute(50));
    cluster.beginAll(0);
    cluster.configure(2, splitRoute(10));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    cluster.restart({1});
    REQUIRE(cluster.waitUntilReady());
    cluster.awaitVersion(1, 2);
    const int served = cluster.takeUpAll(1);
    // Streams whose key has the same service by both shares can go on.
    CHECK(served > 0);
    CHECK(served < streamCount);
}

// Guards against streams joined from two services at an instance that the store refuses and whose peers sent it the configuration.
TEST_CASE("Restarted: an instance that started without the store does not take streams of a moved route up at the new service")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.beginAll(0);
    cluster.configure(2, movedRoute("other"));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    cluster.store.setRefusing(true);
    cluster.restart({1});
    cluster.awaitVersion(1, 2);
    cluster.takeUpAll(1);
}

// Guards against streams joined from two services where a route with a longer prefix takes over paths of another one.
TEST_CASE("Restarted: streams are not taken up at the service of a route with a longer prefix that was added")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.beginAll(0);
    std::string longer;
    for (int number = 0; number < streamCount; ++number) {
        longer += movedRoute("/moved/" + std::to_string(number) + "/", R"("Service":"other")");
    }
    cluster.configure(2, movedRoute("engine") + longer);
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    // At an instance that saw the change, and at one that started after it.
    cluster.takeUpAll(2);
    cluster.restart({1});
    REQUIRE(cluster.waitUntilReady());
    cluster.awaitVersion(1, 2);
    cluster.takeUpAll(1);
}

// Guards against streams joined from two services: nobody could record the configuration by which they began, and an instance that started later never had it.
TEST_CASE("Restarted: no stream is taken up by an instance whose configuration could not be recorded")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.gateways[1].kill();
    cluster.clearLog(1);
    cluster.store.setRefusingWrites(true);
    cluster.configure(2, movedRoute("other"));
    cluster.awaitVersion(0, 2);
    cluster.beginAll(0);
    cluster.configure(3, movedRoute("engine") + movedRoute("/further/", R"("Service":"engine")"));
    cluster.startGateway(1);
    cluster.awaitVersion(1, 3);
    cluster.takeUpAll(1);
}

// Guards against refusing streams that can go on: their route has not changed.
TEST_CASE("Restarted: streams of a route that has not changed are taken up at an instance that has just started")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.beginAll(0);
    cluster.configure(2, movedRoute("engine"), R"({"HeaderBytes":8192,"BodyBytes":4096,"HeaderMs":3000,"IdleMs":9000})");
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    cluster.restart({0, 1, 2});
    REQUIRE(cluster.waitUntilReady());
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    cluster.awaitAssignment(1, "engine");
    CHECK(cluster.takeUpAll(1) == streamCount);
}
