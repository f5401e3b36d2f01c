#include "decision/routetargets.h"

#include "decision/routetable.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! Returns whether streams begin alike by both.
bool isEqual(const RouteTargets &left, const RouteTargets &right)
{
    return left.isResumable == right.isResumable && std::ranges::equal(left.targets, right.targets, [](const RouteTarget &one, const RouteTarget &other) {
               return one.service == other.service && one.weight == other.weight;
           });
}

} // namespace

void StreamOrigins::add(const RouteTargets &route, std::string_view key)
{
    this->services.insert(targetFor(route.targets, key).service);
    this->mayBeUnresumable = this->mayBeUnresumable || !route.isResumable;
}

RouteTargetMap streamTargets(const std::vector<Route> &routes)
{
    RouteTargetMap targets;
    for (const Route &route : routes) {
        if (route.kind == RouteKind::Stream && !route.targets.empty()) {
            targets[{route.host, route.prefix}] = RouteTargets{route.timeout, route.targets, route.resumable};
        }
    }
    return targets;
}

bool hasSameTargets(const RouteTargetMap &left, const RouteTargetMap &right)
{
    return std::ranges::equal(left, right, [](const auto &one, const auto &other) {
        return one.first == other.first && isEqual(one.second, other.second);
    });
}

void addTargets(std::vector<RouteTargets> &routes, const RouteTargets &route)
{
    const auto known = std::ranges::find_if(routes, [&route](const RouteTargets &entry) {
        return isEqual(entry, route);
    });
    if (known == routes.end()) {
        routes.push_back(route);
    } else {
        known->timeout = std::max(known->timeout, route.timeout);
    }
}

FormerTargets replacedTargets(const RouteTargetMap &before, const RouteTargetMap &after, const FormerTargets &earlier)
{
    FormerTargets replaced;
    for (const auto &[key, route] : before) {
        const auto found = after.find(key);
        // Streams that may last longer than those that begin from now on are to be known for longer.
        if (found == after.end() || !isEqual(route, found->second) || route.timeout > found->second.timeout) {
            addTargets(replaced[key], route);
        }
    }
    for (const auto &[key, route] : after) {
        if (before.contains(key)) {
            continue;
        }
        const RouteTargets *covering = findTargets(before, key.first, key.second);
        if (covering != nullptr) {
            addTargets(replaced[key], *covering);
        }
        for (const auto &[formerKey, former] : earlier) {
            if (formerKey.first == key.first && key.second.starts_with(formerKey.second)) {
                for (const RouteTargets &entry : former) {
                    addTargets(replaced[key], entry);
                }
            }
        }
    }
    return replaced;
}

const RouteTargets *findTargets(const RouteTargetMap &routes, const std::string &host, std::string_view path)
{
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes.find({host, std::string(path.substr(0, end + 1))});
        if (found != routes.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

bool concerns(const RouteKey &key, const std::string &host, std::string_view matchedPrefix, std::string_view path)
{
    return key.first == host && key.second.size() >= matchedPrefix.size() && path.starts_with(key.second);
}

Duration longestTimeout(const RouteTargetMap &routes)
{
    Duration longest{};
    for (const auto &[key, route] : routes) {
        longest = std::max(longest, route.timeout);
    }
    return longest;
}

} // namespace oleandergate
