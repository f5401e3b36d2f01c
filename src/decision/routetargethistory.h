#ifndef OLEANDERGATE_DECISION_ROUTETARGETHISTORY_H
#define OLEANDERGATE_DECISION_ROUTETARGETHISTORY_H

#include "decision/routetargets.h"

#include <vector>

namespace oleandergate {

//! The former targets of routes for streams: a stream that began before a change may be taken up after it. Knows the changes that this
//! instance itself has made; see RouteTargetLedger for the others. Not thread-safe.
class RouteTargetHistory
{
public:
    //! The routes \p before were replaced by \p after.
    void onReplaced(const std::vector<Route> &before, const std::vector<Route> &after, Time now);

    //! Returns how streams with \p key and the path \p path that are taken up now may have begun: by the present targets of \p route, which \p path
    //! matches, or by its former ones.
    StreamOrigins originsOf(const Route &route, std::string_view path, std::string_view key, Time now) const;

private:
    struct Former
    {
        RouteTargets route{};
        Time lapsesAt{};
    };

    std::map<RouteKey, std::vector<Former>> formers;
};

} // namespace oleandergate

#endif
