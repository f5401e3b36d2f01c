#include "decision/configversions.h"
#include "decision/operatingmode.h"
#include "decision/retrybudget.h"
#include "decision/slottable.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

} // namespace

TEST_CASE("An outage of the key-value service is distinguished from a network partition")
{
    Connectivity connectivity;
    connectivity.leaseLength = std::chrono::seconds(3);
    connectivity.leaseConfirmed = start;
    connectivity.lastServiceContact = start;
    connectivity.lastPeerServiceContact = start;
    connectivity.knownPeers = 2;
    connectivity.livePeers = 2;
    CHECK(determineMode(connectivity, start + std::chrono::seconds(1)) == OperatingMode::Normal);
    CHECK(determineMode(connectivity, start + std::chrono::milliseconds(2500)) == OperatingMode::Isolated);
    CHECK(determineMode(connectivity, start + std::chrono::seconds(4)) == OperatingMode::Outage);
    connectivity.lastPeerServiceContact = start + std::chrono::seconds(3);
    CHECK(determineMode(connectivity, start + std::chrono::seconds(4)) == OperatingMode::Isolated);
    connectivity.lastPeerServiceContact = start;
    connectivity.livePeers = 0;
    CHECK(determineMode(connectivity, start + std::chrono::seconds(4)) == OperatingMode::Isolated);
    connectivity.livePeers = 1;
    CHECK(determineMode(connectivity, start + std::chrono::seconds(4)) == OperatingMode::PartialOutage);
    connectivity.livePeers = 0;
    connectivity.knownPeers = 0;
    CHECK(determineMode(connectivity, start + std::chrono::seconds(4)) == OperatingMode::PartialOutage);
}

TEST_CASE("An instance whose lease expired before the outage does not act as an owner during the outage")
{
    Connectivity connectivity;
    connectivity.leaseLength = std::chrono::seconds(3);
    connectivity.leaseConfirmed = start;
    connectivity.lastServiceContact = start;
    connectivity.lastPeerServiceContact = start + std::chrono::seconds(4);
    connectivity.knownPeers = 2;
    connectivity.livePeers = 2;
    // A peer reached the service a second after the lease had expired, and may have claimed this instance's slots.
    CHECK(determineMode(connectivity, start + std::chrono::seconds(10)) == OperatingMode::Isolated);
    connectivity.lastPeerServiceContact = start + std::chrono::seconds(2);
    CHECK(determineMode(connectivity, start + std::chrono::seconds(10)) == OperatingMode::Outage);
}

TEST_CASE("All instances compute the same preferred owner of a slot, and few slots move when an instance joins or leaves")
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

TEST_CASE("A concurrent change is a conflict, but a change whose own answer was lost counts as applied")
{
    CHECK(decideApply(ConfigStamp{3, "x"}, 3, "mine") == ApplyDecision::Write);
    CHECK(decideApply(ConfigStamp{4, "other"}, 3, "mine") == ApplyDecision::Conflict);
    CHECK(decideApply(ConfigStamp{4, "mine"}, 3, "mine") == ApplyDecision::AlreadyApplied);
    CHECK(isNewerConfig(3, 4));
    CHECK_FALSE(isNewerConfig(4, 4));
    CHECK_FALSE(isNewerConfig(4, 3));
}

TEST_CASE("Retries are limited to a share of the calls")
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
