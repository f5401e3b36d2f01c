#include "decision/routetargetledger.h"

#include <algorithm>

namespace oleandergate {

namespace {

void append(FormerTargets &all, const FormerTargets &added)
{
    for (const auto &[key, routes] : added) {
        for (const RouteTargets &route : routes) {
            addTargets(all[key], route);
        }
    }
}

} // namespace

void RouteTargetLedger::reset()
{
    this->loaded = true;
    this->revision = 0;
    this->present = VersionedTargets();
    this->formers.clear();
}

void RouteTargetLedger::setPresent(VersionedTargets targets, std::uint64_t newRevision)
{
    if (newRevision > this->revision) {
        this->revision = newRevision;
        if (targets.hasUnresumable) {
            this->lastComplete = targets.routes;
        }
        this->present = std::move(targets);
    }
}

void RouteTargetLedger::addFormer(const std::string &key, FormerTargets targets, Duration retention, Time now)
{
    std::erase_if(this->lapses, [now](const auto &entry) {
        return now > entry.second;
    });
    const Time lapsesAt = this->lapses.try_emplace(key, now + retention).first->second;
    this->formers[key] = Former{std::move(targets), retention, lapsesAt};
}

void RouteTargetLedger::dropFormer(const std::string &key)
{
    this->formers.erase(key);
    this->lapses.erase(key);
}

bool RouteTargetLedger::isLoaded() const
{
    return this->loaded;
}

bool RouteTargetLedger::isRead() const
{
    return this->loaded && this->revision > 0;
}

bool RouteTargetLedger::holds(const VersionedTargets &targets) const
{
    return this->isRead() && this->present.hasUnresumable && hasSameTargets(this->present.routes, targets.routes)
        && std::ranges::all_of(targets.routes, [this](const auto &entry) {
               return this->present.routes.at(entry.first).timeout >= entry.second.timeout;
           });
}

bool RouteTargetLedger::isAsNewAs(const VersionedTargets &targets) const
{
    const bool isSameVersion = this->present.version == targets.version && this->present.hasUnresumable;
    return this->isRead() && (isSameVersion || this->isNewerThan(targets));
}

bool RouteTargetLedger::isNewerThan(const VersionedTargets &targets) const
{
    return this->present.version > targets.version;
}

Duration RouteTargetLedger::longestResumableTimeout(Time now) const
{
    Duration longest{};
    const auto add = [&longest](const RouteTargets &route) {
        longest = route.isResumable ? std::max(longest, route.timeout) : longest;
    };
    for (const auto &[key, route] : this->present.routes) {
        add(route);
    }
    for (const auto &[key, former] : this->formers) {
        if (now > former.lapsesAt) {
            continue;
        }
        for (const auto &[routeKey, routes] : former.targets) {
            std::ranges::for_each(routes, add);
        }
    }
    return longest;
}

std::optional<RouteTargetLedger::Change> RouteTargetLedger::changeTo(const VersionedTargets &targets, const std::vector<VersionedTargets> &unrecorded) const
{
    const bool isBehind = targets.version > 0 && !this->holds(targets) && !this->isAsNewAs(targets);
    const bool lacksTargets = std::ranges::any_of(unrecorded, [this](const VersionedTargets &begun) {
        return !hasSameTargets(begun.routes, this->present.routes);
    });
    if (!this->loaded || (!isBehind && !lacksTargets)) {
        return std::nullopt;
    }
    FormerTargets earlier;
    for (const auto &[key, former] : this->formers) {
        append(earlier, former.targets);
    }
    Change change;
    change.expectedRevision = this->revision;
    change.present = isBehind ? targets : this->present;
    change.former = replacedTargets(this->present.routes, change.present.routes, earlier);
    if (this->isRead() && !this->present.hasUnresumable) {
        this->addLeftOut(change, change.former);
    }
    change.retention = std::max(longestTimeout(this->present.routes), longestTimeout(change.present.routes));
    for (const VersionedTargets &begun : unrecorded) {
        append(change.former, replacedTargets(begun.routes, change.present.routes, earlier));
        change.retention = std::max(change.retention, longestTimeout(begun.routes));
    }
    change.retention += targetChangeDelay;
    return change;
}

void RouteTargetLedger::addLeftOut(const Change &change, FormerTargets &former) const
{
    for (const auto &[key, route] : change.present.routes) {
        const auto before = this->lastComplete.find(key);
        const bool wasUnresumable = before != this->lastComplete.end() && !before->second.isResumable;
        if (route.isResumable && (wasUnresumable || !this->present.routes.contains(key))) {
            RouteTargets leftOut = route;
            leftOut.isResumable = false;
            addTargets(former[key], leftOut);
        }
    }
}

void RouteTargetLedger::addOrigins(const Route &route, std::string_view path, std::string_view key, Time now, StreamOrigins &origins) const
{
    // Differs from the targets of the route if the record is behind the configuration, or the other way round.
    const RouteTargets *presentTargets = findTargets(this->present.routes, route.host, path);
    if (presentTargets != nullptr) {
        origins.add(*presentTargets, key);
    }
    for (const auto &[recordKey, former] : this->formers) {
        if (now > former.lapsesAt) {
            continue;
        }
        const Time addedAt = former.lapsesAt - former.retention;
        for (const auto &[routeKey, routes] : former.targets) {
            if (!concerns(routeKey, route.host, route.prefix, path)) {
                continue;
            }
            for (const RouteTargets &targets : routes) {
                if (now > addedAt + targets.timeout + targetChangeDelay) {
                    continue;
                }
                origins.add(targets, key);
            }
        }
    }
}

} // namespace oleandergate
