#include "decision/memoryledger.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr std::size_t limit = 1000;
constexpr Time start{};

} // namespace

TEST_CASE("Holders may hold bytes up to the limit, all together")
{
    MemoryLedger ledger(limit);
    const HolderId first = ledger.open(HeldFor::Arriving);
    const HolderId second = ledger.open(HeldFor::Answer);
    CHECK(ledger.resize(first, 400, start).verdict == MemoryVerdict::Granted);
    CHECK(ledger.resize(second, 600, start).verdict == MemoryVerdict::Granted);
    CHECK(ledger.total() == limit);
    CHECK(ledger.total(HeldFor::Answer) == 600);
    ledger.describe(second, HeldFor::UnsentAnswer, true);
    CHECK(ledger.total(HeldFor::Answer) == 0);
    CHECK(ledger.total(HeldFor::UnsentAnswer) == 600);
    ledger.close(second);
    CHECK(ledger.total() == 400);
    CHECK(ledger.peak() == limit);
}

// Guards against readings of the key-value service that wait for callers to give memory back, or are ended for them, and against readings that end callers: the
// endings of callers' holders have to be called by the thread that serves them.
TEST_CASE("What is read from the key-value service is counted, always granted, and never ended")
{
    MemoryLedger ledger(limit);
    const HolderId reading = ledger.open(HeldFor::StoreAnswer);
    const HolderId answer = ledger.open(HeldFor::Answer);
    ledger.resize(answer, 600, start);
    for (const std::size_t bytes : {700, 800, 800, 500}) {
        const MemoryLedger::Decision decision = ledger.resize(reading, bytes, start);
        CHECK(decision.verdict == MemoryVerdict::Granted);
        CHECK_FALSE(decision.ended);
    }
    CHECK(ledger.total(HeldFor::StoreAnswer) == 500);
    const MemoryLedger::Decision decision = ledger.resize(answer, 610, start);
    CHECK(decision.verdict == MemoryVerdict::End);
    CHECK_FALSE(decision.ended);
    ledger.close(answer);
    CHECK(ledger.resize(reading, 1100, start).verdict == MemoryVerdict::Granted);
    const HolderId later = ledger.open(HeldFor::Answer);
    CHECK(ledger.resize(later, 100, start).verdict == MemoryVerdict::End);
}

// Guards against ending many sound ones for the sake of a few that grow without end.
TEST_CASE("What grows without a stated length is ended first, the largest before others, one at a time")
{
    MemoryLedger ledger(limit);
    const HolderId sound = ledger.open(HeldFor::Answer);
    const HolderId small = ledger.open(HeldFor::Answer);
    const HolderId large = ledger.open(HeldFor::Answer);
    ledger.describe(sound, HeldFor::Answer, true);
    ledger.resize(sound, 500, start);
    ledger.resize(small, 200, start);
    CHECK(ledger.resize(large, 300, start).verdict == MemoryVerdict::Granted);
    const MemoryLedger::Decision decision = ledger.resize(small, 201, start);
    CHECK(decision.verdict == MemoryVerdict::Wait);
    CHECK(decision.ended == large);
    // Until it has given back what it holds, the others wait and none of them is ended.
    const MemoryLedger::Decision again = ledger.resize(sound, 510, start + std::chrono::milliseconds(10));
    CHECK(again.verdict == MemoryVerdict::Wait);
    CHECK_FALSE(again.ended);
    CHECK(ledger.resize(large, 310, start).verdict == MemoryVerdict::End);
    ledger.close(large);
    CHECK(ledger.resize(small, 201, start + std::chrono::milliseconds(20)).verdict == MemoryVerdict::Granted);
}

TEST_CASE("The largest holder is the one that ends when it grows beyond the limit itself")
{
    MemoryLedger ledger(limit);
    const HolderId small = ledger.open(HeldFor::Arriving);
    const HolderId large = ledger.open(HeldFor::Arriving);
    ledger.resize(small, 100, start);
    ledger.resize(large, 900, start);
    const MemoryLedger::Decision decision = ledger.resize(large, 901, start);
    CHECK(decision.verdict == MemoryVerdict::End);
    CHECK_FALSE(decision.ended);
}

// Guards against "not run" for a request that an endpoint has, and against a standstill behind a holder that does not end.
TEST_CASE("A request that is being served is not ended, and one that does not end in time is not waited for")
{
    MemoryLedger ledger(limit);
    const HolderId served = ledger.open(HeldFor::Request);
    const HolderId stuck = ledger.open(HeldFor::Answer);
    const HolderId other = ledger.open(HeldFor::Answer);
    const HolderId arriving = ledger.open(HeldFor::Arriving);
    ledger.resize(served, 700, start);
    ledger.resize(stuck, 200, start);
    ledger.resize(other, 90, start);
    CHECK(ledger.resize(arriving, 20, start).ended == stuck);
    const MemoryLedger::Decision later = ledger.resize(arriving, 20, start + std::chrono::milliseconds(300));
    CHECK(later.verdict == MemoryVerdict::Wait);
    CHECK(later.ended == other);
    MemoryLedger full(limit);
    const HolderId only = full.open(HeldFor::Request);
    const HolderId next = full.open(HeldFor::Arriving);
    full.resize(only, limit, start);
    CHECK(full.resize(next, 1, start).verdict == MemoryVerdict::End);
}
