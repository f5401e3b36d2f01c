#include "decision/budgetslots.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
const BudgetSlots::Limits limits{8, std::chrono::seconds(20), std::chrono::seconds(60), std::chrono::seconds(4), std::chrono::milliseconds(1500)};

InstanceRecord member(const std::string &id)
{
    return InstanceRecord{id, id + ":1", "a", false};
}

} // namespace

TEST_CASE("Slots that nobody owned are claimed once the members have settled, and each by one of them")
{
    BudgetSlots first("a~1", limits);
    BudgetSlots second("b~1", limits);
    first.onMembers({member("a~1"), member("b~1")}, start);
    second.onMembers({member("a~1"), member("b~1")}, start);
    CHECK(first.plan(start + std::chrono::seconds(1)).empty());
    const Time later = start + limits.membershipSettleTime;
    CHECK(first.plan(later).size() + second.plan(later).size() == limits.slotCount);
}

TEST_CASE("An instance that hears nobody waits before it claims")
{
    BudgetSlots slots("a~1", limits);
    slots.onMembers({member("a~1")}, start);
    CHECK(slots.plan(start + limits.membershipSettleTime).empty());
    CHECK(slots.plan(start + limits.isolationDelay).size() == limits.slotCount);
}

TEST_CASE("A restarted instance's slots are claimed at once, those of an owner never heard only later")
{
    BudgetSlots slots("a~2", limits);
    for (SlotId slot = 0; slot < limits.slotCount; ++slot) {
        slots.onRecord(slot, SlotRecord{slot % 2 == 0 ? "a~1" : "unheard~1", 1, slot + 1}, start);
    }
    slots.onMembers({member("a~2"), member("b~1")}, start);
    std::size_t own = 0;
    for (const SlotMove &move : slots.plan(start)) {
        CHECK(move.expected.owner == "a~1");
        own += 1;
    }
    const std::size_t all = slots.plan(start + limits.isolationDelay).size();
    CHECK(all > own);
}

TEST_CASE("The first keeper gives out free shares at once, one after a takeover only when no earlier program can return")
{
    BudgetSlots slots("a~1", limits);
    slots.onMembers({member("a~1"), member("b~1")}, start);
    slots.onConfirmed(start);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    slots.onRecord(2, SlotRecord{"a~1", 2, 6}, start);
    CHECK(slots.mayGrantUnrecordedShare(1, true, start));
    CHECK_FALSE(slots.mayGrantUnrecordedShare(2, true, start));
    const Time later = start + limits.confirmationTimeout + limits.programRetention;
    slots.onConfirmed(later);
    CHECK(slots.mayGrantUnrecordedShare(2, true, later));
}

TEST_CASE("A keeper that has not read its records for long stops giving out free shares while others read them")
{
    BudgetSlots slots("a~1", limits);
    slots.onConfirmed(start);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    const Time later = start + limits.confirmationTimeout + Duration(1);
    CHECK_FALSE(slots.mayGrantUnrecordedShare(1, true, later));
    CHECK(slots.mayGrantUnrecordedShare(1, false, later));
}

TEST_CASE("What was given away is not kept again by an old record")
{
    BudgetSlots slots("a~1", limits);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    slots.onReleased(1);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    CHECK_FALSE(slots.ownsSlot(1));
    slots.onRecord(1, SlotRecord{"b~1", 2, 6}, start);
    slots.onRecord(1, SlotRecord{"a~1", 3, 7}, start);
    CHECK(slots.ownsSlot(1));
}
