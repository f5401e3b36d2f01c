#ifndef OLEANDERGATE_DECISION_ROUTETARGETS_H
#define OLEANDERGATE_DECISION_ROUTETARGETS_H

#include "decision/route.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandergate {

//! Added to the timeout of a route, within which a caller takes its streams up: the time in which a change reaches all instances.
inline constexpr Duration targetChangeDelay = std::chrono::seconds(5);

//! The host and the path prefix of a route.
using RouteKey = std::pair<std::string, std::string>;

//! The targets of a route for streams.
struct RouteTargets
{
    Duration timeout{}; //!< As in Route.
    std::vector<RouteTarget> targets{};
    bool isResumable = true; //!< As in Route. Streams that begin while it is not leave nothing by which they could go on later.
};

//! The targets of all routes for streams, in one version of the configuration.
using RouteTargetMap = std::map<RouteKey, RouteTargets>;

//! Targets that a change replaced, by the route that the streams concerned match from then on, or matched until then.
using FormerTargets = std::map<RouteKey, std::vector<RouteTargets>>;

//! How streams that are taken up may have begun.
struct StreamOrigins
{
    std::set<std::string> services{};
    bool mayBeUnresumable = false; //!< Some may have begun while their route could not be resumed.

    //! Adds how streams with \p key begin by \p route.
    void add(const RouteTargets &route, std::string_view key);
};

//! Returns the targets of those of \p routes that are for streams.
RouteTargetMap streamTargets(const std::vector<Route> &routes);

//! Returns whether the streams of all routes go to the same services by both, in the same shares, and may be resumed by both or by none.
bool hasSameTargets(const RouteTargetMap &left, const RouteTargetMap &right);

//! Adds \p route to \p routes, or has streams of the same targets among them last as long.
void addTargets(std::vector<RouteTargets> &routes, const RouteTargets &route);

//! Returns the targets that streams had by \p before and do not have by \p after, also those that may be resumed by one of the two only or might last
//! longer before. A route that was added
//! takes over streams of the route with the longest prefix of its own, and those that had other targets by \p earlier, the former targets of the routes in \p
//! before.
FormerTargets replacedTargets(const RouteTargetMap &before, const RouteTargetMap &after, const FormerTargets &earlier);

//! Returns the targets of the route that matches \p path at \p host; nullptr when none does.
const RouteTargets *findTargets(const RouteTargetMap &routes, const std::string &host, std::string_view path);

//! Returns whether \p key is a route that \p path matches or matched before or after a change, where it now matches a route with the prefix
//! \p matchedPrefix: one of that prefix, or of a longer one that was removed.
bool concerns(const RouteKey &key, const std::string &host, std::string_view matchedPrefix, std::string_view path);

//! Returns the longest time for which a stream of \p routes may last.
Duration longestTimeout(const RouteTargetMap &routes);

} // namespace oleandergate

#endif
