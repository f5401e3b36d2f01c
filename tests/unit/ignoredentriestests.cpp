#include "decision/ignoredentries.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Duration interval = std::chrono::minutes(1);
constexpr IgnoredEntries::Limits limits{.keys = 3, .lines = 4, .interval = interval};
constexpr Time start = Time() + std::chrono::hours(1);

} // namespace

TEST_CASE("Ignored entries: each change of an entry is logged once")
{
    IgnoredEntries entries(limits);
    CHECK(entries.shouldLog("a", 1, start));
    CHECK_FALSE(entries.shouldLog("a", 1, start + interval));
    CHECK(entries.shouldLog("a", 2, start + interval));
}

// Guards against logs that are filled with every reading, where another writer leaves more unreadable entries than are remembered.
TEST_CASE("Ignored entries: however many there are, and however often they change, an interval has a bounded number of lines")
{
    IgnoredEntries entries(limits);
    std::size_t lines = 0;
    for (std::uint64_t revision = 1; revision <= 100; ++revision) {
        for (const char *key : {"a", "b", "c", "d", "e"}) {
            lines += entries.shouldLog(key, revision, start) ? 1 : 0;
        }
    }
    CHECK(lines == limits.lines);
    CHECK(entries.shouldLog("e", 100, start + interval));
}
