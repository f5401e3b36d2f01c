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

// Guards against short streams that reach their caller framed as complete: without length and chunks, a crash of the endpoint looks like the
// end of its answer.
TEST_CASE("A stream that ends inside an event is not whole, however its answer is framed")
{
    const std::string stream = ": comment\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
    for (const bool endsWithConnection : {true, false}) {
        for (std::size_t size = 1; size <= stream.size(); ++size) {
            EventSplitter splitter;
            splitter.feed(stream.substr(0, size));
            const std::string rest = stream.substr(size - splitter.pendingSize(), splitter.pendingSize());
            const bool betweenEvents = rest.empty() || rest == ": comment\n";
            const bool hasEvent = splitter.eventCount() > 0;
            INFO("ends with connection: ", endsWithConnection, ", bytes: ", size);
            CHECK(splitter.isWhole(endsWithConnection) == (betweenEvents && (hasEvent || !endsWithConnection)));
        }
    }
}

// Guards against empty successes: an endpoint that crashes behind the head of its answer has sent no event.
TEST_CASE("A stream that ends with its connection before the first event is not whole")
{
    EventSplitter splitter;
    CHECK_FALSE(splitter.isWhole(true));
    CHECK(splitter.isWhole(false));
    splitter.feed("id: 1\ndata: a\n\n");
    CHECK(splitter.isWhole(true));
}

TEST_CASE("Comments and blank lines behind the last event belong to a whole stream")
{
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: a\n\n: end\n\n\n:\n");
    CHECK(splitter.isWhole(true));
    splitter.feed(": cut");
    CHECK_FALSE(splitter.isWhole(true));
}
