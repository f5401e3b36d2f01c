#include "decision/routetargethistory.h"

#include <algorithm>

namespace oleandergate {

void RouteTargetHistory::onReplaced(const std::vector<Route> &before, const std::vector<Route> &after, Time now)
{
    FormerTargets earlier;
    for (auto &[key, entries] : this->formers) {
        std::erase_if(entries, [now](const Former &former) {
            return now > former.lapsesAt;
        });
        for (const Former &former : entries) {
            earlier[key].push_back(former.route);
        }
    }
    std::erase_if(this->formers, [](const auto &entry) {
        return entry.second.empty();
    });
    for (const auto &[key, routes] : replacedTargets(streamTargets(before), streamTargets(after), earlier)) {
        for (const RouteTargets &route : routes) {
            this->formers[key].push_back(Former{route, now + route.timeout + targetChangeDelay});
        }
    }
}

StreamOrigins RouteTargetHistory::originsOf(const Route &route, std::string_view path, std::string_view key, Time now) const
{
    StreamOrigins origins;
    origins.add(RouteTargets{route.timeout, route.targets, route.resumable}, key);
    for (const auto &[formerKey, entries] : this->formers) {
        if (!concerns(formerKey, route.host, route.prefix, path)) {
            continue;
        }
        for (const Former &former : entries) {
            if (now <= former.lapsesAt) {
                origins.add(former.route, key);
            }
        }
    }
    return origins;
}

} // namespace oleandergate
