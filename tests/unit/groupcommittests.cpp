#include "decision/groupcommit.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

CommitAction makeAction(CommitId commitId, SlotId slot)
{
    return CommitAction{commitId, slot, {BudgetDrawn{"p", 1}}};
}

} // namespace

TEST_CASE("Entries of several calls share one batch, and one batch is in flight at a time")
{
    GroupCommit journal("w");
    journal.openSlot(1, 5, 1);
    journal.openSlot(2, 6, 9);
    CHECK(journal.add(makeAction(1, 1)));
    CHECK(journal.add(makeAction(2, 2)));
    CHECK(journal.add(makeAction(3, 1)));
    CHECK_FALSE(journal.add(makeAction(4, 3)));
    const auto batch = journal.nextBatch();
    REQUIRE(batch);
    CHECK(batch->records.size() == 2);
    CHECK(batch->records[0].entries.size() == 2);
    CHECK(batch->records[1].number == 9);
    CHECK_FALSE(journal.nextBatch());
    const BatchResolution resolution = journal.onResult(BatchResult{BatchResult::Kind::Applied});
    CHECK(resolution.committed == std::vector<CommitId>{1, 2, 3});
    CHECK(journal.nextNumberOf(2) == 10);
}

TEST_CASE("A batch whose reply was lost is written again unchanged and counts as committed when its record is found")
{
    GroupCommit journal("w");
    journal.openSlot(1, 5, 1);
    journal.add(makeAction(1, 1));
    const auto first = journal.nextBatch();
    CHECK(journal.onResult(BatchResult{BatchResult::Kind::Unknown}).retry);
    journal.add(makeAction(2, 1));
    const auto second = journal.nextBatch();
    REQUIRE(second);
    CHECK(second->identity == first->identity);
    CHECK(second->records[0].entries.size() == 1);
    BatchResult found{BatchResult::Kind::Rejected, {{1, {5, first->identity}}}};
    CHECK(journal.onResult(found).committed == std::vector<CommitId>{1});
    CHECK(journal.nextBatch()->records[0].number == 2);
}

TEST_CASE("A slot with a new owner is closed and the rest of the batch is written again")
{
    GroupCommit journal("w");
    journal.openSlot(1, 5, 1);
    journal.openSlot(2, 6, 1);
    journal.add(makeAction(1, 1));
    journal.add(makeAction(2, 2));
    journal.nextBatch();
    BatchResult rejected{BatchResult::Kind::Rejected, {{1, {7, ""}}, {2, {6, ""}}}};
    const BatchResolution resolution = journal.onResult(rejected);
    CHECK(resolution.lostSlots == std::vector<SlotId>{1});
    CHECK(resolution.lost == std::vector<CommitId>{1});
    CHECK_FALSE(journal.isOpen(1));
    const auto again = journal.nextBatch();
    REQUIRE(again);
    CHECK(again->records.size() == 1);
    CHECK(again->records[0].slot == 2);
}
