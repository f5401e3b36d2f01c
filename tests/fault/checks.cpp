#include "fault/checks.h"

#include "decision/hash.h"
#include "fault/simulation.h"

#include <algorithm>
#include <map>

namespace oleandergate::fault {

namespace {

using Violations = std::vector<std::string>;

//! How long a leaving endpoint may still receive new calls: instances read the endpoint list with a delay.
constexpr Duration leavingGrace = std::chrono::seconds(3);

void checkOrder(const Recorder &recorder, Violations &violations)
{
    std::map<std::pair<ProgramId, std::string>, std::uint64_t> highest;
    std::set<RequestId> seen;
    for (const Arrival &arrival : recorder.arrivals) {
        if (!seen.insert(arrival.request).second) {
            continue;
        }
        std::uint64_t &latest = highest[{arrival.program, arrival.branch}];
        if (arrival.sequence < latest) {
            violations.push_back("order: " + arrival.request + " first reached an endpoint after a later call of its branch");
        }
        latest = std::max(latest, arrival.sequence);
    }
}

void checkAtMostOnce(const Recorder &recorder, Violations &violations)
{
    std::map<RequestId, int> runs;
    for (const Arrival &arrival : recorder.arrivals) {
        if (!arrival.repeatable && ++runs[arrival.request] == 2) {
            violations.push_back("at most once: " + arrival.request + " reached an endpoint twice");
        }
    }
}

void checkBudget(const Recorder &recorder, Violations &violations)
{
    std::map<ProgramId, MicroUnits> spent;
    for (const Arrival &arrival : recorder.arrivals) {
        spent[arrival.program] += callPrice;
    }
    for (const auto &[program, amount] : spent) {
        if (amount > (program.ends_with('1') ? insufficientBudget : programBudget)) {
            violations.push_back("budget: " + program + " exceeded its budget and spent " + std::to_string(amount));
        }
    }
}

void checkNotExecuted(const Recorder &recorder, Violations &violations)
{
    for (const NotExecutedClaim &claim : recorder.notExecutedClaims) {
        for (const Arrival &arrival : recorder.arrivals) {
            // The request must not arrive before the claim, nor later because of a submission that was settled by it.
            const bool before = arrival.at <= claim.at;
            const bool sameOrEarlier = arrival.submission == claim.submission || (arrival.submission < claim.submission && !claim.otherSubmissionsOpen);
            if (arrival.request == claim.request && (before || sameOrEarlier)) {
                violations.push_back("not executed: " + claim.request + " was reported as not executed, but reached an endpoint");
                break;
            }
        }
    }
}

void checkAnswers(const Recorder &recorder, Violations &violations)
{
    for (const ReceivedAnswer &answer : recorder.answers) {
        if (answer.body != expectedAnswer(answer.program, answer.request)) {
            violations.push_back("complete answer: " + answer.request + " received '" + answer.body + "'");
        }
    }
}

const ProgramState *findState(const Simulation &simulation, const ProgramId &program)
{
    for (const auto &instance : simulation.instances) {
        if (!instance->alive || !instance->owner || !instance->owner->ownsSlot(slotOf(program, slotCount))) {
            continue;
        }
        if (const ProgramState *state = instance->owner->findProgram(program)) {
            return state;
        }
    }
    return nullptr;
}

//! Whether \p plan allows the one case in which history may be lost: a turn was answered while the key-value service was
//! down, and its owner was lost before the service was back. docs/PROOF.md lists this case as not proved.
bool mayLosePendingHistory(const RunPlan &plan)
{
    bool serviceDown = false;
    bool ownerLost = false;
    for (const Injection &injection : plan.injections) {
        serviceDown = serviceDown || injection.fault == Fault::ServiceDown;
        ownerLost = ownerLost || injection.fault == Fault::Kill || injection.fault == Fault::Freeze;
    }
    return serviceDown && ownerLost;
}

void checkHistory(const Simulation &simulation, Violations &violations)
{
    for (const ReceivedAnswer &answer : simulation.recorder.answers) {
        const ProgramState *state = findState(simulation, answer.program);
        if (state == nullptr) {
            violations.push_back("history: no live instance has the state of " + answer.program);
            continue;
        }
        const TurnRecord *turn = state->findTurn(answer.request);
        if (turn == nullptr && !(answer.historyPending && mayLosePendingHistory(simulation.plan()))) {
            violations.push_back("history: " + answer.program + " has no turn for the answered request " + answer.request);
        }
    }
    for (const ProgramId &program : simulation.recorder.endedPrograms) {
        const ProgramState *state = findState(simulation, program);
        if (state == nullptr) {
            continue;
        }
        if (!state->isChainIntact()) {
            violations.push_back("history: the hash chain of " + program + " is broken");
        }
        for (const TurnRecord &turn : state->turns) {
            if (!turn.requestId.starts_with(program + "/")) {
                violations.push_back("history: " + turn.requestId + " is recorded in " + program);
            }
        }
    }
}

void checkCache(const Simulation &simulation, Violations &violations)
{
    for (const SimEndpoint &endpoint : simulation.endpoints) {
        for (const ProgramId &program : endpoint.cachedPrograms) {
            if (simulation.recorder.endedPrograms.contains(program)) {
                violations.push_back("cache: an endpoint still caches the ended program " + program);
            }
        }
    }
}

void checkLeaving(const Recorder &recorder, Violations &violations)
{
    for (const Arrival &arrival : recorder.arrivals) {
        const auto leaving = recorder.leavingSince.find(arrival.endpoint);
        if (leaving != recorder.leavingSince.end() && arrival.at > leaving->second + leavingGrace) {
            violations.push_back("leaving: " + arrival.request + " reached an endpoint too long after it began to leave");
        }
    }
}

void checkPeak(const Recorder &recorder, Violations &violations)
{
    std::map<Minute, Tokens> billed;
    for (const Arrival &arrival : recorder.arrivals) {
        billed[minuteOf(arrival.at)] += arrival.tokens;
    }
    for (const auto &[minute, tokens] : billed) {
        if (tokens > peakCap) {
            violations.push_back("peak: more than the cap was billed in one minute: " + std::to_string(tokens) + " tokens");
        }
    }
}

void checkConfig(const Simulation &simulation, Violations &violations)
{
    for (const auto &instance : simulation.instances) {
        if (instance->alive && instance->configVersion != simulation.store->config.version) {
            violations.push_back("configuration: " + instance->id + " has version " + std::to_string(instance->configVersion) + ", the key-value service has "
                                 + std::to_string(simulation.store->config.version));
        }
    }
}

} // namespace

std::vector<std::string> checkInvariants(const Simulation &simulation)
{
    Violations violations = simulation.recorder.violations;
    checkOrder(simulation.recorder, violations);
    checkAtMostOnce(simulation.recorder, violations);
    checkBudget(simulation.recorder, violations);
    checkNotExecuted(simulation.recorder, violations);
    checkAnswers(simulation.recorder, violations);
    checkHistory(simulation, violations);
    checkCache(simulation, violations);
    checkLeaving(simulation.recorder, violations);
    checkPeak(simulation.recorder, violations);
    checkConfig(simulation, violations);
    return violations;
}

} // namespace oleandergate::fault
