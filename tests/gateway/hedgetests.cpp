//! Gateway processes that send requests which may be repeated a second time while the first endpoint is slow.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <map>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int knownAnswers = 60; //!< More than a gateway has to know of a service before it sends anything again.

//! Returns at how many endpoints each request arrived whose target is \p target.
std::map<std::string, int> arrivals(const GatewayCluster &cluster, const std::string &target)
{
    std::map<std::string, int> counts;
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        for (const ReceivedRequest &received : endpoint->received()) {
            if (received.request.target == target) {
                counts[received.request.header("Oleandergate-Request-Id")] += 1;
            }
        }
    }
    return counts;
}

//! Starts a gateway with \p share before two endpoints, of which the first one answers no more once it knows how long answers take.
void startBesideSilentEndpoint(GatewayCluster &cluster, double share)
{
    cluster.setHedgeShare(0, share);
    REQUIRE(cluster.startServing());
    for (int call = 0; call < knownAnswers; ++call) {
        REQUIRE(cluster.call(0, "GET", "/reads/known")->status == 200);
    }
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(100, Behaviour::Slow));
}

} // namespace

TEST_CASE("Hedges: a read whose endpoint is silent is answered by another one, and the first send is given up at once")
{
    GatewayCluster cluster(1, 2);
    startBesideSilentEndpoint(cluster, 0.5);
    const std::size_t abandonedBefore = cluster.endpoints[0]->abandonedCount();
    const std::size_t receivedBefore = cluster.endpoints[0]->receivedCount();
    // Which of two idle endpoints has the next call is not laid down; one may have many in a row.
    for (int call = 0; call < 6 || (call < knownAnswers && cluster.endpoints[0]->receivedCount() == receivedBefore); ++call) {
        const std::optional<HttpResponse> answer = cluster.call(0, "GET", "/reads/slow");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body == "right");
    }
    int twice = 0;
    for (const auto &[request, count] : arrivals(cluster, "/reads/slow")) {
        CHECK(count <= 2);
        twice += count == 2 ? 1 : 0;
    }
    CHECK(twice > 0);
    CHECK(waitFor(
        [&]() {
            return cluster.endpoints[0]->abandonedCount() == abandonedBefore + static_cast<std::size_t>(twice);
        },
        GatewayCluster::logTimeoutMs));
    // Orders run at most once.
    CHECK(cluster.endpoints[1]->receivedCount() > 0);
}

// Guards against further work that no operator asked for.
TEST_CASE("Hedges: without a share, and for requests that run at most once, nothing is sent a second time")
{
    for (const double share : {0.0, 0.5}) {
        CAPTURE(share);
        GatewayCluster cluster(1, 2);
        startBesideSilentEndpoint(cluster, share);
        cluster.endpoints[0]->release();
        const std::string target = share > 0.0 ? "/orders/1" : "/reads/1";
        for (int call = 0; call < 10; ++call) {
            CHECK(cluster.call(0, share > 0.0 ? "POST" : "GET", target)->status == 200);
        }
        for (const auto &[request, count] : arrivals(cluster, target)) {
            CHECK(count == 1);
        }
    }
}

TEST_CASE("Hedges: a share that is no number from 0 to 1 is refused at the start")
{
    GatewayCluster cluster(1, 1);
    cluster.setHedgeShare(0, 1.5);
    CHECK(cluster.logHas(0, "--hedge-share is '1.500000', and has to be a number from 0 to 1"));
    CHECK_FALSE(cluster.isReady(0));
}
