//! Compares ways in which instances share the allowance of an organisation.

#include "bench/sharing/allowancefleet.h"
#include "decision/nametable.h"

#include <array>
#include <cstdio>

namespace {

using namespace oleandergate;
using namespace oleandergate::bench;

constexpr std::array<NamedValue<AllowanceSharing>, 4> sharingNames{{
    {AllowanceSharing::Unbounded, "unbounded"},
    {AllowanceSharing::EqualShares, "equal shares"},
    {AllowanceSharing::PermitEach, "a permit a call"},
    {AllowanceSharing::Reserves, "reserves"},
}};

struct Scenario
{
    const char *name = "";
    AllowanceLoad load{};
};

const std::array<Scenario, 10> scenarios{{
    {"large, usual load", {800.0, 0.6}},
    {"small, usual load", {5.6, 0.6}},
    {"large, six times its usual", {800.0, 0.6, 3.75}},
    {"small, six times its usual", {5.6, 0.6, 3.75}},
    {"the same, skewed", {100.0, 0.6, 3.75, true}},
    {"five times, requests lost", {100.0, 5.0, 0.0, false, 0.02}},
    {"five times, issuer restarts", {100.0, 5.0, 0.0, false, 0.0, true}},
    {"five times, a quarter ends", {100.0, 5.0, 0.0, true, 0.0, false, true}},
    {"five times, all restart", {100.0, 5.0, 0.0, false, 0.0, false, false, true}},
    {"usual load, a quarter left", {100.0, 0.6, 0.0, false, 0.0, false, false, false, 0.25}},
}};

} // namespace

int main()
{
    std::printf("| way | load | instances | excess | used | messages a call | cut | refused |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Scenario &scenario : scenarios) {
        for (const NamedValue<AllowanceSharing> &sharing : sharingNames) {
            for (const std::size_t size : {8U, 60U, 79U, 420U}) {
                AllowanceFleet fleet(size, scenario.load, sharing.value, 1);
                fleet.run();
                std::printf("| %s | %s | %zu | %+.2f | %.2f | %.2f | %.3f | %.2f |\n",
                            sharing.name.data(),
                            scenario.name,
                            size,
                            fleet.excess(),
                            fleet.used(),
                            fleet.messagesPerCall(),
                            fleet.cutPrograms(),
                            fleet.refusedPrograms());
            }
        }
    }
    return 0;
}
