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
    Tokens outputTokens = 0;
    double toolSeconds = 0.0; //!< Seconds that the tool takes behind the call.
    bool straggler = false;
};

//! Dependent calls of the main line or of a sub-agent.
struct Branch
{
    std::vector<Turn> turns{};
};

//! One program: a main line that forks sub-agents behind one of its turns and waits for them.
struct ProgramPlan
{
    double arrival = 0.0; //!< Seconds from the start.
    double deadline = 0.0; //!< Seconds from the arrival.
    Branch mainBranch{};
    std::size_t forkAfterTurn = 0; //!< Turn behind which the sub-agents run.
    std::vector<Branch> subAgents{};
    bool abandoned = false; //!< The caller dies half way and the program is forgotten.
    bool inBurst = false; //!< Arrives during the swing.
};

//! What a user's programs look like.
struct Deployment
{
    std::string name{};
    int minTurns = 1;
    int maxTurns = 8;
    double meanOutputTokens = 60.0; //!< Tokens.
    double meanNewPromptTokens = 150.0; //!< Tokens.
    double meanToolSeconds = 1.0; //!< Seconds.
    double longShare = 0.0; //!< Programs whose answers are several times longer.
    double longFactor = 1.0;
    double stragglerShare = 0.05; //!< Calls of many times the length.
    double stragglerFactor = 50.0;
    double subAgentShare = 0.3;
    double deadline = 60.0; //!< Seconds.
    double burstFactor = 3.0; //!< Arrival rate during the swing over the rate outside.
    PolicyGoal goal = PolicyGoal::Programs; //!< What the user weighs most.
};

const Deployment &nakhla();
const Deployment &talleres();

//! Pace of the engines that the load is measured against.
inline constexpr double secondsPerToken = 0.02; //!< One token of one call alone in its batch.
inline constexpr double batchSlowdown = 0.5; //!< Share by which a full batch slows each call.
inline constexpr double prefillSecondsPerToken = 0.0002; //!< One uncached prompt token.
inline constexpr std::size_t endpointCount = 10;
inline constexpr std::uint32_t slotsPerEndpoint = 8;
inline constexpr double runSeconds = 400.0;
inline constexpr double burstStartSeconds = 150.0;
inline constexpr double burstSeconds = 25.0;

//! Makes programs that ask for \p load of what the engines can do, apart from the swing.
std::vector<ProgramPlan> makeWorkload(const Deployment &deployment, double load, std::uint64_t seed);

} // namespace oleandergate::bench

#endif
