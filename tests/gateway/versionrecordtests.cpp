#include "gateway/versionrecords.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr RequestFingerprint request = 7;

KvPair recordOf(const std::string &attempt, std::uint32_t number, const std::string &version)
{
    return KvPair{requestRecordKey(request, attempt, number), version, 1};
}

} // namespace

TEST_CASE("Version records: the latest record of each attempt counts")
{
    KvRange records;
    records.pairs = {recordOf("a", 1, "v1"), recordOf("a", 10, "v3"), recordOf("a", 9, "v2"), recordOf("b", 1, "v4")};
    CHECK(versionsOfRequest(records) == std::set<std::string>{"v3", "v4"});
    CHECK(streamRecordKey("a", 9, request) < streamRecordKey("a", 10, request));
    CHECK(streamRecordKey("a", 99, request) < streamRecordKey("a", 100, request));
}

// Guards against streams joined from two versions: an attempt that was sent and brought no event told the version of the next attempt of its request.
TEST_CASE("Version records: an attempt whose records were withdrawn names no version")
{
    KvRange records;
    records.pairs = {recordOf("a", 1, "v3"), recordOf("a", 2, "")};
    CHECK(versionsOfRequest(records).empty());
    records.pairs.push_back(recordOf("b", 1, "v2"));
    CHECK(versionsOfRequest(records) == std::set<std::string>{"v2"});
}
