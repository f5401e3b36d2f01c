#ifndef OLEANDERGATE_DECISION_VERSIONBUCKETS_H
#define OLEANDERGATE_DECISION_VERSIONBUCKETS_H

#include "decision/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oleandergate {

//! Software version at which new streams start, by bucket. Streams are hashed to buckets, so that the version of a stream can be found again
//! without a record of it.
using VersionBuckets = std::vector<std::string>;

//! Fixed for the life of a deployment, as all instances must agree. One bucket is 1/128 of the streams of a service.
inline constexpr std::size_t versionBucketCount = 128;

//! Returns the bucket of a stream. \p streamKey is the same for the stream's first attempt and for all that go on with it.
std::size_t versionBucketOf(std::string_view streamKey);

//! Returns the buckets after as few changes to \p current as give each version its share of \p slotsByVersion, the slots of the endpoints that
//! take new streams. A version with slots has at least one bucket. Returns \p current when there are no slots.
VersionBuckets planVersionBuckets(const VersionBuckets &current, const std::map<std::string, std::uint32_t> &slotsByVersion);

//! Returns whether buckets are to be moved from \p current to \p planned now: at once when a version of \p current has no slots, otherwise when
//! many buckets would move and the latest move was \p sinceMove ago. Streams that began shortly before a move may be refused a resumption.
bool isVersionMoveDue(const VersionBuckets &current,
                      const VersionBuckets &planned,
                      const std::map<std::string, std::uint32_t> &slotsByVersion,
                      Duration sinceMove);

} // namespace oleandergate

#endif
