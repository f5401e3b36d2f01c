#ifndef OLEANDERGATE_POLICY_RUNNER_H
#define OLEANDERGATE_POLICY_RUNNER_H

#include "decision/policyoptions.h"
#include "policy/workload.h"

#include <vector>

namespace oleandergate::bench {

//! Conditions of one simulated run.
struct Scenario
{
    const Deployment *deployment = nullptr;
    double load = 0.8; //!< Share of the capacity of the engines.
    std::uint64_t seed = 1;
    bool slowPhases = false; //!< A fifth of the endpoints is at times ten times slower.
    Tokens tokenCapPerMinute = 0; //!< 0 for no cap.
};

//! A policy under test.
struct Policy
{
    const char *name = "";
    PolicyOptions options{};
    bool clairvoyant = false; //!< Orders programs by their remaining work, which no real policy can know.
    bool releasesCache = true; //!< Tells the engines to release the cache of programs that have ended.
};

//! Results of one run. Times are in seconds.
struct Metrics
{
    double programP50 = 0.0;
    double programP95 = 0.0;
    double programP99 = 0.0;
    double withinDeadline = 0.0; //!< Share of programs that ended within their deadline, among those whose callers did not abandon them.
    double burstWithinDeadline = 0.0; //!< The same for programs that arrived during the burst.
    double goodput = 0.0; //!< Programs per second that ended within their deadline.
    double shortSlowdownP99 = 0.0; //!< Time of short calls, as a multiple of their time at an idle engine.
    double recomputedShare = 0.0; //!< Prompt tokens that an engine had computed before and computed again, as a share of all prompt tokens.
    double endedProgramCacheShare = 0.0; //!< Share of the cache use, in token-seconds, that belongs to ended programs.
    double refusedShare = 0.0; //!< Share of programs refused at their first call.
    double highestMinuteOverCap = 0.0; //!< Tokens billed in the highest minute, as a share of the cap; 0 without a cap.
    double interruptionsPerCall = 0.0; //!< Interruptions per finished call.
};

//! Simulates \p scenario under \p policy in virtual time. The same arguments give the same results.
Metrics runScenario(const Scenario &scenario, const Policy &policy);

} // namespace oleandergate::bench

#endif
