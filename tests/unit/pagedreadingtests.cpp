#include "decision/pagedreading.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr PagedReading::Limits limits{.items = 10, .keptBytes = 100};

PagedReading::Page pageOf(const std::string &lowest, const std::string &highest, bool isTruncated)
{
    return PagedReading::Page{2, 10, lowest, highest, isTruncated};
}

} // namespace

TEST_CASE("Paged reading: pages that go forward are read to the last one")
{
    PagedReading reading(limits);
    CHECK_FALSE(reading.lastKey());
    CHECK(reading.onPage(pageOf("a", "b", true)) == PageVerdict::Continue);
    CHECK(reading.lastKey() == "b");
    CHECK(reading.onPage(pageOf("b+", "c", true)) == PageVerdict::Continue);
    CHECK(reading.onPage(PagedReading::Page()) == PageVerdict::Complete);
    CHECK(reading.pages() == 3);
    CHECK(reading.items() == 4);
    CHECK(reading.keptBytes() == 20);
}

// Guards against readings that go on for ever.
TEST_CASE("Paged reading: a page that repeats a key, or has none though more follow, does not go forward")
{
    for (const PagedReading::Page &second :
         {pageOf("a", "b", true), pageOf("b", "c", true), pageOf("a", "z", false), PagedReading::Page{0, 0, std::nullopt, std::nullopt, true}}) {
        PagedReading reading(limits);
        REQUIRE(reading.onPage(pageOf("a", "b", true)) == PageVerdict::Continue);
        CHECK(reading.onPage(second) == PageVerdict::NotForward);
    }
    PagedReading reading(limits);
    CHECK(reading.onPage(PagedReading::Page{0, 0, std::nullopt, std::nullopt, true}) == PageVerdict::NotForward);
}

TEST_CASE("Paged reading: the order of keys is that of their bytes")
{
    PagedReading reading(limits);
    CHECK(reading.onPage(pageOf("servers/z", "servers/\x7f", true)) == PageVerdict::Continue);
    CHECK(reading.onPage(pageOf("servers/\xc3\xa9", "servers/\xc3\xa9", true)) == PageVerdict::Continue);
    CHECK(reading.onPage(pageOf("servers/\xc3\xa8", "servers/\xc3\xa8", true)) == PageVerdict::NotForward);
}

TEST_CASE("Paged reading: items and kept bytes have bounds")
{
    PagedReading items(limits);
    CHECK(items.onPage(PagedReading::Page{10, 0, "a", "b", true}) == PageVerdict::Continue);
    CHECK(items.onPage(PagedReading::Page{1, 0, "c", "c", true}) == PageVerdict::TooManyItems);
    PagedReading bytes(limits);
    CHECK(bytes.onPage(PagedReading::Page{1, 100, "a", "b", true}) == PageVerdict::Continue);
    CHECK(bytes.onPage(PagedReading::Page{1, 1, "c", "c", false}) == PageVerdict::TooManyBytes);
}
