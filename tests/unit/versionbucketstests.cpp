#include "decision/versionbuckets.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace oleandergate;

namespace {

std::size_t countOf(const VersionBuckets &buckets, const std::string &version)
{
    return static_cast<std::size_t>(std::count(buckets.begin(), buckets.end(), version));
}

std::size_t movedBetween(const VersionBuckets &before, const VersionBuckets &after)
{
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < before.size(); ++bucket) {
        moved += before[bucket] != after[bucket] ? 1 : 0;
    }
    return moved;
}

} // namespace

TEST_CASE("Buckets follow the slots of the versions")
{
    const VersionBuckets planned = planVersionBuckets({}, {{"v1", 30}, {"v2", 10}});
    REQUIRE(planned.size() == versionBucketCount);
    CHECK(countOf(planned, "v1") == 96);
    CHECK(countOf(planned, "v2") == 32);
    CHECK(planVersionBuckets({}, {{"v1", 0}}).empty());
}

TEST_CASE("A version with one endpoint among thousands has a bucket")
{
    const VersionBuckets planned = planVersionBuckets({}, {{"v1", 28000}, {"v2", 8}, {"v3", 8}});
    CHECK(countOf(planned, "v2") == 1);
    CHECK(countOf(planned, "v3") == 1);
    CHECK(countOf(planned, "v1") == versionBucketCount - 2);
}

// Guards against streams that cannot be resumed in a roll-out: each moved bucket leaves the version of its latest streams open.
TEST_CASE("A roll-out, one endpoint after the other, moves each bucket once")
{
    for (const std::uint32_t endpoints : {9U, 45U, 3500U}) {
        VersionBuckets buckets = planVersionBuckets({}, {{"v1", endpoints}});
        std::size_t moved = 0;
        for (std::uint32_t newer = 1; newer <= endpoints; ++newer) {
            const VersionBuckets planned = planVersionBuckets(buckets, {{"v1", endpoints - newer}, {"v2", newer}});
            moved += movedBetween(buckets, planned);
            buckets = planned;
        }
        CHECK(countOf(buckets, "v2") == versionBucketCount);
        CHECK(moved == versionBucketCount);
    }
}

TEST_CASE("Small moves wait for more, unless the endpoints of a version are gone")
{
    const std::map<std::string, std::uint32_t> before{{"v1", 40}, {"v2", 40}};
    const VersionBuckets buckets = planVersionBuckets({}, before);
    const auto isDue = [&buckets](const std::map<std::string, std::uint32_t> &slots, Duration sinceMove) {
        return isVersionMoveDue(buckets, planVersionBuckets(buckets, slots), slots, sinceMove);
    };
    CHECK_FALSE(isDue(before, std::chrono::hours(1)));
    CHECK_FALSE(isDue({{"v1", 40}, {"v2", 39}}, std::chrono::hours(1)));
    CHECK(isDue({{"v1", 40}, {"v2", 20}}, std::chrono::seconds(1)));
    CHECK_FALSE(isDue({{"v1", 40}, {"v2", 20}}, std::chrono::milliseconds(900)));
    CHECK(isDue({{"v1", 40}}, Duration::zero()));
    CHECK(isVersionMoveDue({}, planVersionBuckets({}, before), before, std::chrono::seconds(1)));
}
