#include "decision/configversions.h"
#include "decision/posture.h"
#include "decision/retrybudget.h"
#include "decision/slottable.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

} // namespace

TEST_CASE("An outage is told from being cut off")
{
    ReachView view;
    view.leaseLength = std::chrono::seconds(3);
    view.leaseConfirmed = start;
    view.serviceReached = start;
    view.peerReachedService = start;
    view.peersKnown = 2;
    view.peersFresh = 2;
    CHECK(judgePosture(view, start + std::chrono::seconds(1)) == Posture::Normal);
    CHECK(judgePosture(view, start + std::chrono::milliseconds(2500)) == Posture::Isolated);
    CHECK(judgePosture(view, start + std::chrono::seconds(4)) == Posture::Outage);
    view.peerReachedService = start + std::chrono::seconds(3);
    CHECK(judgePosture(view, start + std::chrono::seconds(4)) == Posture::Isolated);
    view.peerReachedService = start;
    view.peersFresh = 0;
    CHECK(judgePosture(view, start + std::chrono::seconds(4)) == Posture::Isolated);
    view.peersFresh = 1;
    CHECK(judgePosture(view, start + std::chrono::seconds(4)) == Posture::PartialOutage);
    view.peersFresh = 0;
    view.peersKnown = 0;
    CHECK(judgePosture(view, start + std::chrono::seconds(4)) == Posture::PartialOutage);
}

TEST_CASE("An instance whose lease lapsed before the outage does not act as an owner in it")
{
    ReachView view;
    view.leaseLength = std::chrono::seconds(3);
    view.leaseConfirmed = start;
    view.serviceReached = start;
    view.peerReachedService = start + std::chrono::seconds(4);
    view.peersKnown = 2;
    view.peersFresh = 2;
    // A peer reached the service a second after the lease had run out, and may have claimed this instance's slots.
    CHECK(judgePosture(view, start + std::chrono::seconds(10)) == Posture::Isolated);
    view.peerReachedService = start + std::chrono::seconds(2);
    CHECK(judgePosture(view, start + std::chrono::seconds(10)) == Posture::Outage);
}

TEST_CASE("Each slot has one preferred owner whoever computes it, and few move when one comes or goes")
{
    constexpr SlotId slots = 256;
    SlotTable first("a", slots);
    SlotTable second("b", slots);
    for (const char *id : {"a", "b", "c", "d"}) {
        first.putInstance(InstanceRecord{id}, start);
    }
    for (const char *id : {"d", "x", "b", "a", "c"}) {
        second.putInstance(InstanceRecord{id}, start);
    }
    second.removeInstance("x");
    int moved = 0;
    for (SlotId slot = 0; slot < slots; ++slot) {
        CHECK(first.preferredOwner(slot) == second.preferredOwner(slot));
    }
    first.putInstance(InstanceRecord{"d", "", "", true}, start);
    for (SlotId slot = 0; slot < slots; ++slot) {
        moved += first.preferredOwner(slot) != second.preferredOwner(slot) ? 1 : 0;
        CHECK((first.preferredOwner(slot) == second.preferredOwner(slot) || second.preferredOwner(slot) == "d"));
    }
    CHECK(moved > 0);
    CHECK(moved < 128);
}

TEST_CASE("The loser of a race is told, and a lost answer is not taken for one")
{
    CHECK(judgeApply(ConfigStamp{3, "x"}, 3, "mine") == ApplyVerdict::Write);
    CHECK(judgeApply(ConfigStamp{4, "other"}, 3, "mine") == ApplyVerdict::Conflict);
    CHECK(judgeApply(ConfigStamp{4, "mine"}, 3, "mine") == ApplyVerdict::AlreadyApplied);
    CHECK(isNewerConfig(3, 4));
    CHECK_FALSE(isNewerConfig(4, 4));
    CHECK_FALSE(isNewerConfig(4, 3));
}

TEST_CASE("Retries stay a share of the traffic")
{
    RetryBudget budget(0.1, 2.0);
    Time now = start;
    int retries = 0;
    for (int call = 0; call < 1000; ++call) {
        budget.onCall(now);
        retries += budget.tryRetry(now) ? 1 : 0;
    }
    CHECK(retries <= 102);
    CHECK(retries >= 100);
}
