#ifndef OLEANDERGATE_POLICY_WORKLOAD_H
#define OLEANDERGATE_POLICY_WORKLOAD_H

#include "decision/ids.h"
#include "decision/policyoptions.h"
#include "decision/time.h"

#include <string>
#include <vector>

namespace oleandergate::bench {

//! One model call of a program.
struct Turn
{
    Tokens newPromptTokens = 0; //!< Tokens added to the conversation before the call.
    Tokens outputTokens = 0; //!< Tokens that the call generates.
    double toolSeconds = 0.0; //!< Run time of the tool that the program uses after the call.
    bool straggler = false; //!< The call generates many times the usual number of tokens.
};

//! Calls of the main branch or of a sub-agent; each one starts after the previous one has ended.
struct Branch
{
    std::vector<Turn> turns{};
};

//! One program: a main branch that starts sub-agents after one of its turns and waits for them.
struct ProgramPlan
{
    double arrival = 0.0; //!< Seconds from the start of the run.
    double deadline = 0.0; //!< Seconds from the arrival.
    Branch mainBranch{};
    std::size_t forkAfterTurn = 0; //!< Number of turns of the main branch before the sub-agents start.
    std::vector<Branch> subAgents{};
    bool abandoned = false; //!< The caller crashes after two calls of a branch, and the program is forgotten.
    bool inBurst = false; //!< Arrives during the burst.
};

//! Distribution of a user's programs.
struct Deployment
{
    std::string name{};
    int minTurns = 1;
    int maxTurns = 8;
    double meanOutputTokens = 60.0; //!< Tokens.
    double meanNewPromptTokens = 150.0; //!< Tokens.
    double meanToolSeconds = 1.0; //!< Seconds.
    double longShare = 0.0; //!< Share of programs whose answers are longer by longFactor.
    double longFactor = 1.0;
    double stragglerShare = 0.05; //!< Share of calls whose answers are longer by stragglerFactor.
    double stragglerFactor = 50.0;
    double subAgentShare = 0.3; //!< Share of programs that start sub-agents.
    double deadline = 60.0; //!< Seconds.
    double burstFactor = 3.0; //!< Arrival rate during the burst, as a multiple of the normal rate.
    PolicyGoal goal = PolicyGoal::Programs; //!< What the user's policy optimises for.
};

const Deployment &nakhla();
const Deployment &talleres();

// The engines' speed, from which their capacity is computed.
inline constexpr double secondsPerToken = 0.02; //!< Time per generated token of a call that is alone in its batch.
inline constexpr double batchSlowdown = 0.5; //!< Additional time per token in a full batch, as a share of the time alone.
inline constexpr double prefillSecondsPerToken = 0.0002; //!< Time per uncached prompt token.
inline constexpr std::size_t endpointCount = 10;
inline constexpr std::uint32_t slotsPerEndpoint = 8;
inline constexpr double runSeconds = 400.0; //!< Time in which programs arrive.
inline constexpr double burstStartSeconds = 150.0;
inline constexpr double burstSeconds = 25.0;

//! Generates the programs of one run. Outside the burst, they need the share \p load of the engines' capacity.
std::vector<ProgramPlan> makeWorkload(const Deployment &deployment, double load, std::uint64_t seed);

} // namespace oleandergate::bench

#endif
