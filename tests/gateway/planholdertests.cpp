#include "gateway/planholder.h"

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

TEST_CASE("The configuration in force never goes back")
{
    PlanHolder holder;
    std::vector<std::uint64_t> seen;
    holder.setListener([&seen](const std::shared_ptr<const ActivePlan> &plan) {
        seen.push_back(plan->configuration.version);
    });
    CHECK(holder.current() == nullptr);
    CHECK(holder.offer(version(4)));
    CHECK(holder.offer(version(9)));
    CHECK_FALSE(holder.offer(version(9)));
    CHECK_FALSE(holder.offer(version(7)));
    CHECK(holder.version() == 9);
    CHECK(seen == std::vector<std::uint64_t>{4, 9});
}
