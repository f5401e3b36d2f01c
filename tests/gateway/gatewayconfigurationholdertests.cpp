#include "gateway/gatewayconfigurationholder.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

GatewayConfiguration version(std::uint64_t number)
{
    GatewayConfiguration configuration;
    configuration.version = number;
    return configuration;
}

} // namespace

TEST_CASE("The active configuration is never replaced by an older version")
{
    GatewayConfigurationHolder holder;
    std::vector<std::uint64_t> versions;
    holder.setListener([&versions](const std::shared_ptr<const ActiveGatewayConfiguration> &active) {
        versions.push_back(active->configuration.version);
    });
    CHECK(holder.current() == nullptr);
    CHECK(holder.activateIfNewer(version(4), Time{}));
    CHECK(holder.activateIfNewer(version(9), Time{}));
    CHECK_FALSE(holder.activateIfNewer(version(9), Time{}));
    CHECK_FALSE(holder.activateIfNewer(version(7), Time{}));
    CHECK(holder.version() == 9);
    CHECK(versions == std::vector<std::uint64_t>{4, 9});
}

// Guards against requests that are refused for want of a route which a newer version has, while that version is on its way.
TEST_CASE("The active configuration is outdated from the report of a newer version until that version is active")
{
    GatewayConfigurationHolder holder;
    CHECK_FALSE(holder.isOutdated());
    holder.activateIfNewer(version(4), Time{});
    holder.announce(9);
    holder.announce(7);
    CHECK(holder.isOutdated());
    holder.activateIfNewer(version(7), Time{});
    CHECK(holder.isOutdated());
    holder.activateIfNewer(version(9), Time{});
    CHECK_FALSE(holder.isOutdated());
}
