#ifndef OLEANDERGATE_FAULT_FAULTPLAN_H
#define OLEANDERGATE_FAULT_FAULTPLAN_H

#include "decision/nametable.h"
#include "decision/step.h"

#include <vector>

namespace oleandergate::fault {

//! Faults that the simulation injects.
enum class Fault : std::uint8_t {
    None,
    Kill,
    Freeze, //!< The process pauses until after its lease has expired, then continues without noticing.
    CutConnection, //!< Messages between the instance and its peers are lost.
    Delay, //!< The process pauses for less than its lease.
    Duplicate, //!< Each caller submits its latest request a second time, at any instance.
    ServiceDown, //!< The key-value service does not answer.
    ServiceSlow, //!< The key-value service answers late.
    AnswerLost, //!< The key-value service carries out the operation, but its answer is lost.
    WriteLate, //!< The key-value service carries out the operation after its caller has timed out.
    LeaseLapse, //!< Renewals of the lease do not reach the key-value service.
    ListStale, //!< The instance does not read changes of the endpoint list.
    ClockOffset, //!< The clock of the instance is set forward or back.
    EndpointDead, //!< An endpoint refuses connections.
    EndpointSlow, //!< An endpoint receives requests, but does not answer in time.
    EndpointMalformed, //!< An endpoint answers with a malformed response.
    OperatorRace, //!< Two operators write a configuration based on the same version.
    Stop, //!< An operator stops the instance; it drains first.
    Count
};

inline constexpr std::array<NamedValue<Fault>, static_cast<std::size_t>(Fault::Count)> faultNames{{
    {Fault::None, "none"},
    {Fault::Kill, "kill"},
    {Fault::Freeze, "freeze"},
    {Fault::CutConnection, "cut-connection"},
    {Fault::Delay, "delay"},
    {Fault::Duplicate, "duplicate"},
    {Fault::ServiceDown, "service-down"},
    {Fault::ServiceSlow, "service-slow"},
    {Fault::AnswerLost, "answer-lost"},
    {Fault::WriteLate, "write-late"},
    {Fault::LeaseLapse, "lease-lapse"},
    {Fault::ListStale, "list-stale"},
    {Fault::ClockOffset, "clock-offset"},
    {Fault::EndpointDead, "endpoint-dead"},
    {Fault::EndpointSlow, "endpoint-slow"},
    {Fault::EndpointMalformed, "endpoint-nonsense"},
    {Fault::OperatorRace, "operator-race"},
    {Fault::Stop, "stop"},
}};

//! Whether the fault matrix covers a step.
struct StepCoverage
{
    Step step;
    bool covered;
    const char *reason; //!< Why the step is not covered; empty if it is.
};

//! One row for each step, in the order of \ref Step; a step without a row fails the build.
inline constexpr std::array<StepCoverage, static_cast<std::size_t>(Step::Count)> stepCoverage{{
    {Step::Receive, true, ""},
    {Step::Authenticate, false, "stateless; covered by the integration tests"},
    {Step::Parse, false, "stateless; covered by unit and fuzz tests"},
    {Step::Forward, true, ""},
    {Step::Admit, true, ""},
    {Step::Reserve, true, ""},
    {Step::Order, true, ""},
    {Step::JournalIntent, true, ""},
    {Step::Queue, true, ""},
    {Step::Place, true, ""},
    {Step::Send, true, ""},
    {Step::Stream, true, ""},
    {Step::JournalOutcome, true, ""},
    {Step::Deliver, true, ""},
    {Step::ProgramCreate, true, ""},
    {Step::ProgramEnd, true, ""},
    {Step::CacheRelease, true, ""},
    {Step::SlotClaim, true, ""},
    {Step::SlotRecover, true, ""},
    {Step::SlotHandOver, true, ""},
    {Step::LeaseRenew, true, ""},
    {Step::ConfigValidate, false, "stateless; covered by unit tests"},
    {Step::ConfigApply, true, ""},
    {Step::ConfigFetch, true, ""},
    {Step::ConfigActivate, true, ""},
    {Step::InstanceStart, true, ""},
    {Step::Heartbeat, true, ""},
    {Step::PeakGrant, true, ""},
    {Step::Drain, true, ""},
    {Step::Stop, true, ""},
}};

constexpr bool coversEachStep()
{
    for (std::size_t index = 0; index < stepCoverage.size(); ++index) {
        if (stepCoverage[index].step != static_cast<Step>(index)) {
            return false;
        }
    }
    return true;
}
static_assert(coversEachStep(), "each step needs a row in the fault matrix");

//! Deliberate defects, each of which a check must detect.
enum class Mutation : std::uint8_t {
    None,
    SkipOrder, //!< Calls are sent on arrival instead of in the order of their sequence numbers.
    LoseHistory, //!< A new slot owner ignores the latest log record.
    MixHistory, //!< A new slot owner swaps the turns of two programs.
    ForgetBudget, //!< A new slot owner ignores the budget blocks drawn so far.
    KeepCache, //!< Endpoints keep the cached prefixes of ended programs.
    TruncateAnswer, //!< Callers receive answers without their last byte.
    ClaimNotExecuted, //!< Every error states that the request was not executed, even if the outcome is unknown.
    ForgetIntents, //!< A new slot owner ignores journalled intents.
    IgnoreLeaving, //!< Calls are sent to endpoints that are leaving.
    StopAtOnce, //!< A planned stop ends the process without draining.
    RevertConfig, //!< An older version of the configuration is activated.
    OverGrant, //!< An instance continues with its old peak grant after the grant was reduced.
    Count
};

inline constexpr std::array<NamedValue<Mutation>, static_cast<std::size_t>(Mutation::Count)> mutationNames{{
    {Mutation::None, "none"},
    {Mutation::SkipOrder, "skip-order"},
    {Mutation::LoseHistory, "lose-history"},
    {Mutation::MixHistory, "mix-history"},
    {Mutation::ForgetBudget, "forget-budget"},
    {Mutation::KeepCache, "keep-cache"},
    {Mutation::TruncateAnswer, "truncate-answer"},
    {Mutation::ClaimNotExecuted, "claim-not-run"},
    {Mutation::ForgetIntents, "forget-intents"},
    {Mutation::IgnoreLeaving, "ignore-leaving"},
    {Mutation::StopAtOnce, "stop-at-once"},
    {Mutation::RevertConfig, "revert-config"},
    {Mutation::OverGrant, "over-grant"},
}};

//! Injects \ref fault when \ref step is reached for the \ref occurrence-th time, counted over all instances.
struct Injection
{
    Fault fault = Fault::None;
    Step step = Step::Receive;
    std::uint32_t occurrence = 1;
};

//! Describes one run of the matrix. The same plan always gives the same run.
struct RunPlan
{
    std::uint64_t seed = 1;
    std::vector<Injection> injections{};
    Mutation mutation = Mutation::None;
    bool fencing = false; //!< Endpoints reject repeatable requests with outdated fencing numbers.
};

} // namespace oleandergate::fault

#endif
