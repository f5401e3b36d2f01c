//! Compares dispatch policies by the users' metrics, with simulations of the decision library in virtual time.

#include "policy/runner.h"
#include "runtime/commandline.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>

namespace {

using namespace oleandergate;
using namespace oleandergate::bench;

constexpr const char *usage = R"(policy-bench: compares dispatch policies by the users' metrics.

Usage:
  policy-bench compare [--seeds=N] [--csv]
  policy-bench check [--deployment=D] [--bound=B]
  policy-bench one --deployment=D --policy=P --load=L --seed=N [--slow]
  policy-bench (-h | --help)

Options:
  --seeds=N       Number of seeds per row; median, minimum and maximum are printed [default: 10].
  --csv           Print comma-separated values.
  --deployment=D  nakhla or talleres.
  --bound=B       Check only this bound.
  --policy=P      Name of a policy, as compare prints it.
  --load=L        Load as a share of the engines' capacity.
  --seed=N        Seed of the workload.
  --slow          Some endpoints have slow phases.
)";

//! Returns options that only place calls, with every other feature off.
PolicyOptions baselineOptions(PlacementRule placement)
{
    PolicyOptions options;
    options.placement = placement;
    options.order = QueueOrder::Arrival;
    options.limitInFlight = false;
    options.preempt = false;
    options.migrate = false;
    options.avoidSlow = false;
    options.admissionControl = false;
    return options;
}

//! Returns the deployment's chosen policy with one feature switched off by \p change.
PolicyOptions chosenOptionsWithout(const Deployment &deployment, const std::function<void(PolicyOptions &)> &change)
{
    PolicyOptions options = policyFor(deployment.goal);
    change(options);
    return options;
}

PolicyOptions clairvoyantOptions()
{
    PolicyOptions options = baselineOptions(PlacementRule::Estimated);
    options.order = QueueOrder::ProgramStart;
    options.limitInFlight = true;
    return options;
}

std::vector<Policy> policies(const Deployment &deployment)
{
    const PolicyOptions chosen = policyFor(deployment.goal);
    return {
        {"round-robin", baselineOptions(PlacementRule::RoundRobin), false, false},
        {"least-outstanding", baselineOptions(PlacementRule::LeastOutstanding), false, false},
        {"cache-affine", baselineOptions(PlacementRule::CacheAffine), false, false},
        {"clairvoyant", clairvoyantOptions(), true, true},
        {"chosen", chosen, false, true},
        {"- program order",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.order = QueueOrder::Arrival;
                              })},
        {"- preemption",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.preempt = false;
                              })},
        {"- affinity wait",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.maxAffinityWait = Duration(0);
                              })},
        {"- migration",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.migrate = false;
                              })},
        {"- slow avoidance",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.avoidSlow = false;
                              })},
        {"- early refusal",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.admissionControl = false;
                              })},
        {"- cache estimate",
         chosenOptionsWithout(deployment,
                              [](PolicyOptions &options) {
                                  options.placement = PlacementRule::LeastOutstanding;
                              })},
        {"- release", chosen, false, false},
    };
}

//! The runs of one policy in one scenario, with different seeds.
struct Cell
{
    Scenario scenario{};
    Policy policy{};
    std::vector<Metrics> runs{};
};

void runCells(std::vector<Cell> &cells, std::uint64_t seeds)
{
    for (Cell &cell : cells) {
        cell.runs.resize(seeds);
    }
    std::atomic<std::size_t> next{0};
    const auto worker = [&]() {
        for (std::size_t job = next++; job < cells.size() * seeds; job = next++) {
            Cell &cell = cells[job / seeds];
            Scenario scenario = cell.scenario;
            scenario.seed = job % seeds + 1;
            cell.runs[job % seeds] = runScenario(scenario, cell.policy);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back(worker);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

double medianOf(const Cell &cell, double Metrics::*field)
{
    std::vector<double> values;
    for (const Metrics &run : cell.runs) {
        values.push_back(run.*field);
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double worstOf(const Cell &cell, double Metrics::*field)
{
    double worst = 0.0;
    for (const Metrics &run : cell.runs) {
        worst = std::max(worst, run.*field);
    }
    return worst;
}

struct Column
{
    const char *name;
    double Metrics::*field;
};

constexpr Column columns[] = {
    {"p50 s", &Metrics::programP50},
    {"p95 s", &Metrics::programP95},
    {"p99 s", &Metrics::programP99},
    {"in time", &Metrics::withinDeadline},
    {"crest", &Metrics::burstWithinDeadline},
    {"goodput", &Metrics::goodput},
    {"short p99", &Metrics::shortSlowdownP99},
    {"recomputed", &Metrics::recomputedShare},
    {"held gone", &Metrics::endedProgramCacheShare},
    {"refused", &Metrics::refusedShare},
    {"interrupts", &Metrics::interruptionsPerCall},
};

void printCells(const std::vector<Cell> &cells, bool csv)
{
    std::printf(csv ? "deployment,load,slow,policy" : "| deployment | load | slow | policy |");
    for (const Column &column : columns) {
        std::printf(csv ? ",%s,%s low,%s high" : " %s |", column.name, column.name, column.name);
    }
    std::printf("\n");
    if (!csv) {
        std::printf("| --- | --- | --- | --- |");
        for (std::size_t index = 0; index < std::size(columns); ++index) {
            std::printf(" --- |");
        }
        std::printf("\n");
    }
    for (const Cell &cell : cells) {
        std::printf(csv ? "%s,%.2f,%s,%s" : "| %s | %.2f | %s | %s |",
                    cell.scenario.deployment->name.c_str(),
                    cell.scenario.load,
                    cell.scenario.slowPhases ? "yes" : "no",
                    cell.policy.name);
        for (const Column &column : columns) {
            std::vector<double> values;
            for (const Metrics &run : cell.runs) {
                values.push_back(run.*column.field);
            }
            const auto [low, high] = std::minmax_element(values.begin(), values.end());
            std::printf(csv ? ",%.4f,%.4f,%.4f" : " %.3g (%.3g-%.3g) |", medianOf(cell, column.field), *low, *high);
        }
        std::printf("\n");
    }
}

int compare(std::uint64_t seeds, bool csv)
{
    std::vector<Cell> cells;
    struct Condition
    {
        double load;
        bool slow;
    };
    for (const Deployment *deployment : {&nakhla(), &talleres()}) {
        for (const Condition &condition : {Condition{0.5, false}, Condition{0.8, false}, Condition{0.95, false}, Condition{1.2, false}, Condition{0.8, true}}) {
            for (const Policy &policy : policies(*deployment)) {
                const bool isVariant = policy.name[0] == '-';
                if (!isVariant || condition.load == 0.8 || condition.load > 1.0) {
                    cells.push_back(Cell{Scenario{deployment, condition.load, 1, condition.slow}, policy});
                }
            }
        }
    }
    runCells(cells, seeds);
    printCells(cells, csv);
    return 0;
}

constexpr std::uint64_t checkSeeds = 10;

Cell runSeeds(const Deployment &deployment, const std::string &name, double load, bool slow = false, Tokens tokenCap = 0)
{
    for (const Policy &policy : policies(deployment)) {
        if (policy.name == name) {
            std::vector<Cell> cells{Cell{Scenario{&deployment, load, 1, slow, tokenCap}, policy}};
            runCells(cells, checkSeeds);
            return cells.front();
        }
    }
    return Cell{};
}

double p95OverRoundRobin(const Deployment &deployment)
{
    return medianOf(runSeeds(deployment, "chosen", 0.8), &Metrics::programP95) / medianOf(runSeeds(deployment, "round-robin", 0.8), &Metrics::programP95);
}

double p95OverClairvoyant(const Deployment &deployment)
{
    return medianOf(runSeeds(deployment, "chosen", 0.8), &Metrics::programP95) / medianOf(runSeeds(deployment, "clairvoyant", 0.8), &Metrics::programP95);
}

double shortSlowdown(const Deployment &deployment)
{
    return medianOf(runSeeds(deployment, "chosen", 0.8), &Metrics::shortSlowdownP99);
}

double tailWithSlowEndpoints(const Deployment &deployment)
{
    return medianOf(runSeeds(deployment, "chosen", 0.8, true), &Metrics::programP99) / medianOf(runSeeds(deployment, "chosen", 0.8), &Metrics::programP99);
}

double endedProgramCacheShare(const Deployment &deployment)
{
    return worstOf(runSeeds(deployment, "chosen", 0.8), &Metrics::endedProgramCacheShare);
}

double goodputLoss(const Deployment &deployment)
{
    return 1.0 - medianOf(runSeeds(deployment, "chosen", 1.2), &Metrics::goodput) / medianOf(runSeeds(deployment, "chosen", 1.0), &Metrics::goodput);
}

double lateInBurst(const Deployment &deployment)
{
    return 1.0 - medianOf(runSeeds(deployment, "chosen", 0.5), &Metrics::burstWithinDeadline);
}

double recomputedShare(const Deployment &deployment)
{
    // Cache-affine placement recomputes only what the sizes of the caches make unavoidable.
    return medianOf(runSeeds(deployment, "chosen", 0.8), &Metrics::recomputedShare)
        - medianOf(runSeeds(deployment, "cache-affine", 0.8), &Metrics::recomputedShare);
}

double highestMinuteOverCap(const Deployment &deployment)
{
    constexpr Tokens tokenCap = 60000;
    return worstOf(runSeeds(deployment, "chosen", 0.8, false, tokenCap), &Metrics::highestMinuteOverCap);
}

//! Upper bound of a metric. Runs are in virtual time and give the same value each time, so the check is exact.
struct Bound
{
    const char *name;
    const char *description;
    double maxValue;
    double (*value)(const Deployment &deployment);
};

constexpr Bound bounds[] = {
    {"p95-over-round-robin", "program p95 over round robin's at 80% load", 0.5, p95OverRoundRobin},
    {"p95-over-clairvoyant", "program p95 over the clairvoyant bound's at 80% load", 1.25, p95OverClairvoyant},
    {"short-slowdown", "short calls' slowdown p99 at 80% load", 3.0, shortSlowdown},
    {"slow-tail", "program p99 with slow endpoints over without", 1.5, tailWithSlowEndpoints},
    {"held-for-gone", "share of cache held for gone programs, worst seed", 0.01, endedProgramCacheShare},
    {"goodput-loss", "goodput lost from 100% to 120% load", 0.05, goodputLoss},
    {"late-at-crest", "programs late at the crest at 50% load", 0.05, lateInBurst},
    {"recomputed", "share of prompt tokens recomputed beyond what the cache sizes force", 0.1, recomputedShare},
    {"highest-minute", "highest minute over its cap, worst seed", 1.0, highestMinuteOverCap},
};

int check(const std::string &onlyDeployment, const std::string &onlyBound)
{
    int failed = 0;
    int checked = 0;
    for (const Deployment *deployment : {&nakhla(), &talleres()}) {
        for (const Bound &bound : bounds) {
            const bool selected = (onlyDeployment.empty() || onlyDeployment == deployment->name) && (onlyBound.empty() || onlyBound == bound.name);
            if (!selected) {
                continue;
            }
            const double value = bound.value(*deployment);
            const bool holds = value <= bound.maxValue;
            std::printf("%s %s %s: %s: %.4g, at most %.4g\n",
                        holds ? "holds" : "FAILS",
                        deployment->name.c_str(),
                        bound.name,
                        bound.description,
                        value,
                        bound.maxValue);
            failed += holds ? 0 : 1;
            checked += 1;
        }
    }
    return failed == 0 && checked > 0 ? 0 : 1;
}

int runOne(const std::string &deployment, const std::string &name, double load, std::uint64_t seed, bool slow)
{
    const Deployment &chosen = deployment == "nakhla" ? nakhla() : talleres();
    for (const Policy &policy : policies(chosen)) {
        if (policy.name == name) {
            Cell cell{Scenario{&chosen, load, seed, slow}, policy};
            cell.runs.push_back(runScenario(cell.scenario, policy));
            printCells({cell}, false);
            return 0;
        }
    }
    std::fprintf(stderr, "policy-bench: no policy '%s'\n", name.c_str());
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("policy-bench", usage, argc, argv);
    const auto number = [&options](const char *key) {
        return std::strtoull(options.at(key).asString().c_str(), nullptr, 10);
    };
    if (options.at("compare").asBool()) {
        return compare(std::max<std::uint64_t>(1, number("--seeds")), options.at("--csv").asBool());
    }
    if (options.at("check").asBool()) {
        const auto optionalText = [&options](const char *key) {
            return options.at(key) ? options.at(key).asString() : std::string();
        };
        return check(optionalText("--deployment"), optionalText("--bound"));
    }
    const double load = std::strtod(options.at("--load").asString().c_str(), nullptr);
    return runOne(options.at("--deployment").asString(), options.at("--policy").asString(), load, number("--seed"), options.at("--slow").asBool());
}
