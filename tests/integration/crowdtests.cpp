//! Crowds of clients that keep to no limit, at each port of an entry instance. What counts is memory of the process together with the bytes that have arrived
//! for it and that it has not read, and descriptors of all kinds together.

#include "support/crowd.h"
#include "support/processmemory.h"
#include "support/processusage.h"
#include "testprogram.h"

#include <doctest/doctest.h>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr std::size_t allowedBytes = 64 * bytesPerKilobyte * bytesPerKilobyte;
constexpr std::size_t allowedDescriptors = 256;
constexpr std::size_t bodyLimit = 512 * bytesPerKilobyte;
constexpr int waitTimeoutMs = 20000;

ClusterOptions limitedInstance()
{
    ClusterOptions options;
    options.instances = 1;
    options.extraSettings = "[limits]\nbody_kb = 512\ncaller_timeout_ms = 8000\nmemory_mb = 64\ndescriptors = 256\n";
    return options;
}

//! An entry instance with lowered limits.
struct LimitedCluster : TestCluster
{
    LimitedCluster()
        : TestCluster(limitedInstance())
    {
        REQUIRE(this->waitReady());
    }

    //! Returns whether a caller and an operator are served.
    bool isServed()
    {
        this->programs += 1;
        const auto health = this->send(this->adminAddresses[0], "GET", "/healthz");
        return createProgram(*this, 0, "ordinary" + std::to_string(this->programs)) == 201 && health && health->status == 200;
    }

    int programs = 0;
};

CrowdPlan bodiesShortOfAByte(const std::string &target)
{
    const auto head = [target](std::size_t /*client*/) {
        return target + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + std::to_string(bodyLimit) + "\r\n\r\n";
    };
    return {300, head, std::string(bodyLimit - 1, 'x')};
}

CrowdPlan unfinishedFirstLines()
{
    return {400, {}, "POST /v1/ch"};
}

//! Runs the crowd and checks the instance's memory and descriptors, meanwhile and behind it. With \p whileOpen the instance has to serve in front of the
//! crowd's end, too.
void checkSurvives(LimitedCluster &cluster, const std::string &address, const CrowdPlan &plan, bool whileOpen = false)
{
    const pid_t process = cluster.instances[0].id();
    {
        const UsageWatch watch(process);
        Crowd crowd(address, plan);
        crowd.runUntilStill();
        if (whileOpen) {
            CHECK(cluster.isServed());
        }
        constexpr std::size_t bytesPerMegabyte = bytesPerKilobyte * bytesPerKilobyte;
        MESSAGE("counted: " << watch.highestCountedBytes() / bytesPerMegabyte << " MB, of it unread " << watch.highestUnreadBytes() / bytesPerMegabyte
                            << " MB at most; own peak " << peakMemoryOf(process) / bytesPerMegabyte << " MB; " << watch.mostDescriptors() << " descriptors; "
                            << crowd.openCount() << " clients open");
        CHECK(watch.highestCountedBytes() > 0);
        CHECK(watch.highestCountedBytes() <= allowedBytes);
        CHECK(watch.mostDescriptors() <= allowedDescriptors);
    }
    // Zero for a process that has ended.
    CHECK(peakMemoryOf(process) > 0);
    CHECK(peakMemoryOf(process) <= allowedBytes);
    CHECK(waitFor(
        [&cluster]() {
            return cluster.isServed();
        },
        waitTimeoutMs));
}

} // namespace

TEST_CASE("Crowds: bodies at an entry instance's port for callers: legal bodies that never end")
{
    LimitedCluster cluster;
    checkSurvives(cluster, cluster.callerAddresses[0], bodiesShortOfAByte("POST /v1/chat/completions"));
}

TEST_CASE("Crowds: bodies at an entry instance's port for operators: legal bodies that never end")
{
    LimitedCluster cluster;
    checkSurvives(cluster, cluster.adminAddresses[0], bodiesShortOfAByte("PUT /admin/config"));
}

TEST_CASE("Crowds: descriptors of an entry instance: clients that stop inside the first line, while others are served")
{
    LimitedCluster cluster;
    for (const std::string &address : {cluster.callerAddresses[0], cluster.adminAddresses[0]}) {
        CAPTURE(address);
        checkSurvives(cluster, address, unfinishedFirstLines(), true);
    }
    checkSurvives(cluster, cluster.peerAddresses[0], unfinishedFirstLines());
}
