//! Streams that begin at, and are taken up from, an instance that has lost touch with the store or with its changes, while the others have not.

#include "releasecluster.h"

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

//! Until the other instances have noticed what an instance in trouble does not see, and have let it know what they tell each other.
constexpr std::chrono::milliseconds spreadTime(2500);

//! Until an instance that hears nothing of its peers has noticed, and what it has read is too old.
constexpr std::chrono::milliseconds silenceTime(3500);

struct OutOfReachCluster : ReleaseCluster
{
    //! Half of the buckets move while the store is in trouble for the first gateway only, which \p begin brings about. Streams from before the release are
    //! over.
    template <typename Begin>
    void releaseBeside(const Begin &begin)
    {
        begin();
        this->registerEndpoint(1);
        for (const std::size_t gateway : {1, 2}) {
            REQUIRE(this->logHas(gateway, R"("buckets":"v1:64,v2:64")"));
        }
        std::this_thread::sleep_for(spreadTime);
        this->store.endLeases("/before/");
        std::this_thread::sleep_for(roundInterval);
    }
};

} // namespace

// Guards against streams joined from two versions: an instance that the store refuses goes on beginning streams by the assignment that it read before, long
// after the others have ceased to reckon with that.
TEST_CASE("Out of reach: streams that begin at an instance that the store refuses go on at their versions or not at all")
{
    OutOfReachCluster cluster;
    cluster.releaseBeside([&cluster]() {
        cluster.setStoreRefusing(0, true);
    });
    cluster.beginAll(0);
    SUBCASE("it runs")
    {
    }
    SUBCASE("it has ended")
    {
        cluster.end(0);
    }
    CHECK(cluster.begun.size() == programCount);
    cluster.takeUpWhileFilling(1);
    cluster.takeUpWhileFilling(2);
}

// The same where the store answers the instance and reports nothing to it.
TEST_CASE("Out of reach: streams that begin at an instance whose watches are silent go on at their versions or not at all")
{
    OutOfReachCluster cluster;
    cluster.releaseBeside([&cluster]() {
        cluster.setWatchesSilent(0, true);
    });
    CHECK(cluster.beginAll(0) == programCount);
    cluster.takeUpWhileFilling(1);
    cluster.takeUpWhileFilling(2);
}

// Guards against streams joined from two versions at the instance that the store refuses.
TEST_CASE("Out of reach: an instance that the store refuses takes streams up at their versions or not at all")
{
    OutOfReachCluster cluster;
    cluster.releaseBeside([&cluster]() {
        cluster.setStoreRefusing(0, true);
    });
    CHECK(cluster.beginAll(1) == programCount);
    cluster.takeUpWhileFilling(0);
    cluster.end(1);
    cluster.takeUpWhileFilling(0);
}

// Guards against the same at an instance that hears of no change at all, from the store or its peers: it cannot know for how long the others have not reckoned
// with its assignments.
TEST_CASE("Out of reach: an instance that hears neither of the store nor of its peers begins no stream that may be resumed")
{
    OutOfReachCluster cluster;
    for (const std::size_t gateway : {1, 2}) {
        cluster.gateways[gateway].signal(SIGSTOP);
    }
    SUBCASE("the store refuses it")
    {
        cluster.setStoreRefusing(0, true);
        std::this_thread::sleep_for(silenceTime);
        CHECK(cluster.beginAll(0) == 0);
        CHECK(cluster.receivedCount() == 0);
    }
    SUBCASE("the store answers it")
    {
        std::this_thread::sleep_for(silenceTime);
        CHECK(cluster.beginAll(0) == programCount);
    }
    for (const std::size_t gateway : {1, 2}) {
        cluster.gateways[gateway].signal(SIGCONT);
    }
    cluster.setStoreRefusing(0, false);
    CHECK(waitFor(
        [&cluster]() {
            return cluster.beginAll(0) == programCount;
        },
        GatewayCluster::logTimeoutMs));
}
