//! Whole streams in forms that endpoints may use, which have to reach their callers.

#include "streamcluster.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

//! Streams that may be resumed, at one endpoint and at several.
constexpr std::array<const char *, 2> resumableTargets{"/turns/1", "/spread/1"};

} // namespace

// Guards against a 502 for a stream at whose place on a kept connection an endpoint wrote an earlier answer once more.
TEST_CASE("Sound streams: a stream that may be resumed is sent again when an unnamed copy of another one comes in its place")
{
    for (const char *target : resumableTargets) {
        CAPTURE(target);
        StreamCluster cluster(1);
        constexpr int streams = 12;
        for (int stream = 0; stream < streams; ++stream) {
            CAPTURE(stream);
            cluster.endpoints[0]->setNextBehaviours({Behaviour::LateUnnamedStream});
            const ReceivedStream received = cluster.receive(target);
            CHECK(received.isWhole());
            CHECK(received.isInOrder());
        }
    }
}

// Guards against refusing answers with interim answers in front of them (RFC 9110, 15.2), and against reading such answers without end.
TEST_CASE("Sound streams: interim answers in front of an answer are read over")
{
    StreamCluster cluster(1);
    for (const char *target : {"/turns/1", "/spread/1", "/single/1"}) {
        CAPTURE(target);
        cluster.endpoints[0]->setNextBehaviours({Behaviour::Interim});
        const ReceivedStream received = cluster.receive(target);
        CHECK(received.isWhole());
        CHECK(received.isInOrder());
        CHECK(received.heads == 1);
    }
    CHECK(cluster.receivedCount() == 3);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::EndlessInterim});
    CHECK(cluster.receive("/turns/1").isWhole());
    // The endpoint notices with its next write, and the stream may have come from its next run by then.
    CHECK(waitFor(
        [&cluster]() {
            return cluster.endpoints[0]->closedFloodCount() == 1;
        },
        GatewayCluster::logTimeoutMs));
}

// Guards against a last event that never reaches its caller because it lacks its empty line.
TEST_CASE("Sound streams: a last event of whole lines without its empty line is passed on at a framed end")
{
    for (const Behaviour form : {Behaviour::EndsWithoutBlankLine, Behaviour::LengthWithoutBlankLine}) {
        CAPTURE(static_cast<int>(form));
        StreamCluster cluster(1);
        for (const char *target : {"/turns/1", "/spread/1", "/single/1"}) {
            CAPTURE(target);
            cluster.endpoints[0]->setNextBehaviours({form});
            const ReceivedStream received = cluster.receive(target);
            CHECK(received.isWhole());
            CHECK(received.isInOrder());
        }
        CHECK(cluster.receivedCount() == 3);
        // Behind a break.
        cluster.endpoints[0]->setNextBehaviours({Behaviour::BreakBehindThird, form});
        const ReceivedStream resumed = cluster.receive();
        CHECK(resumed.isWhole());
        CHECK(resumed.isInOrder());
        CHECK(cluster.receivedCount() == 5);
    }
}

// Guards against a part of an event that reaches its caller as the end of its stream.
TEST_CASE("Sound streams: a framed end inside a line, or with bytes behind it, is no end")
{
    for (const Behaviour form : {Behaviour::EndsInLine, Behaviour::LengthBeforeBlankLine}) {
        CAPTURE(static_cast<int>(form));
        StreamCluster cluster(1);
        cluster.endpoints[0]->setNextBehaviours({form});
        const ReceivedStream received = cluster.receive();
        CHECK(received.isWhole());
        CHECK(received.isInOrder());
        CHECK(cluster.receivedCount() == 2);
        cluster.endpoints[0]->setNextBehaviours({form});
        const ReceivedStream single = cluster.receive("/single/1");
        CHECK(single.isInOrder());
        CHECK_FALSE(single.complete);
    }
}

// Guards against breaking off streams that are cut in front of an event without a number at their end, such as "[DONE]".
TEST_CASE("Sound streams: events without numbers are the end of a stream where other streams of its version end with them")
{
    for (const char *target : resumableTargets) {
        CAPTURE(target);
        StreamCluster cluster(1);
        cluster.endpoints[0]->setNextBehaviours({Behaviour::Done, Behaviour::BreakBeforeDone, Behaviour::Done});
        REQUIRE(cluster.receive(target).isWhole());
        const ReceivedStream received = cluster.receive(target);
        CHECK(received.isWhole());
        CHECK(received.isInOrder());
        CHECK(received.unnumbered == 1);
        CHECK(cluster.receivedCount() == 3);
    }
}

// Guards against events that come twice, or are not the end, where streams of a version end with events without numbers.
TEST_CASE("Sound streams: other events without numbers behind a break are not the end of a stream")
{
    StreamCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Done});
    REQUIRE(cluster.receive().isWhole());
    cluster.endpoints[0]->setNextBehaviours({Behaviour::BreakBehindDone, Behaviour::Done});
    const ReceivedStream behind = cluster.receive();
    CHECK(behind.unnumbered == 1);
    CHECK_FALSE(behind.complete);
    std::vector<Behaviour> unnumbered(4, Behaviour::Unnumbered);
    unnumbered.front() = Behaviour::BreakBehindThird;
    cluster.endpoints[0]->setNextBehaviours(unnumbered);
    const ReceivedStream other = cluster.receive();
    CHECK(other.isInOrder());
    CHECK_FALSE(other.complete);
    CHECK(other.pieces.size() == 3);
}

// Guards against a stream that cannot go on, or goes on at its former weights, because an event in the middle of it stated new ones.
TEST_CASE("Sound streams: a stream goes on at the weights of its last event")
{
    for (const char *target : resumableTargets) {
        CAPTURE(target);
        StreamCluster cluster(1);
        cluster.endpoints[0]->setWeightsVersion(7);
        cluster.endpoints[0]->setNextBehaviours({Behaviour::WeightsChange});
        const ReceivedStream received = cluster.receive(target);
        CHECK(received.isWhole());
        CHECK(received.isInOrder());
        REQUIRE(cluster.receivedCount() == 2);
        CHECK(cluster.endpoints[0]->received()[1].request.header("Oleandergate-Expect-Version") == "8");
    }
}

// Guards against delivering each stream of an endpoint without its last events, whose stated lengths end early and whose rest comes later than the look behind.
TEST_CASE("Sound streams: a stated length of an endpoint whose events followed behind one is waited for longer")
{
    StreamCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::VeryLateShortLength});
    cluster.receive();
    constexpr std::chrono::milliseconds restTime{100};
    std::this_thread::sleep_for(restTime);
    // The connection of the first stream comes back from the pool with the rest.
    CHECK(cluster.receive().isWhole());
    constexpr int streams = 6;
    for (int stream = 0; stream < streams; ++stream) {
        CAPTURE(stream);
        cluster.endpoints[0]->setNextBehaviours({Behaviour::VeryLateShortLength});
        const ReceivedStream received = cluster.receive();
        CHECK(received.isWhole());
        CHECK(received.isInOrder());
    }
}
