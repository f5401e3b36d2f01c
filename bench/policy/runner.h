#ifndef OLEANDERGATE_POLICY_RUNNER_H
#define OLEANDERGATE_POLICY_RUNNER_H

#include "decision/policyoptions.h"
#include "policy/workload.h"

#include <vector>

namespace oleandergate::bench {

//! One run's conditions.
struct Scenario
{
    const Deployment *deployment = nullptr;
    double load = 0.8;
    std::uint64_t seed = 1;
    bool slowPhases = false; //!< A fifth of the endpoints is ten times slower for moments.
    Tokens tokenCapPerMinute = 0; //!< 0 for none.
};

//! A policy under test.
struct Policy
{
    const char *name = "";
    PolicyOptions options{};
    bool clairvoyant = false; //!< Knows how much work each program still needs.
    bool releasesCache = true; //!< Tells engines of programs that are gone.
};

//! What a run showed. Times are in seconds.
struct Metrics
{
    double programP50 = 0.0;
    double programP95 = 0.0;
    double programP99 = 0.0;
    double withinDeadline = 0.0; //!< Share of all programs that did not vanish.
    double burstWithinDeadline = 0.0; //!< The same for those that arrived during the swing.
    double goodput = 0.0; //!< Programs in deadline per second.
    double shortSlowdownP99 = 0.0; //!< Short calls' time over their time alone.
    double recomputedShare = 0.0; //!< Prompt tokens computed again that an engine had held, over prompt tokens.
    double endedProgramCacheShare = 0.0; //!< Token-seconds of cache for programs that are gone, over all token-seconds.
    double refusedShare = 0.0; //!< Share of programs refused at their first call.
    double highestMinuteOverCap = 0.0; //!< Tokens billed in the highest minute over the cap.
    double interruptionsPerCall = 0.0; //!< Per call.
};

Metrics runScenario(const Scenario &scenario, const Policy &policy);

} // namespace oleandergate::bench

#endif
