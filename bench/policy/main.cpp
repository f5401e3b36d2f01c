//! Compares dispatch policies on the users' measures, over the decision library in virtual time.

#include "policy/runner.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>

namespace {

using namespace oleandergate;
using namespace oleandergate::bench;

constexpr const char *usage = R"(policy-bench: dispatch policies on the users' measures.

Usage:
  policy-bench compare [--seeds=N] [--csv]
  policy-bench check
  policy-bench one --deployment=D --policy=P --load=L --seed=N [--slow]
  policy-bench (-h | --help)

Options:
  --seeds=N       Seeds of each cell; median and spread are printed [default: 10].
  --csv           Print comma-separated values.
  --deployment=D  nakhla or talleres.
  --policy=P      Name of a policy, as compare prints it.
  --load=L        Load over what the engines can do.
  --seed=N        Seed of the workload.
  --slow          With slow moments.
)";

PolicyOptions plain(PlacementRule placement)
{
    PolicyOptions options;
    options.placement = placement;
    options.order = QueueOrder::Arrival;
    options.limitInFlight = false;
    options.preempt = false;
    options.migrate = false;
    options.avoidSlow = false;
    options.refuseEarly = false;
    return options;
}

PolicyOptions without(const std::function<void(PolicyOptions &)> &change)
{
    PolicyOptions options;
    change(options);
    return options;
}

PolicyOptions clairvoyantOptions()
{
    PolicyOptions options = plain(PlacementRule::Estimated);
    options.order = QueueOrder::ProgramStart;
    options.limitInFlight = true;
    return options;
}

std::vector<Policy> policies()
{
    return {
        {"round-robin", plain(PlacementRule::RoundRobin), false, false},
        {"least-outstanding", plain(PlacementRule::LeastOutstanding), false, false},
        {"cache-affine", plain(PlacementRule::CacheAffine), false, false},
        {"clairvoyant", clairvoyantOptions(), true, true},
        {"chosen", PolicyOptions(), false, true},
        {"- least attained", without([](PolicyOptions &options) {
             options.order = QueueOrder::Arrival;
         })},
        {"- preemption", without([](PolicyOptions &options) {
             options.preempt = false;
         })},
        {"- migration", without([](PolicyOptions &options) {
             options.migrate = false;
         })},
        {"- slow avoidance", without([](PolicyOptions &options) {
             options.avoidSlow = false;
         })},
        {"- early refusal", without([](PolicyOptions &options) {
             options.refuseEarly = false;
         })},
        {"- cache estimate", without([](PolicyOptions &options) {
             options.placement = PlacementRule::LeastOutstanding;
         })},
        {"- release", PolicyOptions(), false, false},
    };
}

//! A cell of the comparison: all seeds of one policy under one condition.
struct Cell
{
    Scenario scenario{};
    Policy policy{};
    std::vector<Measures> runs{};
};

void runCells(std::vector<Cell> &cells, std::uint64_t seeds)
{
    for (Cell &cell : cells) {
        cell.runs.resize(seeds);
    }
    std::atomic<std::size_t> next{0};
    const auto work = [&]() {
        for (std::size_t job = next++; job < cells.size() * seeds; job = next++) {
            Cell &cell = cells[job / seeds];
            Scenario scenario = cell.scenario;
            scenario.seed = job % seeds + 1;
            cell.runs[job % seeds] = runScenario(scenario, cell.policy);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

double medianOf(const Cell &cell, double Measures::*field)
{
    std::vector<double> values;
    for (const Measures &run : cell.runs) {
        values.push_back(run.*field);
    }
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double worstOf(const Cell &cell, double Measures::*field)
{
    double worst = 0.0;
    for (const Measures &run : cell.runs) {
        worst = std::max(worst, run.*field);
    }
    return worst;
}

struct Column
{
    const char *name;
    double Measures::*field;
};

constexpr Column columns[] = {
    {"p50 s", &Measures::programP50},
    {"p95 s", &Measures::programP95},
    {"p99 s", &Measures::programP99},
    {"in time", &Measures::inDeadline},
    {"crest", &Measures::crestInDeadline},
    {"goodput", &Measures::goodput},
    {"short p99", &Measures::shortSlowdownP99},
    {"recomputed", &Measures::recomputed},
    {"held gone", &Measures::heldForGone},
    {"refused", &Measures::refused},
    {"interrupts", &Measures::interruptions},
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
        std::printf(csv ? "%s,%.2f,%s,%s" : "| %s | %.2f | %s | %s |", cell.scenario.deployment->name.c_str(), cell.scenario.load, cell.scenario.slowMoments ? "yes" : "no", cell.policy.name);
        for (const Column &column : columns) {
            std::vector<double> values;
            for (const Measures &run : cell.runs) {
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
            for (const Policy &policy : policies()) {
                const bool part = policy.name[0] == '-';
                if (!part || condition.load == 0.8 || (condition.load > 1.0 && std::string(policy.name) == "- early refusal")) {
                    cells.push_back(Cell{Scenario{deployment, condition.load, 1, condition.slow}, policy});
                }
            }
        }
    }
    runCells(cells, seeds);
    printCells(cells, csv);
    return 0;
}

bool expectAtMost(const char *what, double value, double bound)
{
    const bool holds = value <= bound;
    std::printf("%s %s: %.4g, bound %.4g\n", holds ? "holds" : "FAILS", what, value, bound);
    return holds;
}

//! Bounds come from the stated targets. Runs are in virtual time and repeat exactly.
int check()
{
    const std::vector<Policy> all = policies();
    const auto named = [&all](const std::string &name) {
        return *std::find_if(all.begin(), all.end(), [&name](const Policy &policy) {
            return policy.name == name;
        });
    };
    constexpr std::uint64_t seeds = 5;
    constexpr Tokens cap = 60000;
    bool good = true;
    for (const Deployment *deployment : {&nakhla(), &talleres()}) {
        std::vector<Cell> cells{
            {{deployment, 0.8}, named("round-robin")},
            {{deployment, 0.8}, named("clairvoyant")},
            {{deployment, 0.8}, named("chosen")},
            {{deployment, 0.8, 1, true}, named("chosen")},
            {{deployment, 1.0}, named("chosen")},
            {{deployment, 1.2}, named("chosen")},
            {{deployment, 0.5}, named("chosen")},
            {{deployment, 0.8, 1, false, cap}, named("chosen")},
        };
        runCells(cells, seeds);
        std::printf("%s\n", deployment->name.c_str());
        const double robin = medianOf(cells[0], &Measures::programP95);
        const double bound = medianOf(cells[1], &Measures::programP95);
        const double chosen = medianOf(cells[2], &Measures::programP95);
        good = expectAtMost("program p95 over round robin's at 80%", chosen / robin, 0.5) && good;
        good = expectAtMost("program p95 over the clairvoyant bound at 80%", chosen / bound, 1.25) && good;
        good = expectAtMost("short calls' slowdown p99 at 80%", medianOf(cells[2], &Measures::shortSlowdownP99), 3.0) && good;
        good = expectAtMost("program p99 with slow endpoints over without", medianOf(cells[3], &Measures::programP99) / medianOf(cells[2], &Measures::programP99), 1.5) && good;
        good = expectAtMost("cache held for gone programs", worstOf(cells[2], &Measures::heldForGone), 0.01) && good;
        const double goodputAtFull = medianOf(cells[4], &Measures::goodput);
        good = expectAtMost("loss of goodput from 100% to 120%", 1.0 - medianOf(cells[5], &Measures::goodput) / goodputAtFull, 0.05) && good;
        good = expectAtMost("programs late at the crest at 50%", 1.0 - medianOf(cells[6], &Measures::crestInDeadline), 0.05) && good;
        good = expectAtMost("highest minute over its cap", worstOf(cells[7], &Measures::highestMinute), 1.0) && good;
    }
    return good ? 0 : 1;
}

int one(const std::string &deployment, const std::string &name, double load, std::uint64_t seed, bool slow)
{
    for (const Policy &policy : policies()) {
        if (policy.name == name) {
            Cell cell{Scenario{deployment == "nakhla" ? &nakhla() : &talleres(), load, seed, slow}, policy};
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
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto number = [&options](const char *key) {
        return std::strtoull(options.at(key).asString().c_str(), nullptr, 10);
    };
    if (options.at("compare").asBool()) {
        return compare(std::max<std::uint64_t>(1, number("--seeds")), options.at("--csv").asBool());
    }
    if (options.at("check").asBool()) {
        return check();
    }
    const double load = std::strtod(options.at("--load").asString().c_str(), nullptr);
    return one(options.at("--deployment").asString(), options.at("--policy").asString(), load, number("--seed"), options.at("--slow").asBool());
}
