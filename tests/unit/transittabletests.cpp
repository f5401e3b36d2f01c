#include "decision/transittable.h"

#include <doctest/doctest.h>

#include <string>

using namespace oleandergate;

namespace {

constexpr Duration ms = std::chrono::milliseconds(1);
const Time start = Time{} + std::chrono::hours(1);

//! The sender's clock is behind by this.
constexpr Duration offset = std::chrono::minutes(7);

//! What waitOf() adds for the way that every report has.
constexpr Duration way = 50 * ms;

//! A table that heard "peer" five times, every 100 ms up to \p start, with a way of 2 ms.
TransitTable heardTable()
{
    TransitTable table;
    for (int report = 4; report >= 0; --report) {
        const Time now = start - report * 100 * ms;
        table.onReport("peer", now - offset - 2 * ms, now);
    }
    return table;
}

} // namespace

TEST_CASE("Transits: a report that did not wait is told from one that did, whatever the clocks show")
{
    const TransitTable table = heardTable();
    CHECK(table.waitOf("peer", start - offset - 2 * ms, start) == way);
    CHECK(table.waitOf("peer", start - offset - 1 * ms, start) == way);
    CHECK(table.waitOf("peer", start - offset - 702 * ms, start) == way + 700 * ms);
}

// Guards against believing reports that waited like all reports before them.
TEST_CASE("Transits: nothing is told of a sender that was heard seldom")
{
    TransitTable table;
    CHECK_FALSE(table.waitOf("peer", start, start));
    for (int report = 0; report < 3; ++report) {
        table.onReport("peer", start - offset, start);
        CHECK_FALSE(table.waitOf("peer", start - offset, start));
    }
    table.onReport("peer", start - offset, start);
    CHECK(table.waitOf("peer", start - offset, start) == way);
    CHECK_FALSE(table.waitOf("other", start - offset, start));
}

TEST_CASE("Transits: clocks that drift apart since the last measurement count against a report")
{
    const TransitTable table = heardTable();
    const Time later = start + std::chrono::seconds(10);
    CHECK(table.waitOf("peer", later - offset - 2 * ms, later) == way + 100 * ms);
}

TEST_CASE("Transits: reports that waited don't change what is usual, and clocks that changed are learnt again")
{
    TransitTable table = heardTable();
    for (int report = 1; report <= 20; ++report) {
        const Time now = start + report * 50 * ms;
        table.onReport("peer", now - offset - 502 * ms, now);
    }
    const Time now = start + 1000 * ms;
    CHECK(table.waitOf("peer", now - offset - 2 * ms, now) == way + 10 * ms);
    CHECK(table.waitOf("peer", now - offset - 502 * ms, now) == way + 510 * ms);
    // The difference is 500 ms larger from here on: 50 s of drift.
    for (int report = 21; report <= 1100; ++report) {
        const Time arrival = start + report * 50 * ms;
        table.onReport("peer", arrival - offset - 502 * ms, arrival);
    }
    const Time relearnt = start + 1100 * 50 * ms;
    CHECK(table.waitOf("peer", relearnt - offset - 502 * ms, relearnt) == way);
}

TEST_CASE("Transits: senders that are gone are forgotten")
{
    TransitTable table = heardTable();
    for (int seconds = 1; seconds <= 200; ++seconds) {
        const Time now = start + std::chrono::seconds(seconds);
        table.onReport("other", now, now);
    }
    CHECK(table.size() == 1);
    CHECK_FALSE(table.waitOf("peer", start, start));
}
