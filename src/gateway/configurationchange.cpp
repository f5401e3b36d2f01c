#include "gateway/configurationchange.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>

namespace oleandergate {

namespace {

//! A field of a route, a service or the callers' bounds, and whether two of them differ in it.
template <typename Subject>
struct ComparedField
{
    std::string_view name;
    bool (*differs)(const Subject &before, const Subject &after);
};

template <auto Member, typename Subject>
bool differIn(const Subject &before, const Subject &after)
{
    return before.*Member != after.*Member;
}

bool differInKeys(const Organisation &before, const Organisation &after)
{
    return before.keyHashes != after.keyHashes;
}

bool differInTargets(const Route &before, const Route &after)
{
    return !std::ranges::equal(before.targets, after.targets, [](const RouteTarget &left, const RouteTarget &right) {
        return left.service == right.service && left.weight == right.weight;
    });
}

constexpr std::array<ComparedField<Route>, 11> routeFields{{
    {"name", differIn<&Route::name, Route>},
    {"kind", differIn<&Route::kind, Route>},
    {"resumable", differIn<&Route::resumable, Route>},
    {"timeout", differIn<&Route::timeout, Route>},
    {"objective", differIn<&Route::objective, Route>},
    {"event_gap", differIn<&Route::maxEventGap, Route>},
    {"rank", differIn<&Route::rank, Route>},
    {"open", differIn<&Route::isOpen, Route>},
    {"attempts", differIn<&Route::maxAttempts, Route>},
    {"retention", differIn<&Route::retention, Route>},
    {"targets", differInTargets},
}};

constexpr std::array<ComparedField<Organisation>, 3> organisationFields{{
    {"keys", differInKeys},
    {"organisation_rank", differIn<&Organisation::rank, Organisation>},
    {"allowance", differIn<&Organisation::allowance, Organisation>},
}};

constexpr std::array<ComparedField<GatewayService>, 3> serviceFields{{
    {"connections", differIn<&GatewayService::maxConnections, GatewayService>},
    {"engine", differIn<&GatewayService::isEngine, GatewayService>},
    {"tokens_per_event", differIn<&GatewayService::tokensPerEvent, GatewayService>},
}};

constexpr std::array<ComparedField<CallerBounds>, 4> boundFields{{
    {"header_bytes", differIn<&CallerBounds::headerBytes, CallerBounds>},
    {"body_bytes", differIn<&CallerBounds::bodyBytes, CallerBounds>},
    {"header_time", differIn<&CallerBounds::headerTime, CallerBounds>},
    {"idle_time", differIn<&CallerBounds::idleTime, CallerBounds>},
}};

//! Counts what differs, by name.
using Counts = std::map<std::string, std::size_t, std::less<>>;

template <typename Subject, std::size_t Size>
void countFields(const std::array<ComparedField<Subject>, Size> &fields, const Subject &before, const Subject &after, Counts &counts)
{
    for (const ComparedField<Subject> &field : fields) {
        if (field.differs(before, after)) {
            counts[std::string(field.name)] += 1;
        }
    }
}

//! Counts what differs between the entries of two maps; those that only one of them has under \p kind and "_added" or "_removed".
template <typename Key, typename Subject, std::size_t Size>
void countEntries(const std::array<ComparedField<Subject>, Size> &fields,
                  const std::string &kind,
                  const std::map<Key, Subject> &before,
                  const std::map<Key, Subject> &after,
                  Counts &counts)
{
    for (const auto &[key, entry] : before) {
        const auto found = after.find(key);
        if (found == after.end()) {
            counts[kind + "_removed"] += 1;
        } else {
            countFields(fields, entry, found->second, counts);
        }
    }
    for (const auto &[key, entry] : after) {
        if (!before.contains(key)) {
            counts[kind + "_added"] += 1;
        }
    }
}

std::map<std::pair<std::string, std::string>, Route> routesOf(const GatewayConfiguration &configuration)
{
    std::map<std::pair<std::string, std::string>, Route> routes;
    for (const Route &route : configuration.routes) {
        routes[{route.host, route.prefix}] = route;
    }
    return routes;
}

template <typename Subject>
std::map<std::string, Subject> byName(const std::vector<Subject> &list)
{
    std::map<std::string, Subject> found;
    for (const Subject &entry : list) {
        found[entry.name] = entry;
    }
    return found;
}

} // namespace

std::string describeChange(const GatewayConfiguration &before, const GatewayConfiguration &after)
{
    Counts counts;
    countEntries(routeFields, "routes", routesOf(before), routesOf(after), counts);
    countEntries(serviceFields, "services", byName(before.services), byName(after.services), counts);
    countEntries(organisationFields, "organisations", byName(before.organisations), byName(after.organisations), counts);
    countFields(boundFields, before.bounds, after.bounds, counts);
    std::string text;
    for (const auto &[name, count] : counts) {
        text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
    }
    return text;
}

} // namespace oleandergate
