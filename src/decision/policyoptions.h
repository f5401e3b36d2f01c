#ifndef OLEANDERGATE_DECISION_POLICYOPTIONS_H
#define OLEANDERGATE_DECISION_POLICYOPTIONS_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstdint>

namespace oleandergate {

//! Strategy for the choice of an endpoint for a call.
enum class PlacementRule : std::uint8_t {
    RoundRobin,
    LeastOutstanding,
    CacheAffine, //!< The endpoint that has the prefix cached, whatever its load.
    Estimated //!< Shortest estimated time among the endpoints that have the prefix cached and the least loaded ones.
};

//! Names of the strategies.
inline constexpr std::array<NamedValue<PlacementRule>, 4> placementRuleNames{{
    {PlacementRule::RoundRobin, "round-robin"},
    {PlacementRule::LeastOutstanding, "least-outstanding"},
    {PlacementRule::CacheAffine, "cache-affine"},
    {PlacementRule::Estimated, "estimated"},
}};

//! Order in which waiting calls are dispatched.
enum class QueueOrder : std::uint8_t {
    Arrival,
    ProgramStart, //!< Oldest program first.
    LeastAttained, //!< Arrival, delayed by the service time that the program has already received.
    Deadline //!< Earliest program deadline first; programs that have missed it are moved back.
};

//! Names of the orders in which calls wait.
inline constexpr std::array<NamedValue<QueueOrder>, 4> queueOrderNames{{
    {QueueOrder::Arrival, "arrival"},
    {QueueOrder::ProgramStart, "program-start"},
    {QueueOrder::LeastAttained, "least-attained"},
    {QueueOrder::Deadline, "deadline"},
}};

//! Options of the dispatch policy, each independent of the others.
struct PolicyOptions
{
    PlacementRule placement = PlacementRule::Estimated;
    QueueOrder order = QueueOrder::LeastAttained;
    bool limitInFlight = true; //!< Keep calls waiting here while every endpoint is full, instead of queueing them in the engines.
    bool preempt = true; //!< Interrupt long streams in favour of waiting short calls and resume them later.
    bool migrate = true; //!< Interrupt stalled streams and resume them at another endpoint.
    bool avoidSlow = true; //!< Prefer endpoints whose streams progress at normal speed.
    bool admissionControl = true; //!< Refuse the first call of a program that is predicted to miss its deadline.
    Duration maxAffinityWait = std::chrono::milliseconds(1000); //!< Longest wait for a free slot at the endpoint that has a call's prefix cached.
    std::size_t affinityLookahead = 16; //!< Number of waiting calls considered while earlier ones wait for the endpoint with their prefix.
    double admissionMargin = 1.2; //!< A program is refused when its predicted time multiplied by this exceeds the time to its deadline.
    double overcommit = 1.0; //!< Limit of in-flight calls per batch slot.
    double remoteLoadPenalty = 0.0; //!< Added to the load, as a share of the slots, of an endpoint in another failure domain.
    Duration remoteDelay{}; //!< Additional time of a call to an endpoint in another failure domain.
    double attainedWeight = 1.0; //!< LeastAttained: seconds of delay in the queue per second of service received.
    Duration latePenalty = std::chrono::seconds(2); //!< Deadline: a program that has missed its deadline is ordered as if it were this far ahead.
    Duration maxAttainedPenalty = std::chrono::seconds(60); //!< LeastAttained: largest delay in the queue, so that no program starves.
    Duration priorityStep = std::chrono::seconds(5); //!< Advance in the queue per priority level.
    Duration quantum = std::chrono::milliseconds(2000); //!< Service time before a stream may be preempted; doubles with each interruption.
    Duration minStallTime = std::chrono::milliseconds(400); //!< Shortest time without progress that counts as a stall.
    double stallFactor = 6.0; //!< Multiple of the mean gap between tokens that counts as a stall.
    Duration avoidance = std::chrono::seconds(2); //!< How long an endpoint gets no new call after a stall or a failure; doubles when repeated.
    double maxMigrationShare = 0.1; //!< Largest number of interruptions for stalls, as a share of the calls started.
};

//! What the policy of a pool optimises for.
enum class PolicyGoal : std::uint8_t {
    Programs, //!< Latency of whole programs, and service at peak load.
    ShortCalls //!< Latency of short calls: they do not wait behind long ones.
};

//! Names of the goals in the configuration.
inline constexpr std::array<NamedValue<PolicyGoal>, 2> policyGoalNames{{
    {PolicyGoal::Programs, "programs"},
    {PolicyGoal::ShortCalls, "short-calls"},
}};

//! Returns the policy for \p goal. docs/design/queueing.md has the measurements.
PolicyOptions policyFor(PolicyGoal goal);

} // namespace oleandergate

#endif
