#include "decision/tokenledger.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

const TurnRequest turn{"p", 2900, 290};

//! Reserves \p request and records blocks as long as the ledger needs them. Only this test writes the record.
bool reserveWithDraws(TokenLedger &ledger, const TurnRequest &request, bool mayGrantUnrecordedShare, std::uint64_t &revision)
{
    LedgerAnswer answer = ledger.reserve(request, mayGrantUnrecordedShare, start);
    while (answer == LedgerAnswer::NeedsBlock) {
        const std::optional<BlockDraw> draw = ledger.planDraw(request);
        REQUIRE(draw);
        CHECK(draw->expectedRevision == revision);
        revision += 1;
        ledger.onRecorded(request, *draw, revision);
        answer = ledger.reserve(request, mayGrantUnrecordedShare, start);
    }
    return answer == LedgerAnswer::Granted;
}

} // namespace

TEST_CASE("A program within its unrecorded share needs no record")
{
    TokenLedger ledger;
    for (int granted = 0; granted < 5; ++granted) {
        CHECK(ledger.reserve(turn, true, start) == LedgerAnswer::Granted);
    }
    CHECK(ledger.reserve(turn, true, start) == LedgerAnswer::NeedsBlock);
}

TEST_CASE("Tokens that a turn did not use are available to later turns")
{
    TokenLedger ledger;
    // Each turn uses 90 tokens of the unrecorded share's 1450, and the last one still has to reserve 290.
    for (int granted = 0; granted < 13; ++granted) {
        REQUIRE(ledger.reserve(turn, true, start) == LedgerAnswer::Granted);
        ledger.credit("p", 200);
    }
    CHECK(ledger.reserve(turn, true, start) == LedgerAnswer::NeedsBlock);
}

TEST_CASE("A ledger that counted all turns of a program grants exactly the budget")
{
    TokenLedger ledger;
    std::uint64_t revision = 0;
    Tokens grantedTokens = 0;
    while (reserveWithDraws(ledger, turn, true, revision)) {
        grantedTokens += turn.turnTokens;
        REQUIRE(grantedTokens <= turn.budget);
    }
    CHECK(grantedTokens == turn.budget);
    CHECK(revision == 1);
}

TEST_CASE("A budget of a single turn is granted without a record, and once more after the owner was lost")
{
    const TurnRequest single{"p", 290, 290};
    TokenLedger owner;
    CHECK(owner.reserve(single, true, start) == LedgerAnswer::Granted);
    CHECK(owner.reserve(single, true, start) == LedgerAnswer::Exhausted);
    TokenLedger successor;
    std::uint64_t revision = 0;
    CHECK(reserveWithDraws(successor, single, false, revision));
    CHECK_FALSE(reserveWithDraws(successor, single, false, revision));
}

TEST_CASE("Without the unrecorded share at most the recorded share plus one turn is granted")
{
    TokenLedger ledger;
    std::uint64_t revision = 0;
    Tokens grantedTokens = 0;
    while (reserveWithDraws(ledger, turn, false, revision)) {
        grantedTokens += turn.turnTokens;
    }
    CHECK(grantedTokens <= turn.budget - unrecordedShareOf(turn) + turn.turnTokens);
    CHECK(grantedTokens >= turn.budget - unrecordedShareOf(turn));
}

TEST_CASE("A record that another instance wrote reduces what can be drawn")
{
    TokenLedger ledger;
    REQUIRE(ledger.reserve(turn, false, start) == LedgerAnswer::NeedsBlock);
    ledger.onRecordRead("p", 1740, 7, start);
    CHECK_FALSE(ledger.planDraw(turn));
    CHECK(ledger.reserve(turn, false, start) == LedgerAnswer::Exhausted);
    SUBCASE("and an older reading of it is ignored")
    {
        ledger.onRecordRead("p", 0, 3, start);
        CHECK_FALSE(ledger.planDraw(turn));
    }
}

TEST_CASE("Entries that are handed over are removed from one ledger and counted by the other")
{
    TokenLedger from;
    TokenLedger to;
    REQUIRE(from.reserve(turn, true, start) == LedgerAnswer::Granted);
    const std::vector<LedgerEntry> taken = from.take([](const ProgramId &) {
        return true;
    });
    CHECK(from.size() == 0);
    to.put(taken, start);
    for (int granted = 0; granted < 4; ++granted) {
        CHECK(to.reserve(turn, false, start) == LedgerAnswer::Granted);
    }
    CHECK(to.reserve(turn, false, start) == LedgerAnswer::NeedsBlock);
    CHECK(to.planDraw(turn)->recorded == 1450);
}

TEST_CASE("Programs without a recent turn are removed")
{
    TokenLedger ledger;
    ledger.reserve(turn, true, start);
    ledger.forgetIdle(start);
    CHECK(ledger.size() == 1);
    ledger.forgetIdle(start + Duration(1));
    CHECK(ledger.size() == 0);
}

// Guards against a refusal while reserved tokens may still come back, and against a wait for tokens that could not cover the turn.
TEST_CASE("A turn waits for the settlement of others only if their tokens could cover it")
{
    TokenLedger ledger;
    std::uint64_t revision = 0;
    CHECK_FALSE(ledger.waitsForSettlement(turn, turn.turnTokens));
    while (reserveWithDraws(ledger, turn, true, revision)) {
        REQUIRE(revision <= 1);
    }
    CHECK_FALSE(ledger.waitsForSettlement(turn, 0));
    CHECK_FALSE(ledger.waitsForSettlement(turn, turn.turnTokens - 1));
    CHECK(ledger.waitsForSettlement(turn, turn.turnTokens));
    ledger.credit("p", 1);
    CHECK(ledger.waitsForSettlement(turn, turn.turnTokens - 1));
    ledger.credit("p", turn.turnTokens - 1);
    CHECK_FALSE(ledger.waitsForSettlement(turn, turn.turnTokens));
}

// Guards against draws that are refused for good once a record's lease has ended.
TEST_CASE("A program whose record no longer exists draws on, and its record is written anew with all of its blocks")
{
    TokenLedger ledger;
    const TurnRequest request{"p", 1000, 100};
    REQUIRE(ledger.reserve(request, false, Time{}) == LedgerAnswer::NeedsBlock);
    const std::optional<BlockDraw> first = ledger.planDraw(request);
    REQUIRE(first);
    ledger.onRecorded(request, *first, 7, 42);
    CHECK(ledger.leases() == std::set<std::uint64_t>{42});
    while (ledger.reserve(request, false, Time{}) == LedgerAnswer::Granted) { }
    ledger.onRecordMissing("p");
    CHECK(ledger.leases().empty());
    const std::optional<BlockDraw> second = ledger.planDraw(request);
    REQUIRE(second);
    CHECK(second->expectedRevision == 0);
    CHECK(second->recorded == first->recorded + second->block);
}
