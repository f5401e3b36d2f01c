#include "policy/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace oleandergate::bench {

namespace {

constexpr double vanishingShare = 0.03;
constexpr int calibrationPrograms = 3000;
constexpr std::uint64_t calibrationSeed = 17;
constexpr double outputSpread = 0.6;

class Maker
{
public:
    Maker(const Deployment &deployment, std::uint64_t seed)
        : deployment(deployment)
        , random(seed)
    {
    }

    ProgramPlan program()
    {
        ProgramPlan plan;
        plan.deadline = this->deployment.deadline;
        const bool isLong = this->chance(this->deployment.longShare);
        const int turns = std::uniform_int_distribution<int>(this->deployment.leastTurns, this->deployment.mostTurns)(this->random);
        plan.mainLine = this->line(turns, isLong);
        plan.forkBehind = static_cast<std::size_t>(turns);
        if (turns > 1 && this->chance(this->deployment.subAgentShare)) {
            plan.forkBehind = static_cast<std::size_t>(turns / 2);
            plan.subAgents = {this->line(2, isLong), this->line(2, isLong)};
        }
        plan.vanishes = this->chance(vanishingShare);
        return plan;
    }

    double gap(double rate)
    {
        return std::exponential_distribution<double>(rate)(this->random);
    }

private:
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    Line line(int turns, bool isLong)
    {
        Line made;
        for (int index = 0; index < turns; ++index) {
            Turn turn;
            const double factor = isLong ? this->deployment.longFactor : 1.0;
            const double mean = std::log(this->deployment.meanOutput * factor) - outputSpread * outputSpread / 2.0;
            double output = std::lognormal_distribution<double>(mean, outputSpread)(this->random);
            turn.straggler = this->chance(this->deployment.stragglerShare);
            output *= turn.straggler ? this->deployment.stragglerFactor : 1.0;
            turn.output = std::max<Tokens>(4, static_cast<Tokens>(output));
            turn.newPrompt = static_cast<Tokens>(1.0 + std::exponential_distribution<double>(1.0 / this->deployment.meanNewPrompt)(this->random));
            turn.pause = std::exponential_distribution<double>(1.0 / this->deployment.meanPause)(this->random);
            made.turns.push_back(turn);
        }
        return made;
    }

    const Deployment &deployment;
    std::mt19937_64 random;
};

//! Seconds of one batch slot that a line takes in a full batch.
double workOf(const Line &line)
{
    double work = 0.0;
    for (const Turn &turn : line.turns) {
        work += static_cast<double>(turn.newPrompt) * prefillSeconds + static_cast<double>(turn.output) * tokenSeconds * (1.0 + batchDrag);
    }
    return work;
}

double meanWork(const Deployment &deployment)
{
    Maker maker(deployment, calibrationSeed);
    double total = 0.0;
    for (int index = 0; index < calibrationPrograms; ++index) {
        const ProgramPlan plan = maker.program();
        total += workOf(plan.mainLine);
        for (const Line &line : plan.subAgents) {
            total += workOf(line);
        }
    }
    return total / calibrationPrograms;
}

} // namespace

const Deployment &nakhla()
{
    static const Deployment deployment{"nakhla", 3, 8, 50.0, 150.0, 1.0, 0.1, 3.0, 0.02, 30.0, 0.4, 90.0, 3.0, PolicyGoal::Programs};
    return deployment;
}

const Deployment &talleres()
{
    static const Deployment deployment{"talleres", 1, 4, 40.0, 200.0, 1.0, 0.2, 5.0, 0.05, 50.0, 0.2, 180.0, 2.0, PolicyGoal::ShortCalls};
    return deployment;
}

std::vector<ProgramPlan> makeWorkload(const Deployment &deployment, double load, std::uint64_t seed)
{
    Maker maker(deployment, seed);
    const double capacity = static_cast<double>(endpointCount) * static_cast<double>(slotsPerEndpoint);
    const double rate = load * capacity / meanWork(deployment);
    std::vector<ProgramPlan> plans;
    double at = 0.0;
    while (true) {
        const bool crest = at >= crestStart && at < crestStart + crestSeconds;
        at += maker.gap(crest ? rate * deployment.crestFactor : rate);
        if (at >= runSeconds) {
            return plans;
        }
        ProgramPlan plan = maker.program();
        plan.arrival = at;
        plan.inCrest = crest;
        plans.push_back(std::move(plan));
    }
}

} // namespace oleandergate::bench
