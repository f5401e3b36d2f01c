#include "gateway/gatewayconfiguration.h"

#include <algorithm>

namespace oleandergate {

std::optional<Duration> longestRetention(const std::vector<Route> &routes)
{
    std::optional<Duration> longest;
    for (const Route &route : routes) {
        longest = std::max(longest, route.retention);
    }
    return longest;
}

} // namespace oleandergate
