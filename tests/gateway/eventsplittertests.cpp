#include "gateway/eventsplitter.h"

#include <doctest/doctest.h>

using namespace oleandergate;

TEST_CASE("Only whole events are returned, wherever the bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 1; cut < stream.size(); ++cut) {
        EventSplitter splitter;
        const std::string first = splitter.feed(stream.substr(0, cut));
        CHECK((first.empty() || first.ends_with("\n\n")));
        CHECK(first + splitter.feed(stream.substr(cut)) == stream);
        CHECK(splitter.eventCount() == 3);
        CHECK(splitter.lastId() == 3);
    }
}

TEST_CASE("The number of an incomplete event does not count")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id:7\r\ndata: a\r\n\r\nid:8\r\ndata: b\r\n") == "id:7\r\ndata: a\r\n\r\n");
    CHECK(splitter.lastId() == 7);
    CHECK(splitter.takeRest() == "id:8\r\ndata: b\r\n");
    CHECK(splitter.takeRest().empty());
}

TEST_CASE("Events without data are returned but not counted, and those without a number set no last number")
{
    EventSplitter splitter;
    CHECK(splitter.feed(": comment\n\ndata: x\n\n") == ": comment\n\ndata: x\n\n");
    CHECK(splitter.eventCount() == 1);
    CHECK_FALSE(splitter.lastId());
}
