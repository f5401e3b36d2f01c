#include "policy/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace oleandergate::bench {

namespace {

constexpr double abandonedShare = 0.03;
constexpr int calibrationPrograms = 3000;
constexpr std::uint64_t calibrationSeed = 17;
constexpr int subAgentTurns = 2;
constexpr Tokens minOutputTokens = 4;
constexpr double outputSpread = 0.6; //!< Standard deviation of the logarithm of a call's output length.

//! Generates random programs of a deployment.
class ProgramGenerator
{
public:
    ProgramGenerator(const Deployment &deployment, std::uint64_t seed)
        : deployment(deployment)
        , random(seed)
    {
    }

    ProgramPlan nextProgram()
    {
        ProgramPlan plan;
        plan.deadline = this->deployment.deadline;
        const bool isLong = this->chance(this->deployment.longShare);
        const int turns = std::uniform_int_distribution<int>(this->deployment.minTurns, this->deployment.maxTurns)(this->random);
        plan.mainBranch = this->makeBranch(turns, isLong);
        plan.forkAfterTurn = static_cast<std::size_t>(turns);
        if (turns > 1 && this->chance(this->deployment.subAgentShare)) {
            plan.forkAfterTurn = static_cast<std::size_t>(turns / 2);
            plan.subAgents = {this->makeBranch(subAgentTurns, isLong), this->makeBranch(subAgentTurns, isLong)};
        }
        plan.abandoned = this->chance(abandonedShare);
        return plan;
    }

    //! Returns the time in seconds until the next arrival, for \p rate arrivals per second.
    double nextArrivalGap(double rate)
    {
        return std::exponential_distribution<double>(rate)(this->random);
    }

private:
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    Branch makeBranch(int turns, bool isLong)
    {
        Branch branch;
        for (int index = 0; index < turns; ++index) {
            Turn turn;
            const double factor = isLong ? this->deployment.longFactor : 1.0;
            const double mean = std::log(this->deployment.meanOutputTokens * factor) - outputSpread * outputSpread / 2.0;
            double outputTokens = std::lognormal_distribution<double>(mean, outputSpread)(this->random);
            turn.straggler = this->chance(this->deployment.stragglerShare);
            outputTokens *= turn.straggler ? this->deployment.stragglerFactor : 1.0;
            turn.outputTokens = std::max<Tokens>(minOutputTokens, static_cast<Tokens>(outputTokens));
            turn.newPromptTokens = static_cast<Tokens>(1.0 + std::exponential_distribution<double>(1.0 / this->deployment.meanNewPromptTokens)(this->random));
            turn.toolSeconds = std::exponential_distribution<double>(1.0 / this->deployment.meanToolSeconds)(this->random);
            branch.turns.push_back(turn);
        }
        return branch;
    }

    const Deployment &deployment;
    std::mt19937_64 random;
};

//! Returns the time in seconds for which a branch occupies one slot of a full batch.
double workSecondsOf(const Branch &branch)
{
    double work = 0.0;
    for (const Turn &turn : branch.turns) {
        work += static_cast<double>(turn.newPromptTokens) * prefillSecondsPerToken
            + static_cast<double>(turn.outputTokens) * secondsPerToken * (1.0 + batchSlowdown);
    }
    return work;
}

//! Returns the mean work of the deployment's programs, estimated from a fixed sample.
double meanWorkSeconds(const Deployment &deployment)
{
    ProgramGenerator generator(deployment, calibrationSeed);
    double total = 0.0;
    for (int index = 0; index < calibrationPrograms; ++index) {
        const ProgramPlan plan = generator.nextProgram();
        total += workSecondsOf(plan.mainBranch);
        for (const Branch &branch : plan.subAgents) {
            total += workSecondsOf(branch);
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
    ProgramGenerator generator(deployment, seed);
    const double capacity = static_cast<double>(endpointCount) * static_cast<double>(slotsPerEndpoint);
    const double rate = load * capacity / meanWorkSeconds(deployment);
    std::vector<ProgramPlan> plans;
    double arrival = 0.0;
    while (true) {
        const bool burst = arrival >= burstStartSeconds && arrival < burstStartSeconds + burstSeconds;
        arrival += generator.nextArrivalGap(burst ? rate * deployment.burstFactor : rate);
        if (arrival >= runSeconds) {
            return plans;
        }
        ProgramPlan plan = generator.nextProgram();
        plan.arrival = arrival;
        plan.inBurst = burst;
        plans.push_back(std::move(plan));
    }
}

} // namespace oleandergate::bench
