//! Streams that are taken up at instances which are cut off from the others while endpoints of a new software version join.

#include "releasecluster.h"

#include <map>
#include <set>
#include <string>
#include <utility>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr std::size_t gatewayCount = 4;

//! Until an instance has noticed that it hears nothing of the others.
constexpr std::chrono::milliseconds silenceTime(1800);

//! Buckets move again no sooner than a second behind their first assignment.
constexpr std::chrono::milliseconds moveInterval(1200);

struct PeerCutCluster : ReleaseCluster
{
    PeerCutCluster()
        : ReleaseCluster(gatewayCount)
    {
        std::this_thread::sleep_for(moveInterval);
    }

    //! Waits until \p gateway knows the endpoint of v2, from the store or a peer: before, it can place no stream of that version.
    void awaitEndpoint(std::size_t gateway) const
    {
        REQUIRE(waitFor(
            [this, gateway]() {
                const std::string log = this->log(gateway);
                return log.find(R"("count":"2")") != std::string::npos || log.find(R"("message":"announced","endpoint":"i-1")") != std::string::npos;
            },
            logTimeoutMs));
    }

    //! Half of the buckets move to the endpoint of v2 while the links of \p odd to the others are cut, and streams begin at another gateway.
    void releaseBeside(const std::set<std::size_t> &odd, PeerCut cut, StoreContact contact)
    {
        this->cutOff(odd, cut, contact);
        this->registerEndpoint(1);
        REQUIRE(this->logHas(1, R"("buckets":"v1:64,v2:64")"));
        this->beginTogether(1).clear();
        REQUIRE(this->begun.size() == programCount);
    }
};

} // namespace

// Guards against streams joined from two versions: an instance without the others and without the store's changes trusted the only version that it knew.
TEST_CASE("Cut from peers: an instance takes streams up at their versions or not at all right behind the cut")
{
    PeerCutCluster cluster;
    SUBCASE("the store refuses it")
    {
        cluster.releaseBeside({0}, PeerCut::Both, StoreContact::Refused);
    }
    SUBCASE("its watches are silent")
    {
        cluster.releaseBeside({0}, PeerCut::Both, StoreContact::Silent);
    }
    SUBCASE("it hears nothing and is heard, and the store refuses it")
    {
        cluster.releaseBeside({0}, PeerCut::Incoming, StoreContact::Refused);
    }
    cluster.takeUpTogether(0, true);
    cluster.takeUpTogether(0, false);
    cluster.takeUpWhileFilling(0);
}

// The same for two that are cut off together, and hear each other for as long as the cut lasts.
TEST_CASE("Cut from peers: instances that are cut off together take streams up at their versions or not at all")
{
    PeerCutCluster cluster;
    SUBCASE("the store refuses them")
    {
        cluster.releaseBeside({0, 3}, PeerCut::Both, StoreContact::Refused);
    }
    SUBCASE("their watches are silent")
    {
        cluster.releaseBeside({0, 3}, PeerCut::Both, StoreContact::Silent);
    }
    cluster.takeUpWhileFilling(0);
    std::this_thread::sleep_for(silenceTime);
    cluster.takeUpWhileFilling(3);
}

// Guards against refusing what can be told: the store, or the peer that began the streams, is reached.
TEST_CASE("Cut from peers: an instance that reaches the store or the peer that began a stream takes it up")
{
    PeerCutCluster cluster;
    SUBCASE("it is cut off from its peers alone")
    {
        cluster.releaseBeside({0}, PeerCut::Both, StoreContact::Whole);
    }
    SUBCASE("its watches are silent")
    {
        cluster.releaseBeside({0}, PeerCut::None, StoreContact::Silent);
    }
    SUBCASE("the store refuses it")
    {
        cluster.releaseBeside({0}, PeerCut::None, StoreContact::Refused);
    }
    cluster.awaitEndpoint(0);
    CHECK(cluster.takeUpAll(0, true) == programCount);
    CHECK(cluster.takeUpAll(0, false) == programCount);
}

// Guards against streams joined from two versions: an instance that had begun attempts of a request at both answered as one that knows none, and the word of
// another, which knew the first of them, was taken.
TEST_CASE("Cut from peers: a stream whose caller does not name its attempt is refused when a peer began attempts of it at two versions")
{
    PeerCutCluster cluster;
    cluster.beginAll(2);
    cluster.beginAll(1);
    cluster.release();
    const std::map<std::string, std::string> beforeRelease = std::exchange(cluster.begun, {});
    cluster.beginAll(1);
    cluster.setStoreRefusing(0, true);
    std::size_t moved = 0;
    for (const auto &each : cluster.begun) {
        moved += cluster.servedBy(each.second) != cluster.servedBy(beforeRelease.at(each.first)) ? 1 : 0;
    }
    REQUIRE(moved > 0);
    REQUIRE(moved < programCount);
    CHECK(cluster.takeUpAll(0, false) == programCount - moved);
    CHECK(cluster.takeUpAll(0, true) == programCount);
}
