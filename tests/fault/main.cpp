//! The fault matrix: injects each fault at each step, alone and in seeded pairs, into simulations of the decision library.

#include "fault/peaksimulation.h"
#include "fault/regressioncases.h"
#include "fault/simulation.h"
#include "runtime/commandline.h"

#include <atomic>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace oleandergate;
using namespace oleandergate::fault;

constexpr const char *usage = R"(fault-matrix: injects each fault at each step of a simulated cluster and checks the invariants.

Usage:
  fault-matrix [--runs=N] [--table]
  fault-matrix --seed=N --fault=F --step=S [--occurrence=K] [--with-fault=F --with-step=S] [--mutation=M] [--fencing]
  fault-matrix --mutations
  fault-matrix (-h | --help)

Options:
  --runs=N         Number of runs: first single faults, then pairs [default: 12000].
  --table          Print the results by step as a Markdown table.
  --seed=N         Run one case with this seed.
  --fault=F        Name of the fault.
  --step=S         Name of the step.
  --occurrence=K   Inject when the step is reached for the K-th time [default: 1].
  --with-fault=F   Name of the second fault of a pair.
  --with-step=S    Name of the step of the second fault.
  --mutation=M     Name of a deliberate defect to switch on.
  --fencing        Endpoints reject outdated fencing numbers.
  --mutations      Check that each deliberate defect is detected.
)";

constexpr std::size_t maxPrintedFailures = 12;
constexpr int maxMutationSeeds = 400;
constexpr std::uint64_t peakRuns = 300;
constexpr std::uint64_t singleRounds = 10; // runs of each single fault at each step before pairs begin
constexpr std::uint64_t maxOccurrence = 6;
constexpr std::uint64_t planSeedFactor = 7919; // times the seed of the simulation: seed for the choice of its faults

//! Counts the runs of one row of the table.
struct Tally
{
    std::size_t runs = 0;
    std::size_t injected = 0; //!< Runs in which all planned faults were injected.
    std::size_t failed = 0;
};

//! Returns the command line options that repeat \p plan.
std::string commandLineOptions(const RunPlan &plan)
{
    std::string text = "--seed=" + std::to_string(plan.seed);
    const char *faultOption = " --fault=";
    const char *stepOption = " --step=";
    for (const Injection &injection : plan.injections) {
        text += faultOption + std::string(nameIn(faultNames, injection.fault)) + stepOption + std::string(stepName(injection.step));
        if (faultOption == std::string(" --fault=")) {
            text += " --occurrence=" + std::to_string(injection.occurrence);
        }
        faultOption = " --with-fault=";
        stepOption = " --with-step=";
    }
    return text + (plan.fencing ? " --fencing" : "");
}

//! Returns the steps at which faults are injected.
std::vector<Step> injectableSteps()
{
    std::vector<Step> steps;
    for (const StepCoverage &coverage : stepCoverage) {
        if (coverage.covered) {
            steps.push_back(coverage.step);
        }
    }
    return steps;
}

//! Returns the plan of run \p number, counted from 0: several rounds of each fault at each step, then random pairs.
RunPlan planForRun(std::uint64_t number)
{
    const std::vector<Step> steps = injectableSteps();
    const std::uint64_t faults = static_cast<std::uint64_t>(Fault::Count) - 1;
    const std::uint64_t singles = faults * steps.size();
    RunPlan plan;
    plan.seed = number + 1;
    plan.fencing = number % 2 == 1;
    std::mt19937_64 random(plan.seed * planSeedFactor);
    const auto injectionAt = [&](std::uint64_t combination) {
        Injection injection;
        injection.fault = static_cast<Fault>(1 + combination % faults);
        injection.step = steps[combination / faults % steps.size()];
        injection.occurrence = static_cast<std::uint32_t>(1 + random() % maxOccurrence);
        const bool reachedOnce = injection.step == Step::InstanceStart || injection.step == Step::Drain || injection.step == Step::Stop
            || injection.step == Step::ProgramCreate || injection.step == Step::ConfigApply;
        injection.occurrence = reachedOnce ? 1 : injection.occurrence;
        return injection;
    };
    plan.injections.push_back(injectionAt(number % singles));
    if (number >= singles * singleRounds) {
        plan.injections.front() = injectionAt(random() % singles);
        plan.injections.push_back(injectionAt(random() % singles));
        plan.injections.back().occurrence = 1;
    }
    return plan;
}

bool runOne(const RunPlan &plan, bool print)
{
    Simulation simulation(plan);
    const RunResult result = simulation.run();
    if (print) {
        std::printf("answered %zu, refused %zu, longest wait %.2f s, injected %s\n",
                    result.answered,
                    result.refused,
                    toSeconds(result.longestWait),
                    result.injected ? "yes" : "no");
    }
    for (const std::string &violation : result.violations) {
        if (print) {
            std::printf("violation: %s\n", violation.c_str());
        }
    }
    return result.violations.empty();
}

//! Runs the regression cases and returns a line for each that fails.
std::vector<std::string> runRegressions()
{
    std::vector<std::string> failures;
    for (const RegressionCase &regression : regressionCases) {
        const RunPlan plan{regression.seed, {regression.first, regression.second}, Mutation::None, regression.fencing};
        Simulation simulation(plan);
        const RunResult result = simulation.run();
        if (!result.violations.empty()) {
            failures.push_back(commandLineOptions(plan) + " (" + regression.cause + "): " + result.violations.front());
        }
    }
    return failures;
}

int runMatrix(std::uint64_t runs, bool table)
{
    std::mutex mutex;
    std::map<Step, std::map<Fault, Tally>> tallies;
    std::map<Fault, Tally> pairs;
    std::set<Step> reachedSteps;
    std::vector<std::string> failures = runRegressions();
    std::atomic<std::uint64_t> next{0};
    std::size_t answered = 0;
    const auto work = [&]() {
        for (std::uint64_t number = next++; number < runs; number = next++) {
            const RunPlan plan = planForRun(number);
            Simulation simulation(plan);
            const RunResult result = simulation.run();
            const std::lock_guard lock(mutex);
            const Injection &injection = plan.injections.front();
            Tally &tally = plan.injections.size() > 1 ? pairs[injection.fault] : tallies[injection.step][injection.fault];
            tally.runs += 1;
            tally.injected += result.injected ? 1 : 0;
            tally.failed += result.violations.empty() ? 0 : 1;
            answered += result.answered;
            reachedSteps.insert(result.reachedSteps.begin(), result.reachedSteps.end());
            if (!result.violations.empty()) {
                failures.push_back(commandLineOptions(plan) + ": " + result.violations.front());
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::size_t injected = 0;
    if (table) {
        std::printf("| step | runs | injected | failed |\n| --- | --- | --- | --- |\n");
    }
    for (const auto &[step, row] : tallies) {
        Tally total;
        for (const auto &[fault, tally] : row) {
            total.runs += tally.runs;
            total.injected += tally.injected;
            total.failed += tally.failed;
            if (tally.injected == 0) {
                std::printf("never injected: %s at %s\n", std::string(nameIn(faultNames, fault)).c_str(), std::string(stepName(step)).c_str());
            }
        }
        injected += total.injected;
        if (table) {
            std::printf("| %s | %zu | %zu | %zu |\n", std::string(stepName(step)).c_str(), total.runs, total.injected, total.failed);
        }
    }
    Tally pairTotal;
    for (const auto &[fault, tally] : pairs) {
        pairTotal.runs += tally.runs;
        pairTotal.injected += tally.injected;
        pairTotal.failed += tally.failed;
    }
    if (table) {
        std::printf("| pairs of faults | %zu | %zu | %zu |\n", pairTotal.runs, pairTotal.injected, pairTotal.failed);
    }
    bool complete = true;
    for (const StepCoverage &coverage : stepCoverage) {
        if (coverage.covered && !reachedSteps.contains(coverage.step)) {
            std::printf("step never reached: %s\n", std::string(stepName(coverage.step)).c_str());
            complete = false;
        }
    }
    for (std::uint64_t seed = 1; seed <= peakRuns; ++seed) {
        const PeakResult peak = simulatePeak(seed, true);
        if (peak.maxBilledPerMinute > peak.cap || peak.charged == 0) {
            failures.push_back("peak simulation with seed " + std::to_string(seed) + ": billed " + std::to_string(peak.maxBilledPerMinute)
                               + " tokens in one minute, cap " + std::to_string(peak.cap));
        }
    }
    std::sort(failures.begin(), failures.end());
    for (std::size_t index = 0; index < std::min(maxPrintedFailures, failures.size()); ++index) {
        std::printf("failed: %s\n", failures[index].c_str());
    }
    std::printf("%llu runs, %zu with all faults injected, %zu answers, %zu failed\n",
                static_cast<unsigned long long>(runs),
                injected + pairTotal.injected,
                answered,
                failures.size());
    return failures.empty() && complete ? 0 : 1;
}

//! The check that must detect a defect: violations are compared with \ref check as prefix.
struct ExpectedDetection
{
    Mutation mutation;
    const char *check;
};

constexpr std::array<ExpectedDetection, static_cast<std::size_t>(Mutation::Count) - 2> expectedDetections{{
    {Mutation::SkipOrder, "order:"},
    {Mutation::LoseHistory, "history:"},
    {Mutation::MixHistory, "history:"},
    {Mutation::ForgetBudget, "budget:"},
    {Mutation::KeepCache, "cache:"},
    {Mutation::TruncateAnswer, "complete answer:"},
    {Mutation::ClaimNotExecuted, "not executed:"},
    {Mutation::ForgetIntents, "at most once:"},
    {Mutation::IgnoreLeaving, "leaving:"},
    {Mutation::StopAtOnce, "stop:"},
    {Mutation::RevertConfig, "configuration:"},
}};

//! Returns the first seed whose peak simulation detects an instance that uses its old grant after a reduction; 0 if none does.
std::uint64_t findOverGrant()
{
    for (std::uint64_t seed = 1; seed <= peakRuns; ++seed) {
        const PeakResult peak = simulatePeak(seed, false);
        if (peak.maxBilledPerMinute > peak.cap) {
            return seed;
        }
    }
    return 0;
}

int runMutations()
{
    int missed = 0;
    for (const ExpectedDetection &expected : expectedDetections) {
        int caughtBy = 0;
        const char *name = nameIn(mutationNames, expected.mutation).data();
        for (int seed = 1; seed <= maxMutationSeeds && caughtBy == 0; ++seed) {
            RunPlan plan;
            plan.seed = static_cast<std::uint64_t>(seed);
            plan.mutation = expected.mutation;
            plan.injections.push_back(
                Injection{seed % 2 == 0 ? Fault::Kill : Fault::Freeze, seed % 3 == 0 ? Step::Stream : Step::Send, static_cast<std::uint32_t>(1 + seed % 5)});
            Simulation simulation(plan);
            const RunResult result = simulation.run();
            for (const std::string &violation : result.violations) {
                if (caughtBy == 0 && violation.starts_with(expected.check)) {
                    caughtBy = seed;
                    std::printf("%-16s caught with seed %d: %s\n", name, seed, violation.c_str());
                }
            }
        }
        if (caughtBy == 0) {
            std::printf("%-16s NOT caught\n", name);
            missed += 1;
        }
    }
    const std::uint64_t overGrant = findOverGrant();
    std::printf("%-16s %s with seed %llu\n", "over-grant", overGrant == 0 ? "NOT caught" : "caught", static_cast<unsigned long long>(overGrant));
    missed += overGrant == 0 ? 1 : 0;
    return missed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("fault-matrix", usage, argc, argv);
    if (options.at("--mutations").asBool()) {
        return runMutations();
    }
    if (!options.at("--seed")) {
        return runMatrix(std::strtoull(options.at("--runs").asString().c_str(), nullptr, 10), options.at("--table").asBool());
    }
    RunPlan plan;
    plan.seed = std::strtoull(options.at("--seed").asString().c_str(), nullptr, 10);
    plan.fencing = options.at("--fencing").asBool();
    const auto add = [&plan](const std::string &fault, const std::string &step, std::uint32_t occurrence) {
        const auto knownFault = valueIn(faultNames, fault);
        const auto knownStep = valueIn(stepNames, step);
        if (!knownFault) {
            std::cerr << "fault-matrix: there is no fault '" << fault << "'\n";
        }
        if (!knownStep) {
            std::cerr << "fault-matrix: there is no step '" << step << "'\n";
        }
        if (knownFault && knownStep) {
            plan.injections.push_back(Injection{*knownFault, *knownStep, occurrence});
        }
        return knownFault && knownStep;
    };
    const auto occurrence = static_cast<std::uint32_t>(std::strtoul(options.at("--occurrence").asString().c_str(), nullptr, 10));
    bool known = add(options.at("--fault").asString(), options.at("--step").asString(), occurrence);
    if (options.at("--with-fault")) {
        known = add(options.at("--with-fault").asString(), options.at("--with-step").asString(), 1) && known;
    }
    if (options.at("--mutation")) {
        const auto mutation = valueIn(mutationNames, options.at("--mutation").asString());
        if (!mutation) {
            std::cerr << "fault-matrix: there is no mutation '" << options.at("--mutation").asString() << "'\n";
        }
        known = known && mutation.has_value();
        plan.mutation = mutation.value_or(Mutation::None);
    }
    if (!known) {
        return 2;
    }
    return runOne(plan, true) ? 0 : 1;
}
