#include "decision/reachabilitytable.h"

#include <doctest/doctest.h>

#include <set>

using namespace oleandergate;

namespace {

using Change = ReachabilityTable::Change;

constexpr Time start{std::chrono::hours(1)};
constexpr std::chrono::milliseconds ms{1};

//! Records that a direct attempt failed and that another instance reached the endpoint.
Change cutOff(ReachabilityTable &table, const std::string &address, ReachOutcome outcome, Time now)
{
    table.onDirect(address, outcome, now);
    return table.onPeer(address, ReachOutcome::Connected, now + 5 * ms);
}

} // namespace

// Guards against taking an ended endpoint for a cut, and a cut for an ended endpoint: the own failure looks the same.
TEST_CASE("Reachability: an endpoint is cut off only once another instance reaches it while this one does not")
{
    ReachabilityTable table;
    CHECK(table.onDirect("e", ReachOutcome::Refused, start) == Change::None);
    CHECK_FALSE(table.isCutOff("e"));
    SUBCASE("another instance reaches it")
    {
        CHECK(table.onPeer("e", ReachOutcome::Connected, start + 5 * ms) == Change::CutOff);
        const PathPlan plan = table.planFor("e", start + 10 * ms);
        CHECK_FALSE(plan.direct);
        CHECK(plan.byPeer);
        CHECK(plan.peerDelay == Duration::zero());
    }
    SUBCASE("no other instance reaches it either")
    {
        CHECK(table.onPeer("e", ReachOutcome::Refused, start + 5 * ms) == Change::None);
        CHECK(table.isConfirmedDown("e", start + 100 * ms));
        CHECK_FALSE(table.planFor("e", start + 100 * ms).byPeer);
        CHECK(table.planFor("e", start + 100 * ms).direct);
        // It may come back, or the others may have been cut off as well: they are asked again.
        CHECK(table.planFor("e", start + 600 * ms).byPeer);
    }
    SUBCASE("another instance reaches it much later")
    {
        CHECK(table.onPeer("e", ReachOutcome::Connected, start + 10000 * ms) == Change::None);
    }
    SUBCASE("this instance reaches it in between")
    {
        table.onDirect("e", ReachOutcome::Connected, start + 2 * ms);
        CHECK(table.onPeer("e", ReachOutcome::Connected, start + 5 * ms) == Change::None);
    }
}

TEST_CASE("Reachability: a slow connection gets a head start, then another instance is asked")
{
    const ReachabilityTable table;
    const PathPlan plan = table.planFor("e", start);
    CHECK(plan.direct);
    CHECK(plan.byPeer);
    CHECK(plan.peerDelay > Duration::zero());
    CHECK(plan.peerDelay <= 150 * ms);
}

// Guards against callers waiting for connections that the instance has reason to take for dead.
TEST_CASE("Reachability: open connections are not used again once new ones hang, but are when new ones are refused")
{
    ReachabilityTable table;
    cutOff(table, "hangs", ReachOutcome::TimedOut, start);
    CHECK_FALSE(table.mayReuseDirect("hangs", start + 10 * ms));
    cutOff(table, "refuses", ReachOutcome::Refused, start);
    CHECK(table.mayReuseDirect("refuses", start + 10 * ms));
    table.onReceived("hangs", start + 20 * ms);
    CHECK(table.mayReuseDirect("hangs", start + 30 * ms));
}

TEST_CASE("Reachability: with two endpoints cut off and none reached, all are taken to be")
{
    ReachabilityTable table;
    table.onDirect("other", ReachOutcome::Connected, start - 1000 * ms);
    cutOff(table, "a", ReachOutcome::TimedOut, start);
    CHECK_FALSE(table.isIsolated());
    CHECK(table.takeSuspects(start + 10 * ms) == std::vector<std::string>{"other"});
    CHECK(table.takeSuspects(start + 20 * ms).empty());
    cutOff(table, "b", ReachOutcome::TimedOut, start + 10 * ms);
    CHECK(table.isIsolated());
    CHECK_FALSE(table.mayReuseDirect("other", start + 20 * ms));
    CHECK(table.planFor("never tried", start + 20 * ms).peerDelay == Duration::zero());
    // One that is reached proves that only a part is cut off.
    table.onDirect("other", ReachOutcome::Connected, start + 30 * ms);
    CHECK_FALSE(table.isIsolated());
    CHECK(table.isCutOff("a"));
}

// Guards against a link that comes back being flooded, and against one that comes and goes costing every caller a failed attempt.
TEST_CASE("Reachability: endpoints that are cut off are tried seldom and a few at a time, and relapses less often")
{
    ReachabilityTable table;
    constexpr int endpoints = 150;
    for (int index = 0; index < endpoints; ++index) {
        cutOff(table, "e" + std::to_string(index), ReachOutcome::TimedOut, start);
    }
    CHECK(table.takeDueProbes(start + 100 * ms).empty());
    std::set<std::string> tried;
    Duration took{};
    while (tried.size() < endpoints && took < 10000 * ms) {
        took += 50 * ms;
        const std::vector<std::string> due = table.takeDueProbes(start + 500 * ms + took);
        CHECK(due.size() <= 8);
        tried.insert(due.begin(), due.end());
    }
    CHECK(tried.size() > 0);
    ReachabilityTable flapping;
    Time now = start;
    Duration interval{};
    for (int round = 0; round < 5; ++round) {
        cutOff(flapping, "e", ReachOutcome::TimedOut, now);
        const Time cutAt = now;
        while (flapping.takeDueProbes(now).empty()) {
            now += 10 * ms;
        }
        CHECK(now - cutAt >= interval);
        interval = now - cutAt;
        CHECK(flapping.onDirect("e", ReachOutcome::Connected, now) == Change::Back);
        now += 10 * ms;
    }
    CHECK(interval >= 2000 * ms);
    CHECK(interval <= 5000 * ms);
}

TEST_CASE("Reachability: the return of one link makes an isolated instance try the others at once")
{
    ReachabilityTable table;
    cutOff(table, "a", ReachOutcome::TimedOut, start);
    cutOff(table, "b", ReachOutcome::TimedOut, start);
    CHECK(table.takeDueProbes(start + 600 * ms).size() == 2);
    table.onDirect("a", ReachOutcome::Connected, start + 610 * ms);
    CHECK(table.takeDueProbes(start + 620 * ms) == std::vector<std::string>{"b"});
}

// Guards against an instance that is cut off without knowing it telling others that an endpoint has ended.
TEST_CASE("Reachability: failures are trusted only by an instance that just reached another endpoint; bytes of open connections do not tell")
{
    ReachabilityTable table;
    CHECK_FALSE(table.reachesSome(start));
    CHECK(table.controlAddress("b", start).empty());
    table.onDirect("a", ReachOutcome::Connected, start);
    table.onDirect("b", ReachOutcome::Refused, start + 10 * ms);
    CHECK(table.reachesSome(start + 50 * ms));
    table.onReceived("a", start + 400 * ms);
    CHECK_FALSE(table.reachesSome(start + 500 * ms));
    CHECK(table.controlAddress("b", start + 500 * ms) == "a");
    CHECK(table.controlAddress("a", start + 500 * ms).empty());
    cutOff(table, "a", ReachOutcome::Refused, start + 600 * ms);
    CHECK(table.controlAddress("b", start + 700 * ms).empty());
}

// Guards against a connection for each call that waits long at an endpoint that works.
TEST_CASE("Reachability: an endpoint is checked for silence once a second, and only when nothing came from it")
{
    ReachabilityTable table;
    CHECK(table.takeDueCheck("e", start));
    CHECK_FALSE(table.takeDueCheck("e", start + 500 * ms));
    CHECK(table.takeDueCheck("e", start + 1000 * ms));
    table.onReceived("e", start + 1900 * ms);
    CHECK_FALSE(table.takeDueCheck("e", start + 2100 * ms));
}

TEST_CASE("Reachability: endpoints without news are forgotten")
{
    ReachabilityTable table;
    cutOff(table, "a", ReachOutcome::TimedOut, start);
    table.expire(start + 60000 * ms);
    CHECK(table.size() == 0);
    CHECK(table.cutOffAddresses().empty());
}
