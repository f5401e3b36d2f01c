#include "decision/routetargethistory.h"

#include "decision/routetable.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Added to the timeout of a route, within which a caller takes its streams up: the time in which a change reaches all instances.
constexpr Duration changeDelay = std::chrono::seconds(5);

bool hasEqualTargets(const Route &left, const Route &right)
{
    return std::ranges::equal(left.targets, right.targets, [](const RouteTarget &one, const RouteTarget &other) {
        return one.service == other.service && one.weight == other.weight;
    });
}

} // namespace

void RouteTargetHistory::onReplaced(const std::vector<Route> &before, const std::vector<Route> &after, Time now)
{
    for (auto &[key, entries] : this->formers) {
        std::erase_if(entries, [now](const Former &former) {
            return now - former.replacedAt > former.route.timeout + changeDelay;
        });
    }
    std::erase_if(this->formers, [](const auto &entry) {
        return entry.second.empty();
    });
    std::map<std::pair<std::string, std::string>, const Route *> present;
    for (const Route &route : after) {
        present[{route.host, route.prefix}] = &route;
    }
    for (const Route &route : before) {
        const std::pair<std::string, std::string> key{route.host, route.prefix};
        const auto found = present.find(key);
        const bool isKept = found != present.end() && hasEqualTargets(route, *found->second);
        // A route that was removed may come back with other targets while its streams may be taken up.
        if (route.resumable && !route.targets.empty() && !isKept) {
            this->formers[key].push_back(Former{route, now});
        }
    }
}

std::set<std::string> RouteTargetHistory::servicesOf(const Route &route, std::string_view key, Time now) const
{
    std::set<std::string> services{targetFor(route, key).service};
    const auto found = this->formers.find({route.host, route.prefix});
    if (found == this->formers.end()) {
        return services;
    }
    for (const Former &former : found->second) {
        if (now - former.replacedAt <= former.route.timeout + changeDelay) {
            services.insert(targetFor(former.route, key).service);
        }
    }
    return services;
}

} // namespace oleandergate
