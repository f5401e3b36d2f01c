#ifndef OLEANDERGATE_DECISION_ROUTETARGETHISTORY_H
#define OLEANDERGATE_DECISION_ROUTETARGETHISTORY_H

#include "decision/route.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandergate {

//! The former targets of routes whose streams may be resumed: a stream that began before a change may be taken up after it. Not thread-safe.
class RouteTargetHistory
{
public:
    //! The routes \p before were replaced by \p after.
    void onReplaced(const std::vector<Route> &before, const std::vector<Route> &after, Time now);

    //! Returns the services at which streams with \p key that are taken up now may have begun: that of the present targets of \p route, and those of its
    //! former ones.
    std::set<std::string> servicesOf(const Route &route, std::string_view key, Time now) const;

private:
    struct Former
    {
        Route route{};
        Time replacedAt{};
    };

    std::map<std::pair<std::string, std::string>, std::vector<Former>> formers; //!< By host and prefix.
};

} // namespace oleandergate

#endif
