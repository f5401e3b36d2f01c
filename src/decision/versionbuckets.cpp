#include "decision/versionbuckets.h"

#include "decision/hash.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Moves of fewer buckets wait for more, unless endpoints of their version are gone.
constexpr std::size_t minMovedBuckets = versionBucketCount / 16;

//! Shortest time between two moves, unless endpoints of a version are gone.
constexpr Duration minMoveInterval = std::chrono::seconds(1);

//! Returns how many buckets each version should have.
std::map<std::string, std::size_t> targetCounts(const std::map<std::string, std::uint32_t> &slotsByVersion)
{
    std::size_t totalSlots = 0;
    for (const auto &[version, slots] : slotsByVersion) {
        totalSlots += slots;
    }
    std::map<std::string, std::size_t> counts;
    std::vector<std::pair<std::size_t, std::string>> remainders;
    std::size_t assigned = 0;
    for (const auto &[version, slots] : slotsByVersion) {
        if (slots == 0) {
            continue;
        }
        const std::size_t count = std::max<std::size_t>(1, versionBucketCount * slots / totalSlots);
        counts[version] = count;
        assigned += count;
        remainders.emplace_back(versionBucketCount * slots % totalSlots, version);
    }
    if (counts.empty()) {
        return counts;
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (std::size_t index = 0; assigned < versionBucketCount; ++index, ++assigned) {
        counts[remainders[index % remainders.size()].second] += 1;
    }
    // Versions that were raised to one bucket may make the sum too large.
    for (; assigned > versionBucketCount; --assigned) {
        const auto largest = std::max_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
        largest->second -= 1;
    }
    return counts;
}

} // namespace

std::size_t versionBucketOf(std::string_view streamKey)
{
    return static_cast<std::size_t>(hashOf(streamKey) % versionBucketCount);
}

VersionBuckets planVersionBuckets(const VersionBuckets &current, const std::map<std::string, std::uint32_t> &slotsByVersion)
{
    std::map<std::string, std::size_t> missing = targetCounts(slotsByVersion);
    if (missing.empty()) {
        return current;
    }
    VersionBuckets planned(versionBucketCount);
    for (std::size_t bucket = 0; bucket < versionBucketCount && bucket < current.size(); ++bucket) {
        const auto found = missing.find(current[bucket]);
        if (found != missing.end() && found->second > 0) {
            planned[bucket] = current[bucket];
            found->second -= 1;
        }
    }
    auto next = missing.begin();
    for (std::string &version : planned) {
        if (!version.empty()) {
            continue;
        }
        while (next->second == 0) {
            ++next;
        }
        version = next->first;
        next->second -= 1;
    }
    return planned;
}

bool isVersionMoveDue(const VersionBuckets &current,
                      const VersionBuckets &planned,
                      const std::map<std::string, std::uint32_t> &slotsByVersion,
                      Duration sinceMove)
{
    std::size_t moved = planned.size() == current.size() ? 0 : planned.size();
    for (std::size_t bucket = 0; bucket < current.size() && bucket < planned.size(); ++bucket) {
        const auto slots = slotsByVersion.find(current[bucket]);
        if (current[bucket] == planned[bucket]) {
            continue;
        }
        moved += 1;
        if (slots == slotsByVersion.end() || slots->second == 0) {
            return true;
        }
    }
    return moved >= minMovedBuckets && sinceMove >= minMoveInterval;
}

} // namespace oleandergate
