#include "decision/budgetslots.h"

#include <doctest/doctest.h>

#include <random>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
const BudgetSlots::Limits limits{8, std::chrono::seconds(20), std::chrono::seconds(60), std::chrono::seconds(4), std::chrono::milliseconds(1500)};

InstanceRecord member(const std::string &id)
{
    return InstanceRecord{id, id + ":1", "a", false};
}

} // namespace

TEST_CASE("Slots without a record are claimed once the members are stable, each by exactly one of them")
{
    BudgetSlots first("a~1", limits);
    BudgetSlots second("b~1", limits);
    first.onMembers({member("a~1"), member("b~1")}, start);
    second.onMembers({member("a~1"), member("b~1")}, start);
    CHECK(first.plan(start + std::chrono::seconds(1)).empty());
    const Time later = start + limits.membershipSettleTime;
    CHECK(first.plan(later).size() + second.plan(later).size() == limits.slotCount);
}

// Guards against members that are forgotten or kept: only what has changed is taken over.
TEST_CASE("The successors and claims of slots follow from the members now, whichever came, left and restarted before")
{
    std::minstd_rand random(3);
    BudgetSlots slots("self~1", limits);
    Time now = start;
    for (int change = 0; change < 300; ++change) {
        now += std::chrono::seconds(2);
        std::vector<InstanceRecord> members{member("self~1")};
        for (int instance = 0; instance < 12; ++instance) {
            if (random() % 4 != 0) {
                members.push_back(member("i" + std::to_string(instance) + "~" + std::to_string(random() % 2)));
                members.back().leaving = random() % 5 == 0;
            }
        }
        slots.onMembers(members, now);
        BudgetSlots fresh("self~1", limits);
        fresh.onMembers(members, now);
        for (SlotId slot = 0; slot < limits.slotCount; ++slot) {
            REQUIRE(slots.successorOf(slot) == fresh.successorOf(slot));
        }
        const Time later = now + limits.membershipSettleTime;
        REQUIRE(slots.plan(now).empty());
        REQUIRE(slots.plan(later).size() == fresh.plan(later).size());
    }
}

TEST_CASE("An instance without live peers waits before it claims slots")
{
    BudgetSlots slots("a~1", limits);
    slots.onMembers({member("a~1")}, start);
    CHECK(slots.plan(start + limits.membershipSettleTime).empty());
    CHECK(slots.plan(start + limits.isolationDelay).size() == limits.slotCount);
}

TEST_CASE("A restarted instance claims its slots at once, and those of an owner that was never a member only later")
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

TEST_CASE("The first owner of a slot grants unrecorded shares at once, a later one only when no earlier program can return")
{
    BudgetSlots slots("a~1", limits);
    slots.onMembers({member("a~1"), member("b~1")}, start);
    slots.onRecordsRead(start);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    slots.onRecord(2, SlotRecord{"a~1", 2, 6}, start);
    CHECK(slots.mayGrantUnrecordedShare(1, true, start));
    CHECK_FALSE(slots.mayGrantUnrecordedShare(2, true, start));
    const Time later = start + limits.recordReadTimeout + limits.programRetention;
    slots.onRecordsRead(later);
    CHECK(slots.mayGrantUnrecordedShare(2, true, later));
}

// Guards against budgets that are granted a second time to programs which return within their route's retention.
TEST_CASE("A later owner waits as long as programs may return by the configuration in force")
{
    BudgetSlots slots("a~1", limits);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    slots.onRecord(2, SlotRecord{"a~1", 2, 6}, start);
    const Duration longer = 2 * limits.programRetention;
    const Time dueBefore = start + limits.recordReadTimeout + limits.programRetention;
    SUBCASE("raised while it waits")
    {
        slots.setProgramRetention(longer, dueBefore - Duration(1));
        CHECK(slots.unrecordedShareFrom(2) == start + limits.recordReadTimeout + longer);
        slots.onHandoverReceived(3, start + limits.recordReadTimeout + longer);
        slots.onRecord(3, SlotRecord{"a~1", 2, 7}, start);
        CHECK(slots.unrecordedShareFrom(3) == slots.unrecordedShareFrom(2));
    }
    SUBCASE("raised once it has waited: programs of the earlier owner have ended")
    {
        slots.setProgramRetention(longer, dueBefore);
        CHECK(slots.unrecordedShareFrom(2) <= dueBefore);
    }
    SUBCASE("lowered while it waits")
    {
        slots.setProgramRetention(limits.programRetention / 2, start + Duration(1));
        CHECK(slots.unrecordedShareFrom(2) == start + limits.recordReadTimeout + limits.programRetention / 2);
    }
    // The first owner has no earlier one to wait for.
    CHECK(slots.unrecordedShareFrom(1) <= start);
}

TEST_CASE("An owner that has not read the records for too long stops granting unrecorded shares while others reach the service")
{
    BudgetSlots slots("a~1", limits);
    slots.onRecordsRead(start);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5}, start);
    const Time later = start + limits.recordReadTimeout + Duration(1);
    CHECK_FALSE(slots.mayGrantUnrecordedShare(1, true, later));
    CHECK(slots.mayGrantUnrecordedShare(1, false, later));
}

TEST_CASE("An old record does not make an instance own a slot again that it released")
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

// Guards against presuming half of each budget spent because a slot changed owners before its first program.
TEST_CASE("An owner of an unused slot grants unrecorded shares at once, as soon as the slot is marked as used, whatever its epoch")
{
    BudgetSlots slots("a~1", limits);
    slots.onRecordsRead(start);
    slots.onRecord(1, SlotRecord{"a~1", 3, 5, true}, start);
    CHECK(slots.mustMarkUsed(1, true, start));
    CHECK_FALSE(slots.mayGrantUnrecordedShare(1, true, start));
    REQUIRE(slots.unusedSlots().size() == 1);
    slots.onRecord(1, SlotRecord{"a~1", 3, 6, false}, start);
    CHECK_FALSE(slots.mustMarkUsed(1, true, start));
    CHECK(slots.mayGrantUnrecordedShare(1, true, start));
    CHECK(slots.unusedSlots().empty());
}

// Guards against granting in a slot whose mark failed because another instance claimed the slot.
TEST_CASE("An instance whose slot was claimed by another before it was marked neither marks nor grants")
{
    BudgetSlots slots("a~1", limits);
    slots.onRecordsRead(start);
    slots.onRecord(1, SlotRecord{"a~1", 1, 5, true}, start);
    slots.onRecord(1, SlotRecord{"b~1", 2, 6, true}, start);
    CHECK_FALSE(slots.mustMarkUsed(1, true, start));
    CHECK_FALSE(slots.mayGrantUnrecordedShare(1, true, start));
    CHECK(slots.unusedSlots().empty());
}
