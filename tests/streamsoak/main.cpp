//! The stream soak: seeded faults of gateways, endpoints and the store under callers that take up their streams elsewhere, judged by what these got.

#include "regressionseeds.h"
#include "runtime/commandline.h"
#include "soak/soaklog.h"
#include "streamjudge.h"
#include "streamrun.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace oleandergate;
using namespace oleandergate::streamsoak;

constexpr const char *usage
    = R"(stream-soak: disturbs gateway processes, endpoints and the store while callers receive streams, and judges by the pieces that callers got.

The programs are those in the folder of the environment variable OLEANDER_BIN.

Usage:
  stream-soak [--seeds=N] [--first-seed=N] [--installation=NAME] [--keep-logs=DIR]
  stream-soak --regressions [--keep-logs=DIR]
  stream-soak (-h | --help)

Options:
  --seeds=N            Number of seeds [default: 1].
  --first-seed=N       The first seed [default: 1].
  --installation=NAME  nakhla-fleet or talleres-bandera, the same with -dense, -changing or -lasting, or one of two mixes of callers, nakhla and talleres
                       [default: nakhla].
  --regressions        Play all seeds that ever failed, each with its installation.
  --keep-logs=DIR      Keep the gateways' logs of seeds with breaches in this folder.
)";

constexpr std::size_t maxDetailedCases = 40; //!< The further ones have a line each.
const soak::LogExcerpt excerpt{8, 700, "        "};

std::string after(Time moment, Time origin)
{
    return moment == Time{} ? "never" : std::to_string(std::chrono::duration_cast<Milliseconds>(moment - origin).count());
}

//! Returns the name of what endpoints did to \p stream.
std::string causeOf(const SeenStream &stream, const Seen &seen)
{
    if (stream.plan->fault != support::Behaviour::Normal) {
        return std::string(faultName(stream.plan->fault));
    }
    for (const Attempt &attempt : stream.attempts) {
        const auto runs = seen.runs.find(attempt.id);
        for (const SeenRun &run : runs == seen.runs.end() ? std::vector<SeenRun>() : runs->second) {
            if (run.received.behaviour == support::Behaviour::EndBehindHalf) {
                return "cutter";
            }
        }
    }
    return "no-fault";
}

void printAttempt(const Attempt &attempt, const Seen &seen, const StreamRun &run)
{
    std::cout << "      " << attempt.id << " at " << attempt.gateway << ", behind [" << attempt.lastEvent << "] of [" << attempt.resumes << "], "
              << after(attempt.beganAt, seen.beganAt) << " to " << after(attempt.endedAt, seen.beganAt) << ", status " << attempt.status << " for "
              << attempt.answeredId
              << (attempt.complete   ? ", complete"
                      : attempt.left ? ", left"
                                     : ", broken off")
              << ":";
    for (std::string event : attempt.events) {
        std::ranges::replace(event, '\n', ' ');
        std::cout << " [" << event << "]";
    }
    std::cout << "\n";
    const auto runs = seen.runs.find(attempt.id);
    for (const SeenRun &each : runs == seen.runs.end() ? std::vector<SeenRun>() : runs->second) {
        std::cout << "        received by " << each.endpoint << " " << each.version << " behind [" << each.received.request.header("Last-Event-Id") << "], "
                  << after(each.received.receivedAt, seen.beganAt) << " to " << after(each.received.endedAt, seen.beganAt)
                  << (each.received.behaviour == support::Behaviour::EndBehindHalf ? ", cut behind half"
                          : each.received.behaviour == support::Behaviour::Normal  ? ", sound"
                                                                                   : ", with its fault")
                  << "\n";
    }
    soak::printLogLines(run.log(attempt.gateway), attempt.id, excerpt);
}

void printCase(const Case &each, const Seen &seen, const StreamRun &run, bool isDetailed)
{
    const SeenStream &stream = *each.stream;
    std::cout << "  breach " << nameIn(breachNames, each.breach) << " " << nameIn(routeNames, stream.plan->route) << " " << causeOf(stream, seen) << " "
              << (stream.plan->program.empty() ? "without" : "with") << "-program naming=" << nameIn(namingNames, stream.plan->naming)
              << " attempts=" << stream.attempts.size() << " " << stream.plan->id << " beside:";
    for (const SeenTrouble &trouble : seen.troubles) {
        if (trouble.at <= stream.attempts.back().endedAt && trouble.at + trouble.planned.duration >= stream.attempts.front().beganAt) {
            std::cout << " " << nameIn(troubleNames, trouble.planned.trouble) << "(" << trouble.planned.target << ")";
        }
    }
    std::cout << "\n";
    for (const Attempt &attempt : stream.attempts) {
        if (isDetailed) {
            printAttempt(attempt, seen, run);
        }
    }
}

//! Plays \p plan and prints what was seen. Returns true when nothing was breached.
bool playSeed(const StreamPlan &plan, const std::string &logFolder)
{
    StreamRun run(plan);
    const std::optional<Seen> seen = run.play();
    if (!seen) {
        std::cout << "seed " << plan.seed << ": the gateways did not become ready" << std::endl;
        return false;
    }
    const StreamJudge judge(*seen);
    std::cout << "seed " << plan.seed << ": links " << (plan.hasLinks ? "yes" : "no") << ", cutters " << (plan.hasCutters ? "yes" : "no") << ", faults "
              << plan.faultPercent << "%, troubles " << seen->troubles.size() << ", streams " << seen->streams.size() << ", whole " << judge.whole
              << ", taken up " << judge.takenUp << ", broken " << judge.broken << ", process faults " << seen->processFaults.size();
    for (const NamedValue<Breach> &row : breachNames) {
        const auto count = judge.counts.find(row.value);
        std::cout << ", " << row.name << " " << (count == judge.counts.end() ? 0 : count->second);
    }
    std::cout << std::endl;
    for (const std::string &fault : seen->processFaults) {
        std::cout << "  " << fault << "\n";
    }
    std::size_t printed = 0;
    for (const Case &each : judge.cases) {
        printCase(each, *seen, run, printed++ < maxDetailedCases);
    }
    if (judge.hasFailed() && !logFolder.empty()) {
        soak::keepLogs(logFolder, plan.seed, gatewaysOf(plan), [&run](std::size_t gateway) {
            return run.log(gateway);
        });
    }
    return !judge.hasFailed();
}

//! Plays all seeds that ever failed. Returns the exit status.
int playRegressions(const std::string &logFolder)
{
    std::size_t failed = 0;
    for (const RegressionSeed &each : regressionSeeds) {
        std::cout << nameIn(installationNames, each.installation) << " " << each.seed << ": " << each.cause << std::endl;
        failed += playSeed(makeStreamPlan(each.seed, each.installation), logFolder) ? 0 : 1;
    }
    std::cout << regressionSeeds.size() << " seeds, " << failed << " with breaches" << std::endl;
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine arguments = parseCommandLine("stream-soak", usage, argc, argv);
    const auto first = static_cast<std::uint64_t>(arguments.at("--first-seed").asLong());
    const auto seeds = static_cast<std::uint64_t>(arguments.at("--seeds").asLong());
    const std::string logFolder = arguments.at("--keep-logs") ? arguments.at("--keep-logs").asString() : std::string();
    const std::optional<Installation> installation = valueIn(installationNames, arguments.at("--installation").asString());
    if (!installation) {
        std::cerr << "stream-soak: no such installation" << std::endl;
        return 2;
    }
    if (arguments.at("--regressions").asBool()) {
        return playRegressions(logFolder);
    }
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        failed += playSeed(makeStreamPlan(seed, *installation), logFolder) ? 0 : 1;
    }
    std::cout << seeds << " seeds, " << failed << " with breaches" << std::endl;
    return failed == 0 ? 0 : 1;
}
