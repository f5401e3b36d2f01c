#include "decision/streamhabits.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

const ServiceVersion group{"engine", "v1"};
const ServiceVersion otherGroup{"engine", "v2"};
constexpr Time start = Time{} + std::chrono::hours(1);

RunObservation endedRun(bool framed)
{
    RunObservation run;
    run.events = 6;
    run.framed = framed;
    return run;
}

RunObservation endedRunAt(const EndpointId &endpoint, bool framed)
{
    RunObservation run = endedRun(framed);
    run.endpoint = endpoint;
    return run;
}

RunObservation numberedRun(bool risesByOne)
{
    RunObservation run = endedRun(true);
    run.risesByOne = risesByOne;
    return run;
}

} // namespace

TEST_CASE("Nothing is unusual of a version of which no stream was seen")
{
    const StreamHabits habits;
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start));
    CHECK_FALSE(habits.numbersRiseByOne(group, start));
}

// Guards against a cut that is confirmed by another one: the run that is to tell may be cut behind its head.
TEST_CASE("Two runs have to agree with an unframed end until such ends have been proved again and again without a cut")
{
    constexpr int provedEnds = 8;
    StreamHabits habits;
    CHECK(habits.confirmationsNeeded(group, start) == 2);
    RunObservation proved = endedRunAt("a", false);
    proved.events = 0;
    proved.proved = true;
    for (int end = 0; end < provedEnds; ++end) {
        CHECK(habits.confirmationsNeeded(group, start) == 2);
        habits.add(group, proved, start);
    }
    CHECK(habits.confirmationsNeeded(group, start) == 1);
    CHECK(habits.confirmationsNeeded(otherGroup, start) == 2);
    habits.addCut("a", start);
    CHECK(habits.confirmationsNeeded(group, start) == 2);
}

// Guards against the same where a framed answer, which proves an end, is likely to come next.
TEST_CASE("Three runs have to agree with an unframed end where the version frames some of its streams")
{
    StreamHabits habits;
    habits.add(group, endedRunAt("a", true), start);
    CHECK(habits.confirmationsNeeded(group, start) == 3);
    CHECK(habits.confirmationsNeeded(otherGroup, start) == 2);
    // Until none of its latest streams was.
    for (int stream = 0; stream < 8; ++stream) {
        CHECK(habits.confirmationsNeeded(group, start) == 3);
        habits.add(group, endedRunAt("a", false), start);
    }
    CHECK(habits.confirmationsNeeded(group, start) == 2);
}

// Guards against an endpoint that confirms its own cut, and against judging one version by another.
TEST_CASE("An unframed end is unusual where streams of the same version were framed")
{
    StreamHabits habits;
    habits.add(group, endedRun(true), start);
    CHECK(habits.isUnframedDoubtful(group, "a", start));
    CHECK_FALSE(habits.isUnframedDoubtful(otherGroup, "a", start));
}

// Guards against refusing the whole streams of a version that has come to frame none.
TEST_CASE("An unframed end is usual when no stream was framed among the latest")
{
    StreamHabits habits;
    habits.add(group, endedRun(true), start);
    for (std::uint32_t stream = 0; stream < RecentAnswers::capacity; ++stream) {
        CHECK(habits.isUnframedDoubtful(group, "a", start));
        habits.add(group, endedRun(false), start);
    }
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start));
}

// Guards against taking the framed answer without an event that confirms an end for a habit of framing streams.
TEST_CASE("An unframed end is usual for a minute behind one that was proved, and what was seen counts for ten")
{
    StreamHabits habits;
    RunObservation proof;
    proof.framed = true;
    proof.provedEndAt = "a";
    habits.add(group, proof, start);
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start + std::chrono::seconds(61)));
    habits.add(group, endedRun(true), start);
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start + std::chrono::seconds(60)));
    CHECK(habits.isUnframedDoubtful(group, "a", start + std::chrono::seconds(61)));
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start + std::chrono::seconds(601)));
}

TEST_CASE("Unframed ends of an endpoint that has cut a stream are unusual for a minute, or until one of its own is proved")
{
    StreamHabits habits;
    habits.addCut("a", start);
    habits.addCut("b", start);
    CHECK(habits.isUnframedDoubtful(group, "a", start + std::chrono::seconds(60)));
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start + std::chrono::seconds(61)));
    CHECK_FALSE(habits.isUnframedDoubtful(group, "c", start));
    RunObservation proof;
    proof.provedEndAt = "a";
    habits.add(group, proof, start);
    CHECK_FALSE(habits.isUnframedDoubtful(group, "a", start));
    CHECK(habits.isUnframedDoubtful(group, "b", start));
}

// Guards against an endpoint that confirms its own cut, because the cut streams of another one had taken the places of all framed ones among the latest.
TEST_CASE("Unframed ends of an endpoint that has cut a stream do not become usual of its version")
{
    StreamHabits habits;
    habits.add(group, endedRunAt("a", true), start);
    habits.addCut("b", start);
    for (std::uint32_t stream = 0; stream < RecentAnswers::capacity; ++stream) {
        habits.add(group, endedRunAt("b", false), start);
    }
    CHECK(habits.isUnframedDoubtful(group, "c", start));
}

// Guards against an endpoint that confirms its own cut for a minute behind a whole unframed stream of another one.
TEST_CASE("A proved unframed end makes unframed ends of its own endpoint usual, not those of others")
{
    StreamHabits habits;
    habits.add(group, endedRunAt("a", true), start);
    RunObservation proof = endedRunAt("a", true);
    proof.events = 0;
    proof.provedEndAt = "b";
    habits.add(group, proof, start);
    CHECK_FALSE(habits.isUnframedDoubtful(group, "b", start));
    CHECK(habits.isUnframedDoubtful(group, "c", start));
}

// Guards against half a stream that is delivered as complete: an instance that sends all streams to the endpoint that cuts them sees no framed one.
TEST_CASE("An unframed end is usual only where another endpoint of the version ends its streams so")
{
    StreamHabits habits;
    CHECK_FALSE(habits.isUnframedUsual(group, "a", false, start));
    for (std::uint32_t stream = 0; stream < RecentAnswers::capacity; ++stream) {
        habits.add(group, endedRunAt("a", false), start);
    }
    CHECK_FALSE(habits.isUnframedUsual(group, "a", false, start));
    CHECK(habits.isUnframedUsual(group, "a", true, start));
    CHECK(habits.isUnframedUsual(group, "b", false, start));
    habits.add(otherGroup, endedRunAt("b", false), start);
    CHECK_FALSE(habits.isUnframedUsual(group, "a", false, start));
    habits.add(group, endedRunAt("b", false), start);
    CHECK(habits.isUnframedUsual(group, "a", false, start));
    CHECK_FALSE(habits.isUnframedUsual(group, "a", false, start + std::chrono::seconds(601)));
    habits.addCut("b", start);
    CHECK_FALSE(habits.isUnframedUsual(group, "a", false, start));
}

// Guards against an endpoint that vouches for another one's unframed ends though it was shown to cut streams.
TEST_CASE("Another endpoint leaves streams unframed if it was seen to, and has cut none lately")
{
    StreamHabits habits;
    habits.add(group, endedRunAt("a", false), start);
    habits.add(group, endedRunAt("b", true), start);
    CHECK_FALSE(habits.hasOtherUnframed(group, "a", start));
    CHECK(habits.hasOtherUnframed(group, "b", start));
    habits.add(group, endedRunAt("c", false), start);
    CHECK(habits.hasOtherUnframed(group, "a", start));
    habits.addCut("c", start);
    CHECK_FALSE(habits.hasOtherUnframed(group, "a", start));
    // What it did before its cut tells no more behind the minute than within it.
    CHECK_FALSE(habits.hasOtherUnframed(group, "a", start + std::chrono::seconds(61)));
}

// Guards against a version whose numbers have gaps now and then, judged by its first stream.
TEST_CASE("Numbers rise by one where those of all latest streams did, and nothing is said behind few")
{
    StreamHabits habits;
    for (std::uint32_t stream = 0; stream < RecentAnswers::capacity; ++stream) {
        CHECK_FALSE(habits.numbersRiseByOne(group, start));
        habits.add(group, numberedRun(true), start);
    }
    CHECK(habits.numbersRiseByOne(group, start));
    habits.add(group, numberedRun(false), start);
    CHECK_FALSE(habits.numbersRiseByOne(group, start));
}

// Guards against the end of one endpoint's faulty streams, such as an error's text, that is taken for the usual one.
TEST_CASE("Streams of a version usually end with the events without numbers that the latest of each endpoint had")
{
    StreamHabits habits;
    CHECK(habits.usualTail(group, start).empty());
    RunObservation run = endedRunAt("a", true);
    habits.add(group, run, start);
    CHECK(habits.usualTail(group, start).empty());
    run.tail = "data: [DONE]\n\n";
    habits.add(group, run, start);
    CHECK(habits.usualTail(group, start) == run.tail);
    CHECK(habits.usualTail(otherGroup, start).empty());
    CHECK(habits.usualTail(group, start + std::chrono::seconds(601)).empty());
    RunObservation other = endedRunAt("b", true);
    other.tail = "data: [FAILED]\n\n";
    habits.add(group, other, start);
    CHECK(habits.usualTail(group, start).empty());
    other.tail = run.tail;
    habits.add(group, other, start);
    CHECK(habits.usualTail(group, start) == run.tail);
    other.tail = "";
    habits.add(group, other, start);
    CHECK(habits.usualTail(group, start).empty());
}

// Guards against streams without their last events, whose endpoint has shown that its lengths are too small.
TEST_CASE("The lengths of an endpoint are doubtful for a minute behind one that was too small")
{
    StreamHabits habits;
    CHECK_FALSE(habits.isLengthDoubtful("a", start));
    habits.addShortLength("a", start);
    CHECK(habits.isLengthDoubtful("a", start + std::chrono::seconds(60)));
    CHECK_FALSE(habits.isLengthDoubtful("b", start));
    CHECK_FALSE(habits.isLengthDoubtful("a", start + std::chrono::seconds(61)));
}

TEST_CASE("Numbers are uneven where those of one of the latest streams were")
{
    StreamHabits habits;
    CHECK_FALSE(habits.numbersAreUneven(group, start));
    habits.add(group, numberedRun(true), start);
    CHECK_FALSE(habits.numbersAreUneven(group, start));
    habits.add(group, numberedRun(false), start);
    CHECK(habits.numbersAreUneven(group, start));
    CHECK_FALSE(habits.numbersAreUneven(otherGroup, start));
    CHECK_FALSE(habits.numbersAreUneven(group, start + std::chrono::seconds(601)));
    for (std::uint32_t stream = 0; stream < RecentAnswers::capacity; ++stream) {
        CHECK(habits.numbersAreUneven(group, start));
        habits.add(group, numberedRun(true), start);
    }
    CHECK_FALSE(habits.numbersAreUneven(group, start));
}
