//! Readings of the key-value service whose data another party writes: in pages, large, and without an end.

#include "gatewaycluster.h"

#include "support/processmemory.h"

#include <doctest/doctest.h>

#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

//! Names with characters that a query has to escape.
const std::vector<std::string> escapedNames{"a00%#", "a01%#", "a02&b=", "a03+", "a04%C3%A9", "a05 b", "a06?/../", "a07%"};

//! What a gateway's process may use by its settings.
constexpr std::size_t allowedBytes = GatewayCluster::memoryMegabytes * megabyte;

bool isServing(GatewayCluster &cluster, std::size_t gateway)
{
    const std::optional<HttpResponse> answer = cluster.call(gateway, "GET", "/reads/1");
    return answer && answer->status == 200;
}

//! Checks that all processes run, serve, and never had more memory than they may use.
void checkSound(GatewayCluster &cluster)
{
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        CAPTURE(gateway);
        CHECK(isServing(cluster, gateway));
        CHECK(peakMemoryOf(cluster.gateways[gateway].id()) > 0);
        CHECK(peakMemoryOf(cluster.gateways[gateway].id()) <= allowedBytes);
    }
}

} // namespace

// Guards against an instance that never gets ready because the service does not understand the key behind which it asks for the next page.
TEST_CASE("Store readings: pages that end with names to be escaped are read to the end")
{
    for (const std::string &name : escapedNames) {
        for (const std::size_t items : {1, 2}) {
            CAPTURE(name);
            CAPTURE(items);
            GatewayCluster cluster(1, 1);
            cluster.store.setPageLimits({items});
            cluster.store.put("servers/" + name, "{}");
            REQUIRE(cluster.startServing());
            checkSound(cluster);
        }
    }
}

// Guards against a running process that reads the same page again and again, and keeps each until the system ends it.
TEST_CASE("Store readings: names to be escaped that come while gateways run cost them neither memory nor news of endpoints")
{
    GatewayCluster cluster(2, 2);
    cluster.configure(1);
    cluster.registerEndpoint(0);
    REQUIRE(cluster.waitUntilReady());
    constexpr int nameCount = 520;
    for (int index = 0; index < nameCount; ++index) {
        cluster.store.put("servers/a03+" + std::to_string(index), "{}");
    }
    cluster.store.discardHistory();
    std::this_thread::sleep_for(std::chrono::seconds(8));
    cluster.registerEndpoint(1);
    CHECK(cluster.logHas(0, "\"endpoint\":\"i-1\""));
    checkSound(cluster);
}

// Guards against processes that keep all that another writer has stored until a reading has ended.
TEST_CASE("Store readings: entries as large as the service allows cost an instance no more memory than it may use")
{
    GatewayCluster cluster(1, 1);
    constexpr int entryCount = 40;
    for (int index = 0; index < entryCount; ++index) {
        cluster.store.put("servers/large-" + std::to_string(index), std::string(megabyte, 'x'));
    }
    SUBCASE("registrations")
    {
    }
    SUBCASE("further keys that begin like the configuration's")
    {
        for (int index = 0; index < entryCount; ++index) {
            cluster.store.put("op/config-" + std::to_string(index), std::string(megabyte, 'x'));
        }
    }
    REQUIRE(cluster.startServing());
    checkSound(cluster);
}

// Guards against an instance that is not ready, though its peers are, because it cannot finish its own reading.
TEST_CASE("Store readings: an instance to which the service repeats a page ends the reading and learns from its peers")
{
    GatewayCluster cluster(3, 1);
    cluster.store.setPageLimits({1});
    cluster.store.put("servers/a-first", "{}");
    REQUIRE(cluster.startServing());
    cluster.gateways[2].kill();
    cluster.clearLog(2);
    cluster.setStoreRepeatingPages(2, true);
    cluster.startGateway(2);
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.logHas(2, "page does not go forward"));
    checkSound(cluster);
    const std::size_t before = cluster.store.pagesRepeated();
    const std::size_t watchesBefore = cluster.store.watchesAsked();
    constexpr int seconds = 3;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    // An instance reads four prefixes, and waits 50 ms at least after a reading that failed.
    constexpr std::size_t readingsPerSecond = 4 * 20;
    CHECK(cluster.store.pagesRepeated() - before <= seconds * readingsPerSecond);
    // An instance has three watches.
    constexpr std::size_t watchesPerSecond = 3 * 3 * 4;
    CHECK(cluster.store.watchesAsked() - watchesBefore <= seconds * watchesPerSecond);
}

// Guards against watches that are asked without a pause because each is answered at once.
TEST_CASE("Store readings: watches that are answered at once without a change are asked again with growing pauses")
{
    GatewayCluster cluster(2, 1);
    REQUIRE(cluster.startServing());
    cluster.store.setWatchesHasty(true);
    cluster.store.discardHistory();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::size_t before = cluster.store.watchesAsked();
    constexpr int seconds = 4;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    // An instance has three watches.
    constexpr std::size_t watchesPerSecond = 2 * 3 * 4;
    CHECK(cluster.store.watchesAsked() - before <= seconds * watchesPerSecond);
    checkSound(cluster);
}

// Guards against what users reported: with pages of the published size, gateways that start beside a few large entries with such names are never ready.
TEST_CASE("Store readings: gateways of which the service refuses some while they start are ready, and stay so, beside large entries with names to be escaped")
{
    constexpr std::size_t gatewayCount = 7;
    constexpr std::size_t firstRefused = 4;
    GatewayCluster cluster(gatewayCount, 2);
    for (ChildProcess &gateway : cluster.gateways) {
        gateway.kill();
    }
    for (const std::string &name : escapedNames) {
        cluster.store.put("servers/" + name, std::string(megabyte, 'x'));
    }
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        cluster.setStoreRefusing(gateway, gateway >= firstRefused);
        cluster.startGateway(gateway);
    }
    REQUIRE(cluster.startServing());
    checkSound(cluster);
    for (std::size_t gateway = firstRefused; gateway < gatewayCount; ++gateway) {
        cluster.setStoreRefusing(gateway, false);
    }
    constexpr int rounds = 25;
    constexpr int odd = 8;
    constexpr int spentBudget = 20;
    for (int round = 0; round < rounds; ++round) {
        for (int index = 0; index < odd; ++index) {
            cluster.store.put("servers/h" + std::to_string(index), R"({"round":)" + std::to_string(round) + "}");
        }
        cluster.turn(static_cast<std::size_t>(round) % gatewayCount, "spent", spentBudget);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        CHECK(cluster.isReady(gateway));
    }
    checkSound(cluster);
}
