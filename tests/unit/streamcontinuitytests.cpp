#include "decision/streamcontinuity.h"

#include <doctest/doctest.h>

#include <vector>

using namespace oleandergate;

namespace {

constexpr StreamEnd endInOrder{true, false, false};
constexpr StreamEnd framedEnd{true, true, false};

//! Adds events with \p numbers; 0 for one without a number. Returns the position of the last one.
EventPosition addAll(StreamContinuity &stream, const std::vector<std::uint64_t> &numbers)
{
    EventPosition position = EventPosition::Next;
    for (const std::uint64_t number : numbers) {
        position = stream.add(number == 0 ? std::nullopt : std::optional(number));
    }
    return position;
}

} // namespace

TEST_CASE("A run goes on behind the last event that was passed on")
{
    StreamContinuity stream;
    stream.beginRun();
    CHECK(addAll(stream, {1, 2, 3}) == EventPosition::Next);
    stream.beginRun();
    CHECK(stream.lastNumber() == 3);
    CHECK(stream.canContinue());
    CHECK(addAll(stream, {4, 5}) == EventPosition::Next);
    CHECK(stream.passedOn() == 5);
    CHECK(stream.passedOnInRun() == 2);
}

// Guards against pieces that come twice: a run that begins anew, or an event that is written twice.
TEST_CASE("An event whose number does not rise is not passed on")
{
    for (const std::uint64_t number : {1, 2, 3}) {
        StreamContinuity stream;
        stream.beginRun();
        addAll(stream, {1, 2, 3});
        CHECK(stream.add(number) == EventPosition::Repeated);
        stream.beginRun();
        CHECK(stream.add(number) == EventPosition::Repeated);
        CHECK(stream.lastNumber() == 3);
        CHECK(stream.add(4) == EventPosition::Next);
    }
}

TEST_CASE("A stream that a caller takes up goes on behind the caller's last event")
{
    StreamContinuity stream(7, 0);
    stream.beginRun();
    CHECK(stream.lastNumber() == 7);
    CHECK(stream.add(7) == EventPosition::Repeated);
    CHECK(stream.add(std::nullopt) == EventPosition::Unplaced);
    CHECK(stream.add(8) == EventPosition::Next);
}

// Guards against a missing piece, and against refusing streams whose numbers rise by more than one.
TEST_CASE("A gap counts only where the numbers rose by one until then, and until a second run shows it too and uneven numbers behind it")
{
    StreamContinuity uneven;
    uneven.beginRun();
    CHECK(addAll(uneven, {10, 20, 25, 100}) == EventPosition::Next);
    StreamContinuity stream;
    stream.beginRun();
    CHECK(addAll(stream, {1, 2, 3}) == EventPosition::Next);
    CHECK(stream.add(5) == EventPosition::BehindGap);
    stream.beginRun();
    CHECK(stream.add(6) == EventPosition::BehindGap);
    stream.beginRun();
    CHECK(stream.add(6) == EventPosition::Held);
    CHECK(stream.passedOn() == 3);
    CHECK(stream.add(8) == EventPosition::Next);
    CHECK(stream.passedOn() == 5);
    CHECK(stream.passedOnInRun() == 2);
    CHECK(stream.stepsByOne() == false);
    CHECK(stream.endRun(framedEnd) == Evidence::Proved);
}

// Guards against a missing event that every run behind a break leaves out, where nothing else is known of the version's numbers.
TEST_CASE("A gap that only runs behind a break show is a missing event where the numbers rise by one behind it")
{
    for (const std::vector<std::uint64_t> &begin : {std::vector<std::uint64_t>{1}, std::vector<std::uint64_t>{1, 2, 3}}) {
        StreamContinuity stream;
        stream.beginRun();
        addAll(stream, begin);
        const std::uint64_t number = begin.back() + 2;
        stream.beginRun();
        CHECK(stream.add(number) == EventPosition::BehindGap);
        for (int run = 0; run < 3; ++run) {
            stream.beginRun();
            CHECK(stream.add(number) == EventPosition::Held);
            CHECK(stream.isHolding());
            CHECK(stream.add(number + 1) == EventPosition::BehindGap);
            CHECK(stream.endRun(framedEnd) == Evidence::Disproved);
        }
        // The end behind the held event tells nothing, nor does an event without a number.
        stream.beginRun();
        CHECK(stream.add(number) == EventPosition::Held);
        CHECK(stream.endRun(framedEnd) == Evidence::Disproved);
        stream.beginRun();
        CHECK(stream.add(number) == EventPosition::Held);
        CHECK(stream.add(std::nullopt) == EventPosition::BehindGap);
        stream.beginRun();
        CHECK(stream.add(number) == EventPosition::Held);
        CHECK(stream.add(number) == EventPosition::Repeated);
        CHECK(stream.passedOn() == begin.size());
        CHECK_FALSE(stream.stepsByOne());
    }
    // The same behind the first event of a further run.
    StreamContinuity inside;
    inside.beginRun();
    addAll(inside, {1, 2, 3});
    inside.beginRun();
    CHECK(addAll(inside, {4, 6}) == EventPosition::BehindGap);
    inside.beginRun();
    CHECK(addAll(inside, {6, 7}) == EventPosition::BehindGap);
    CHECK(inside.lastNumber() == 4);
}

// Guards against refusing streams whose numbers do not rise by one.
TEST_CASE("A gap behind a break that a second run shows too is served where whole streams have uneven numbers")
{
    StreamContinuity stream;
    stream.expectUnevenSteps(true);
    stream.beginRun();
    addAll(stream, {1, 2, 3});
    stream.beginRun();
    CHECK(stream.add(5) == EventPosition::BehindGap);
    stream.beginRun();
    CHECK(addAll(stream, {5, 6}) == EventPosition::Next);
    // What only runs behind a break have shown teaches nothing.
    CHECK_FALSE(stream.stepsByOne());
    StreamContinuity tens;
    tens.beginRun();
    addAll(tens, {10});
    tens.beginRun();
    CHECK(tens.add(20) == EventPosition::BehindGap);
    tens.beginRun();
    CHECK(tens.add(20) == EventPosition::Held);
    CHECK(addAll(tens, {30, 40}) == EventPosition::Next);
    CHECK(tens.stepsByOne() == false);
    StreamContinuity takenUp(20, 0);
    takenUp.beginRun();
    CHECK(takenUp.add(30) == EventPosition::BehindGap);
    takenUp.beginRun();
    CHECK(addAll(takenUp, {30, 40}) == EventPosition::Next);
}

// Guards against an event that every run behind a break leaves out.
TEST_CASE("Where numbers are known to rise by one, a gap at a join is a missing event however many runs show it")
{
    StreamContinuity stream;
    stream.expectUnitSteps(true);
    stream.beginRun();
    CHECK(addAll(stream, {1}) == EventPosition::Next);
    for (int run = 0; run < 3; ++run) {
        stream.beginRun();
        CHECK(stream.add(3) == EventPosition::BehindGap);
    }
    stream.beginRun();
    CHECK(stream.add(2) == EventPosition::Next);
    CHECK_FALSE(stream.stepsByOne());
    for (int run = 0; run < 3; ++run) {
        CHECK(stream.add(4) == EventPosition::BehindGap);
        stream.beginRun();
    }
    // A gap inside a first run that another run shows as well is the endpoint's numbering, though others have none.
    StreamContinuity first;
    first.expectUnitSteps(true);
    first.beginRun();
    CHECK(addAll(first, {1, 2, 4}) == EventPosition::BehindGap);
    first.beginRun();
    CHECK(first.add(4) == EventPosition::Next);
    CHECK(first.stepsByOne() == false);
    StreamContinuity whole;
    whole.beginRun();
    addAll(whole, {1, 2, 3});
    CHECK(whole.stepsByOne() == true);
    StreamContinuity uneven;
    uneven.beginRun();
    addAll(uneven, {1, 2, 4});
    CHECK(uneven.stepsByOne() == false);
}

// Guards against a missing piece where a run goes on behind few events, or behind those that its caller has.
TEST_CASE("A run that goes on behind another one has to begin with the next number")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2});
    stream.beginRun();
    CHECK(stream.add(4) == EventPosition::BehindGap);
    StreamContinuity takenUp(12, 0);
    takenUp.beginRun();
    CHECK(takenUp.add(14) == EventPosition::BehindGap);
    takenUp.beginRun();
    CHECK(takenUp.add(13) == EventPosition::Next);
}

// Guards against a gap that one run has disproved counting as shown twice.
TEST_CASE("A gap counts as shown again only at the same event")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2, 3});
    stream.beginRun();
    CHECK(stream.add(6) == EventPosition::BehindGap);
    stream.beginRun();
    CHECK(stream.add(4) == EventPosition::Next);
    CHECK(stream.add(6) == EventPosition::BehindGap);
}

// Guards against a stream that begins again because the position of its events without numbers is not known.
TEST_CASE("Behind an event without a number no other run can go on")
{
    StreamContinuity stream;
    stream.beginRun();
    CHECK(addAll(stream, {0, 0}) == EventPosition::Next);
    CHECK_FALSE(stream.canContinue());
    CHECK(stream.endRun(framedEnd) == Evidence::Proved);
    StreamContinuity mixed;
    mixed.beginRun();
    CHECK(addAll(mixed, {1, 2, 0}) == EventPosition::Next);
    CHECK_FALSE(mixed.canContinue());
    CHECK(addAll(mixed, {4}) == EventPosition::Next);
    CHECK(mixed.canContinue());
}

TEST_CASE("The end of a connection does not prove that a stream is complete, and an ended endpoint disproves it")
{
    StreamContinuity stream;
    stream.beginRun();
    CHECK(stream.endRun(endInOrder) == Evidence::Disproved);
    addAll(stream, {1, 2});
    CHECK(stream.endRun(StreamEnd{false, true, false}) == Evidence::Disproved);
    CHECK(stream.endRun(StreamEnd{true, false, true}) == Evidence::Disproved);
    CHECK(stream.endRun(endInOrder) == Evidence::Unknown);
    CHECK(stream.endRun(framedEnd) == Evidence::Proved);
}

// Guards against refusing the whole streams of endpoints that never frame them.
TEST_CASE("Two runs that end in order at the same event prove that the stream is complete")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2});
    CHECK(stream.endRun(endInOrder) == Evidence::Unknown);
    stream.beginRun();
    addAll(stream, {3});
    CHECK(stream.endRun(endInOrder) == Evidence::Unknown);
    stream.beginRun();
    CHECK(stream.endRun(StreamEnd{true, false, true}) == Evidence::Disproved);
    stream.beginRun();
    CHECK(stream.endRun(endInOrder) == Evidence::Proved);
}

// Guards against a stream that reaches its caller as complete because endpoints ended behind the heads of their answers.
TEST_CASE("Runs without events prove nothing about a stream that broke off")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2});
    CHECK(stream.endRun(StreamEnd{false, false, false}) == Evidence::Disproved);
    for (int run = 0; run < 3; ++run) {
        stream.beginRun();
        CHECK(stream.endRun(endInOrder) == Evidence::Disproved);
    }
    StreamContinuity takenUp(2, 0);
    takenUp.beginRun();
    CHECK(takenUp.endRun(endInOrder) == Evidence::Disproved);
}

TEST_CASE("A stream with all the tokens that it may have is complete however it ends between events")
{
    StreamContinuity stream(std::nullopt, 3);
    stream.beginRun();
    addAll(stream, {1, 2});
    CHECK(stream.endRun(endInOrder) == Evidence::Unknown);
    stream.beginRun();
    addAll(stream, {3});
    CHECK(stream.endRun(StreamEnd{true, false, true}) == Evidence::Proved);
    CHECK(stream.endRun(StreamEnd{false, false, true}) == Evidence::Disproved);
}

// Guards against streams that are broken off in front of an event without a number at their end, and against such events in other places.
TEST_CASE("Events without numbers are the end of a stream only behind a break, whole, framed, and where they are expected")
{
    const std::string tail = "data: [DONE]\n\n";
    StreamEnd end = framedEnd;
    end.tail = tail;
    StreamContinuity stream;
    stream.expectTail(tail);
    stream.beginRun();
    CHECK_FALSE(stream.mayEndWith(tail));
    addAll(stream, {1, 2, 3});
    stream.beginRun();
    CHECK(stream.mayEndWith(tail));
    CHECK_FALSE(stream.mayEndWith("data: [FAILED]\n\n"));
    CHECK_FALSE(stream.mayEndWith(tail + tail));
    CHECK(stream.endRun(end) == Evidence::Proved);
    end.framed = false;
    CHECK(stream.endRun(end) == Evidence::Disproved);
    stream.expectTail(tail + tail);
    end.framed = true;
    CHECK(stream.endRun(end) == Evidence::Disproved);
    stream.expectTail({});
    CHECK_FALSE(stream.mayEndWith(tail));
    CHECK(stream.endRun(end) == Evidence::Disproved);
    stream.expectTail(tail);
    stream.add(4);
    CHECK_FALSE(stream.mayEndWith(tail));
}

// Guards against an end that comes twice: the caller had it, and its stream broke off before the last chunk.
TEST_CASE("A stream that its caller takes up is not ended by events without numbers alone")
{
    const std::string tail = "data: [DONE]\n\n";
    StreamContinuity takenUp(5, 0);
    takenUp.expectTail(tail);
    takenUp.beginRun();
    CHECK_FALSE(takenUp.mayEndWith(tail));
    StreamContinuity goesOn(std::nullopt, 0);
    goesOn.expectTail(tail);
    goesOn.beginRun();
    REQUIRE(goesOn.add(1) == EventPosition::Next);
    goesOn.beginRun();
    CHECK(goesOn.mayEndWith(tail));
}

// Guards against half a stream taken for a whole one: an empty answer confirms an earlier end though a run in between has shown a further event.
TEST_CASE("A run that ended inside an event proves that the stream goes on, until that event is passed on")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2, 3});
    CHECK(stream.endRun(endInOrder) == Evidence::Unknown);
    stream.beginRun();
    stream.showFurtherEvent();
    CHECK(stream.endRun(StreamEnd{}) == Evidence::Disproved);
    for (const StreamEnd &end : {endInOrder, framedEnd}) {
        stream.beginRun();
        CHECK(stream.endRun(end) == Evidence::Disproved);
    }
    stream.beginRun();
    addAll(stream, {4});
    CHECK(stream.endRun(framedEnd) == Evidence::Proved);
}

TEST_CASE("An event behind a gap proves that the stream goes on")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2, 3});
    CHECK(stream.endRun(endInOrder) == Evidence::Unknown);
    stream.beginRun();
    CHECK(addAll(stream, {5}) == EventPosition::BehindGap);
    stream.beginRun();
    CHECK(stream.endRun(endInOrder) == Evidence::Disproved);
}

// Guards against half a stream taken for a whole one: an event behind a gap was seen, and a later run brought only some of those in front of it.
TEST_CASE("An event behind a gap proves that the stream goes on until that event is passed on")
{
    StreamContinuity stream;
    stream.beginRun();
    addAll(stream, {1, 2, 3, 4});
    CHECK(stream.add(7) == EventPosition::BehindGap);
    stream.beginRun();
    addAll(stream, {5});
    CHECK(stream.endRun(framedEnd) == Evidence::Disproved);
    stream.beginRun();
    CHECK(stream.endRun(endInOrder) == Evidence::Disproved);
    stream.beginRun();
    addAll(stream, {6, 7});
    CHECK(stream.endRun(framedEnd) == Evidence::Proved);
}

// Guards against a cut stream that counts as complete because it has more events than should hold all its tokens.
TEST_CASE("A stream with more events than hold all its tokens is not proved complete by their number")
{
    StreamContinuity stream(std::nullopt, 2);
    stream.beginRun();
    for (std::uint64_t number = 1; number <= 3; ++number) {
        REQUIRE(stream.add(number) == EventPosition::Next);
    }
    StreamEnd end;
    end.betweenEvents = true;
    end.endpointEnded = true;
    CHECK(stream.endRun(end) == Evidence::Disproved);
}
