#ifndef OLEANDERGATE_DECISION_POLICYOPTIONS_H
#define OLEANDERGATE_DECISION_POLICYOPTIONS_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstdint>

namespace oleandergate {

//! How an endpoint is chosen for a call.
enum class PlacementRule : std::uint8_t {
    RoundRobin,
    LeastOutstanding,
    CacheAffine, //!< The endpoint that holds the prefix, however loaded it is.
    Estimated //!< Least estimated time among the prefix holder and the least loaded endpoints.
};

//! Names of the rules.
inline constexpr std::array<NamedValue<PlacementRule>, 4> placementRuleNames{{
    {PlacementRule::RoundRobin, "round-robin"},
    {PlacementRule::LeastOutstanding, "least-outstanding"},
    {PlacementRule::CacheAffine, "cache-affine"},
    {PlacementRule::Estimated, "estimated"},
}};

//! In which order waiting calls are taken.
enum class QueueOrder : std::uint8_t {
    Arrival,
    ProgramStart, //!< Oldest program first.
    LeastAttained, //!< Arrival, set back by the service that the program already received.
    Deadline //!< The program that should be done first; those that are late already come last.
};

//! Names of the orders.
inline constexpr std::array<NamedValue<QueueOrder>, 4> queueOrderNames{{
    {QueueOrder::Arrival, "arrival"},
    {QueueOrder::ProgramStart, "program-start"},
    {QueueOrder::LeastAttained, "least-attained"},
    {QueueOrder::Deadline, "deadline"},
}};

//! Parts of the dispatch policy; each can be switched off alone.
struct PolicyOptions
{
    PlacementRule placement = PlacementRule::Estimated;
    QueueOrder order = QueueOrder::LeastAttained;
    bool limitInFlight = true; //!< Hold calls back while every endpoint is full, instead of queueing in the engines.
    bool preempt = true; //!< Interrupt long streams for waiting short work and resume them later.
    bool migrate = true; //!< Interrupt streams that stall and resume them at another endpoint.
    bool avoidSlow = true; //!< Prefer endpoints whose streams make normal progress.
    bool admissionControl = true; //!< Refuse a program's first call when the backlog would make the program late.
    Duration maxAffinityWait = std::chrono::milliseconds(1000); //!< Longest wait for room where a call's prefix is cached.
    std::size_t affinityLookahead = 16; //!< Waiting calls considered while earlier ones wait for their prefix.
    double admissionMargin = 1.2; //!< Predicted time of a program over its deadline at which it is refused.
    double overcommit = 1.0; //!< In-flight calls per batch slot.
    double remoteLoadPenalty = 0.0; //!< Occupied share of slots that an endpoint of another failure domain may be better by and still not be preferred.
    Duration remoteDelay{}; //!< Time that a call to an endpoint of another failure domain costs more.
    double attainedWeight = 1.0; //!< Seconds of queue time per second of service received.
    Duration latePenalty = std::chrono::seconds(2); //!< Set-back of a program that is late already.
    Duration maxAttainedPenalty = std::chrono::seconds(60); //!< Bound on the set-back, so that nothing starves.
    Duration priorityStep = std::chrono::seconds(5); //!< Advance per level of priority.
    Duration quantum = std::chrono::milliseconds(2000); //!< Service before a stream may be interrupted; doubles each time.
    Duration minStallTime = std::chrono::milliseconds(400); //!< Shortest silence taken for a stall.
    double stallFactor = 6.0; //!< Multiple of the usual gap taken for a stall.
    Duration avoidance = std::chrono::seconds(2); //!< How long a stalled endpoint gets no further call.
    double maxMigrationShare = 0.1; //!< Interruptions for stalls, as a share of calls started.
};

//! What a pool's operator wants most.
enum class PolicyGoal : std::uint8_t {
    Programs, //!< Latency of whole programs and service at the crest of a swing.
    ShortCalls //!< Short calls that do not wait behind long ones.
};

//! Names of the wishes, as the configuration has them.
inline constexpr std::array<NamedValue<PolicyGoal>, 2> policyGoalNames{{
    {PolicyGoal::Programs, "programs"},
    {PolicyGoal::ShortCalls, "short-calls"},
}};

//! Returns the policy for \p goal. docs/design/queueing.md has the figures behind it.
PolicyOptions policyFor(PolicyGoal goal);

} // namespace oleandergate

#endif
