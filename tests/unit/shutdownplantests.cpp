#include "decision/shutdownplan.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time began{std::chrono::seconds(100)};
constexpr Time balancerKnowsAt = began + std::chrono::seconds(3);
constexpr Time endsAt = began + std::chrono::milliseconds(7600);
constexpr Duration shortCall = std::chrono::seconds(1);

ShutdownPlan makePlan()
{
    return {balancerKnowsAt, endsAt};
}

} // namespace

// Guards against requests that are taken on late in a shutdown because a mean says that they end in time, and are cut off.
TEST_CASE("Shutdown: once the balancer knows, a request is sent only if its time limit ends before the process")
{
    const ShutdownPlan plan = makePlan();
    const Time now = began + std::chrono::milliseconds(6100);
    CHECK_FALSE(plan.admits(now, now + std::chrono::seconds(6), shortCall));
    CHECK_FALSE(plan.admits(now, endsAt + Duration(1), shortCall));
    CHECK(plan.admits(now, endsAt, shortCall));
    CHECK(plan.admits(now, now + std::chrono::seconds(1), shortCall));
}

TEST_CASE("Shutdown: before the balancer knows, a request is sent if nearly every call would end in time")
{
    const ShutdownPlan plan = makePlan();
    const Time now = balancerKnowsAt - std::chrono::milliseconds(1);
    CHECK(plan.admits(now, now + std::chrono::seconds(6), shortCall));
    CHECK_FALSE(plan.admits(balancerKnowsAt, balancerKnowsAt + std::chrono::seconds(6), shortCall));
    CHECK_FALSE(plan.admits(now, now + std::chrono::seconds(6), std::chrono::seconds(5)));
}

TEST_CASE("Shutdown: a short grace refuses what may outlast it from the start")
{
    const Time shortEnd = began + std::chrono::milliseconds(600);
    const ShutdownPlan plan(began + std::chrono::seconds(3), shortEnd);
    CHECK_FALSE(plan.admits(began, began + std::chrono::seconds(6), shortCall));
    CHECK(plan.admits(began, shortEnd, shortCall));
}

TEST_CASE("Shutdown: no time limit lasts beyond the end of the process")
{
    const ShutdownPlan plan = makePlan();
    CHECK(plan.limit(began + std::chrono::seconds(1)) == began + std::chrono::seconds(1));
    CHECK(plan.limit(began + std::chrono::seconds(60)) == endsAt);
}
