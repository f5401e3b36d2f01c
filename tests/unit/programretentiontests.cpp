#include "decision/programretention.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr std::chrono::seconds minimum(60);

} // namespace

TEST_CASE("The time within which programs return is that of the version in force, and no less than the minimum")
{
    ProgramRetention retention(minimum);
    CHECK(retention.at(start) == minimum);
    retention.onVersion(std::chrono::hours(1), start);
    CHECK(retention.at(start) == std::chrono::hours(1));
    SUBCASE("a version without one")
    {
        ProgramRetention other(minimum);
        other.onVersion(std::nullopt, start);
        CHECK(other.at(start) == minimum);
    }
    SUBCASE("zero")
    {
        ProgramRetention other(minimum);
        other.onVersion(Duration::zero(), start);
        CHECK(other.at(start) == minimum);
    }
}

// Guards against budgets that are granted again to programs which stopped under an earlier version.
TEST_CASE("A program that stopped before its time to return was lowered has the longer time")
{
    ProgramRetention retention(minimum);
    retention.onVersion(std::chrono::seconds(300), start);
    const Time lowered = start + std::chrono::seconds(100);
    retention.onVersion(std::chrono::seconds(120), lowered);
    CHECK(retention.at(lowered + std::chrono::seconds(299)) == std::chrono::seconds(300));
    CHECK(retention.at(lowered + std::chrono::seconds(300)) == std::chrono::seconds(120));
    SUBCASE("raised meanwhile, and lowered again")
    {
        retention.onVersion(std::chrono::seconds(200), lowered + std::chrono::seconds(250));
        retention.onVersion(std::nullopt, lowered + std::chrono::seconds(260));
        CHECK(retention.at(lowered + std::chrono::seconds(290)) == std::chrono::seconds(300));
        CHECK(retention.at(lowered + std::chrono::seconds(310)) == std::chrono::seconds(200));
        CHECK(retention.at(lowered + std::chrono::seconds(460)) == minimum);
    }
}

TEST_CASE("Raising the time to return holds at once")
{
    ProgramRetention retention(minimum);
    retention.onVersion(std::chrono::seconds(90), start);
    retention.onVersion(std::chrono::seconds(600), start + std::chrono::seconds(10));
    CHECK(retention.at(start + std::chrono::seconds(10)) == std::chrono::seconds(600));
}
