#include "decision/ratelimittable.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr std::uint32_t endpoint = 7;
constexpr std::size_t reportSize = 48;

Time after(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

RateLimitStatement named(double callsPerSecond, Time statedAt, std::uint32_t id = endpoint)
{
    return RateLimitStatement{id, callsPerSecond, statedAt};
}

RateLimitStatement unnamed(Time statedAt)
{
    return RateLimitStatement{endpoint, std::nullopt, statedAt};
}

} // namespace

TEST_CASE("A limit stands from the answer that names it until one that does not")
{
    RateLimitTable table;
    CHECK(table.onStatement(unnamed(after(0)), after(0)) == RateLimitChange::None);
    CHECK_FALSE(table.limitOf(endpoint));
    CHECK(table.onStatement(named(8.0, after(10)), after(10)) == RateLimitChange::Named);
    REQUIRE(table.limitOf(endpoint));
    CHECK(table.limitOf(endpoint)->callsPerSecond == 8.0);
    CHECK(table.limitOf(endpoint)->since == after(10));
    CHECK(table.onStatement(named(4.0, after(20)), after(20)) == RateLimitChange::Changed);
    CHECK(table.limitOf(endpoint)->callsPerSecond == 4.0);
    CHECK(table.limitOf(endpoint)->since == after(10));
    CHECK(table.onStatement(unnamed(after(30)), after(30)) == RateLimitChange::Lifted);
    CHECK_FALSE(table.limitOf(endpoint));
    CHECK(table.onStatement(named(8.0, after(40)), after(40)) == RateLimitChange::Named);
    CHECK(table.limitOf(endpoint)->since == after(40));
}

TEST_CASE("A late report of an earlier answer changes nothing")
{
    RateLimitTable table;
    table.onStatement(named(8.0, after(10)), after(10));
    table.onStatement(unnamed(after(30)), after(30));
    CHECK(table.onStatement(named(8.0, after(20)), after(200)) == RateLimitChange::None);
    CHECK_FALSE(table.limitOf(endpoint));
}

TEST_CASE("Small movements of a limit count at once and are no news")
{
    RateLimitTable table;
    table.onStatement(named(10.0, after(0)), after(0));
    CHECK(table.onStatement(named(10.3, after(10)), after(10)) == RateLimitChange::None);
    CHECK(table.limitOf(endpoint)->callsPerSecond == 10.3);
    CHECK(table.onStatement(named(10.6, after(20)), after(20)) == RateLimitChange::Changed);
}

TEST_CASE("A change is reported a few times at once, and a limit in force again and again")
{
    RateLimitTable table;
    table.onStatement(named(8.0, after(0)), after(0));
    CHECK(table.hasNews());
    int reports = 0;
    while (table.hasNews()) {
        CHECK_FALSE(table.nextReport(reportSize, after(1)).empty());
        reports += 1;
    }
    CHECK(reports == 4);
    CHECK(table.nextReport(reportSize, after(2)).empty());
    CHECK(table.nextReport(reportSize, after(600)).size() == 1);
}

// Guards against reports that name only the first limits: an instance that starts would never learn of the others.
TEST_CASE("An instance that starts learns of all limits from the repeated reports, however many there are")
{
    RateLimitTable table;
    constexpr std::uint32_t count = 100;
    for (std::uint32_t id = 1; id <= count; ++id) {
        table.onStatement(named(8.0, after(0), id), after(0));
    }
    while (table.hasNews()) {
        table.nextReport(reportSize, after(0));
    }
    RateLimitTable started;
    for (int report = 1; report <= 14; ++report) {
        const Time now = after(600 * report);
        for (const RateLimitStatement &statement : table.nextReport(reportSize, now)) {
            started.onStatement(statement, now);
        }
    }
    CHECK(started.limitedCount() == count);
}

// Guards against a limit that lasts for ever because nothing is sent to its endpoint any more.
TEST_CASE("A limit ends when its endpoint has not answered for a minute")
{
    RateLimitTable table;
    table.onStatement(named(8.0, after(0)), after(0));
    table.expire(after(50'000));
    CHECK(table.limitedCount() == 1);
    table.expire(after(61'000));
    CHECK(table.limitedCount() == 0);
}
