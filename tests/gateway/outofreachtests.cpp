//! Streams that begin at, and are taken up from, an instance that has lost touch with the store or with its changes, while the others have not.

#include "releasecluster.h"
#include "restartcluster.h"

#include <mutex>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

//! Until the other instances have noticed what an instance in trouble does not see, and have let it know what they tell each other.
constexpr std::chrono::milliseconds spreadTime(2500);

//! Until an instance that hears nothing of its peers has noticed, and what it has read is too old.
constexpr std::chrono::milliseconds silenceTime(3500);

std::string movedRoute(const std::string &service)
{
    return R"(,{"Name":"moved","Host":"h.example","PathPrefix":"/moved/","Kind":"streaming","TimeoutMs":1500,"TargetLatencyMs":250,"Priority":0,"Service":")"
        + service + R"(","MaxAttempts":1,"Resumable":true,"GapAimMs":200})";
}

//! Long enough to be noticed, and shorter than a peer's silence.
constexpr std::chrono::milliseconds pauseTime(800);

//! The timeout of the moved route and five seconds: an instance knows for so long what it has replaced itself.
constexpr std::chrono::milliseconds formerTargetsTime(7000);

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

// Guards against streams joined from two versions: requests had waited for an instance that stood still, and it served them before it learned what had changed.
TEST_CASE("Out of reach: streams that begin at an instance that stood still through a release go on at their versions or not at all")
{
    OutOfReachCluster cluster;
    cluster.releaseBeside([&cluster]() {
        cluster.setWatchesSilent(0, true);
        cluster.gateways[0].signal(SIGSTOP);
    });
    std::vector<std::jthread> callers = cluster.beginTogether(0);
    std::this_thread::sleep_for(roundInterval);
    cluster.gateways[0].signal(SIGCONT);
    callers.clear();
    CHECK(cluster.begun.size() == programCount);
    cluster.takeUpWhileFilling(1);
}

// The same for the services of a route that moved meanwhile.
TEST_CASE("Out of reach: streams that begin at an instance that stood still while their route moved go on at their service or not at all")
{
    RestartCluster cluster(movedRoute("engine"));
    cluster.setWatchesSilent(0, true);
    cluster.gateways[0].signal(SIGSTOP);
    cluster.configure(2, movedRoute("other"));
    for (const std::size_t gateway : {1, 2}) {
        cluster.awaitVersion(gateway, 2);
        cluster.awaitAssignment(gateway, "other");
    }
    std::this_thread::sleep_for(formerTargetsTime);
    cluster.store.endLeases("/before/");
    std::mutex mutex;
    std::vector<int> begun;
    std::vector<std::jthread> callers;
    callers.reserve(restartStreamCount);
    for (int number = 0; number < restartStreamCount; ++number) {
        callers.emplace_back([&cluster, &mutex, &begun, number]() {
            const std::string answer = cluster.send(0, number, "begun-" + std::to_string(number));
            const std::lock_guard lock(mutex);
            if (answer.starts_with("HTTP/1.1 200")) {
                begun.push_back(number);
            }
        });
    }
    std::this_thread::sleep_for(roundInterval);
    cluster.gateways[0].signal(SIGCONT);
    callers.clear();
    CHECK(begun.size() == restartStreamCount);
    for (const int number : begun) {
        const std::string first = "begun-" + std::to_string(number);
        const std::string id = "taken-up-" + std::to_string(number);
        const std::string answer = cluster.send(1, number, id, first);
        CAPTURE(answer);
        CHECK((answer.starts_with("HTTP/1.1 503") || cluster.firstEndpointOf(id).starts_with("other") == cluster.firstEndpointOf(first).starts_with("other")));
    }
}

// Guards against streams that are refused for the rest of an outage at an instance that stood still for a moment.
TEST_CASE("Out of reach: an instance that stood still in an outage of the store begins streams by what its peers know")
{
    OutOfReachCluster cluster;
    cluster.release();
    cluster.store.setRefusing(true);
    cluster.gateways[0].signal(SIGSTOP);
    std::this_thread::sleep_for(pauseTime);
    cluster.gateways[0].signal(SIGCONT);
    std::this_thread::sleep_for(spreadTime);
    CHECK(cluster.beginAll(0) == programCount);
    cluster.store.setRefusing(false);
    cluster.takeUpWhileFilling(1);
}
