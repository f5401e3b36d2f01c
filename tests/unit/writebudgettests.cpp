#include "decision/writebudget.h"

#include <doctest/doctest.h>

using namespace oleandergate;

TEST_CASE("Sustained load is limited to the instance's share of the write rate, and a burst passes without delay")
{
    constexpr Time start{std::chrono::hours(1)};
    WriteBudget budget(300.0, 20.0);
    Time now = start;
    for (int write = 0; write < 20; ++write) {
        CHECK(budget.reserve(10, now) == Duration(0));
    }
    int written = 20;
    while (now < start + std::chrono::seconds(10)) {
        now += budget.reserve(10, now) + Duration(1);
        written += 1;
    }
    // A tenth of 300 writes per second for 10 s, and the burst of 20.
    CHECK(written <= 321);
    CHECK(written >= 310);
    CHECK(budget.reserve(10, now + std::chrono::seconds(5)) == Duration(0));
}
