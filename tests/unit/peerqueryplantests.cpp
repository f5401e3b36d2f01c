#include "decision/peerqueryplan.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr PeerQueryPlan::Limits limits{std::chrono::milliseconds(20), std::chrono::milliseconds(100), 2, 4, std::chrono::milliseconds(200)};

std::vector<PeerOffer> offersOf(int count)
{
    std::vector<PeerOffer> offers;
    offers.reserve(static_cast<std::size_t>(count));
    for (int peer = 0; peer < count; ++peer) {
        offers.push_back(PeerOffer{"p" + std::to_string(peer), start + std::chrono::milliseconds(peer)});
    }
    return offers;
}

Time after(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST_CASE("Newer state that arrives by itself within the first delay causes no query")
{
    PeerQueryPlan plan(limits);
    CHECK(plan.next(offersOf(3), after(0)).queries.empty());
    CHECK(plan.behindFor(after(10)) == std::chrono::milliseconds(10));
    CHECK(plan.next({}, after(20)).queries.empty());
    CHECK_FALSE(plan.behindFor(after(20)));
    CHECK(plan.next(offersOf(3), after(30)).queries.empty());
}

TEST_CASE("Peers whose reports arrived last are queried first")
{
    PeerQueryPlan plan(limits);
    plan.next(offersOf(5), after(0));
    CHECK(plan.next(offersOf(5), after(20)).queries == std::vector<std::string>{"p4", "p3"});
    CHECK(plan.next(offersOf(5), after(60)).queries.empty());
    CHECK(plan.next(offersOf(5), after(120)).queries == std::vector<std::string>{"p2", "p1"});
}

TEST_CASE("A limited number of queries is under way, and a peer gets one at a time")
{
    PeerQueryPlan plan(limits);
    plan.next(offersOf(9), after(0));
    plan.next(offersOf(9), after(20));
    plan.next(offersOf(9), after(120));
    CHECK(plan.next(offersOf(9), after(220)).queries.empty());
    plan.onQueryEnded("p7");
    CHECK(plan.next(offersOf(9), after(320)).queries == std::vector<std::string>{"p4"});
}

TEST_CASE("Peers are queried again after all of them were")
{
    PeerQueryPlan plan(limits);
    plan.next(offersOf(2), after(0));
    CHECK(plan.next(offersOf(2), after(20)).queries.size() == 2);
    CHECK(plan.next(offersOf(2), after(120)).queries.empty());
    plan.onQueryEnded("p0");
    CHECK(plan.next(offersOf(2), after(220)).queries == std::vector<std::string>{"p0"});
}

TEST_CASE("The key-value service is read after the read delay, and again at that interval")
{
    PeerQueryPlan plan(limits);
    CHECK_FALSE(plan.next(offersOf(1), after(0)).readService);
    CHECK_FALSE(plan.next(offersOf(1), after(190)).readService);
    CHECK(plan.next(offersOf(1), after(200)).readService);
    CHECK_FALSE(plan.next(offersOf(1), after(300)).readService);
    CHECK(plan.next(offersOf(1), after(400)).readService);
}
