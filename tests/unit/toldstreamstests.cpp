#include "decision/toldstreams.h"

#include "wire/codec.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Duration ms = std::chrono::milliseconds(1);
const Time start = Time{} + std::chrono::hours(1);
const StreamOrigin first{"engine", "v1"};
const StreamOrigin second{"engine", "v2"};

} // namespace

TEST_CASE("Told streams: what is queued is told once, by origin")
{
    ToldStreams streams;
    streams.tell(1, first);
    streams.tell(2, second);
    streams.tell(3, first);
    const std::vector<ToldStreams::Group> groups = streams.takeQueued(2);
    REQUIRE(groups.size() == 2);
    CHECK(groups[0].origin == first);
    CHECK(groups[1].streams == std::vector<std::uint64_t>{2});
    REQUIRE(streams.hasQueued());
    CHECK(streams.takeQueued(2).front().streams == std::vector<std::uint64_t>{3});
    CHECK_FALSE(streams.hasQueued());
}

TEST_CASE("Told streams: an origin is known until it expires")
{
    ToldStreams streams;
    streams.onTold(ToldStreams::Group{first, {1, 2}}, start);
    streams.onTold(ToldStreams::Group{first, {2}}, start + 500 * ms);
    CHECK(streams.find(1) == first);
    CHECK_FALSE(streams.find(3));
    streams.expire(start + 1 * ms);
    CHECK_FALSE(streams.find(1));
    CHECK(streams.find(2) == first);
}

// Guards against streams joined from two versions: attempts of one request began at different ones, and the caller does not say which it takes up.
TEST_CASE("Told streams: what instances tell differently is not known")
{
    ToldStreams streams;
    streams.onTold(ToldStreams::Group{first, {1}}, start);
    CHECK(streams.findAll(1) == std::vector<StreamOrigin>{first});
    streams.onTold(ToldStreams::Group{second, {1}}, start);
    CHECK_FALSE(streams.find(1));
    CHECK(streams.findAll(1) == std::vector<StreamOrigin>{first, second});
    streams.onTold(ToldStreams::Group{second, {1}}, start);
    CHECK_FALSE(streams.find(1));
}

TEST_CASE("Told streams: the key depends on the attempt and on the request")
{
    CHECK(toldStreamKey("a", 1) == toldStreamKey("a", 1));
    CHECK(toldStreamKey("a", 1) != toldStreamKey("b", 1));
    CHECK(toldStreamKey("a", 1) != toldStreamKey("a", 2));
    CHECK(toldStreamKey("", 1) != toldStreamKey("", 2));
}

TEST_CASE("Told streams: reports and queries keep their content between instances")
{
    const std::string bytes = encodeStreamReport(StreamReport{"front-1", {ToldStreams::Group{first, {1, 2}}, ToldStreams::Group{second, {3}}}});
    CHECK(hasReportMark(bytes));
    const Result<StreamReport> report = decodeStreamReport(bytes);
    REQUIRE(report);
    CHECK(report.value().instance == "front-1");
    REQUIRE(report.value().groups.size() == 2);
    CHECK(report.value().groups[0].origin == first);
    CHECK(report.value().groups[1].streams == std::vector<std::uint64_t>{3});
    // Builds that do not know it try these.
    CHECK_FALSE(decodeLoadReport(bytes));
    CHECK_FALSE(decodeAssignmentReport(bytes));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeStreamReport(bytes.substr(0, size)));
    }
    const Result<PeerMessage> query = decodePeerMessage(encodePeerMessage(StreamOriginQuery{"r1", 7}));
    REQUIRE(query);
    REQUIRE(std::holds_alternative<StreamOriginQuery>(query.value()));
    CHECK(std::get<StreamOriginQuery>(query.value()).attempt == "r1");
    CHECK(std::get<StreamOriginQuery>(query.value()).request == 7);
    const Result<PeerMessage> reply = decodePeerMessage(encodePeerMessage(StreamOriginReply{{first, second}}));
    REQUIRE(reply);
    REQUIRE(std::holds_alternative<StreamOriginReply>(reply.value()));
    CHECK(std::get<StreamOriginReply>(reply.value()).origins == std::vector<StreamOrigin>{first, second});
}

// A report has to fit into a datagram of 1,400 bytes with its authentication code.
TEST_CASE("Told streams: a full report fits into a packet")
{
    constexpr std::size_t largestReport = 1300;
    ToldStreams streams;
    for (std::uint64_t stream = 0; stream < 200; ++stream) {
        streams.tell(stream, stream % 2 == 0 ? first : second);
    }
    CHECK(encodeStreamReport(StreamReport{"front-1~1796651564097213", streams.takeQueued(96)}).size() <= largestReport);
}
