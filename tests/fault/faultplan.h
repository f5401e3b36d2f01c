#ifndef OLEANDERGATE_FAULT_FAULTPLAN_H
#define OLEANDERGATE_FAULT_FAULTPLAN_H

#include "decision/nametable.h"
#include "decision/step.h"

#include <vector>

namespace oleandergate::fault {

//! What goes wrong.
enum class Fault : std::uint8_t {
    None,
    Kill,
    Freeze, //!< The process pauses past its lease and goes on unaware.
    CutConnection, //!< Forwards of the instance break; answers are lost.
    Delay,
    Duplicate, //!< The caller submits again at another instance.
    ServiceDown,
    ServiceSlow,
    AnswerLost, //!< The write takes effect, its answer is lost.
    WriteLate, //!< The write takes effect after its writer gave up on it.
    LeaseLapse, //!< Renewals of the lease stop reaching the service.
    ListStale,
    ClockOffset,
    EndpointDead,
    EndpointSlow,
    EndpointMalformed,
    OperatorRace,
    Stop, //!< Planned stop.
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

//! Whether the matrix passes a step, and why not.
struct StepCoverage
{
    Step step;
    bool covered;
    const char *reason;
};

//! One row for each step; a new step without a row fails the build.
inline constexpr std::array<StepCoverage, static_cast<std::size_t>(Step::Count)> stepCoverage{{
    {Step::Receive, true, ""},
    {Step::Authenticate, false, "no state; covered by the integration tests"},
    {Step::Parse, false, "no state; covered by unit and fuzz tests"},
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
    {Step::ConfigValidate, false, "no state; covered by unit tests"},
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

//! A deliberate defect that a check has to catch.
enum class Mutation : std::uint8_t {
    None,
    SkipOrder, //!< Calls go out when they come, not when it is their turn.
    LoseHistory, //!< A successor overlooks the latest log record.
    MixHistory, //!< A successor files a turn under another program.
    ForgetBudget, //!< A successor overlooks drawn blocks.
    KeepCache, //!< Nothing is released.
    TruncateAnswer,
    ClaimNotExecuted, //!< Unknown is told as not run.
    ForgetIntents, //!< A successor overlooks intents.
    IgnoreLeaving,
    StopAtOnce, //!< A planned stop does not wait.
    RevertConfig, //!< An older version is put in force.
    OverGrant, //!< A grant is spent beyond its reduction.
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

//! Injects \ref fault when \ref step is passed for the \ref occurrence-th time.
struct Injection
{
    Fault fault = Fault::None;
    Step step = Step::Receive;
    std::uint32_t occurrence = 1;
};

//! One run of the matrix.
struct RunPlan
{
    std::uint64_t seed = 1;
    std::vector<Injection> injections{};
    Mutation mutation = Mutation::None;
    bool fencing = false; //!< Endpoints refuse old fencing numbers.
};

} // namespace oleandergate::fault

#endif
