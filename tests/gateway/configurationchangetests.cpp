#include "gateway/configurationchange.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

GatewayConfiguration configurationOf(const Route &route)
{
    GatewayConfiguration configuration;
    configuration.routes = {route};
    configuration.services = {GatewayService{"engine", 0, true, 1}};
    return configuration;
}

Route streamRoute()
{
    Route route;
    route.host = "h.example";
    route.prefix = "/turns/";
    route.kind = RouteKind::Stream;
    route.resumable = true;
    route.timeout = std::chrono::seconds(4);
    route.targets = {RouteTarget{"engine", 1}};
    return route;
}

} // namespace

TEST_CASE("Configuration changes: a change of each field that decides about a stream is named")
{
    const GatewayConfiguration before = configurationOf(streamRoute());
    CHECK(describeChange(before, before).empty());
    Route changed = streamRoute();
    changed.resumable = false;
    CHECK(describeChange(before, configurationOf(changed)) == "resumable=1");
    changed = streamRoute();
    changed.kind = RouteKind::Once;
    changed.timeout = std::chrono::seconds(2);
    changed.targets = {RouteTarget{"other", 1}};
    CHECK(describeChange(before, configurationOf(changed)) == "kind=1 targets=1 timeout=1");
    changed = streamRoute();
    changed.prefix = "/";
    CHECK(describeChange(before, configurationOf(changed)) == "routes_added=1 routes_removed=1");
    GatewayConfiguration service = before;
    service.services.front().tokensPerEvent = 4;
    service.bounds.idleTime = std::chrono::seconds(9);
    CHECK(describeChange(before, service) == "idle_time=1 tokens_per_event=1");
    GatewayConfiguration organised = before;
    organised.organisations = {Organisation{"o1", {"a"}, std::nullopt, Allowance{1.0, 1.0}}};
    CHECK(describeChange(before, organised) == "organisations_added=1");
    GatewayConfiguration lowered = organised;
    lowered.organisations.front() = Organisation{"o1", {"b"}, 1, Allowance{0.5, 1.0}};
    CHECK(describeChange(organised, lowered) == "allowance=1 keys=1 organisation_rank=1");
}
