#ifndef OLEANDERGATE_DECISION_STEP_H
#define OLEANDERGATE_DECISION_STEP_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Processing steps of requests, programs, slots, configurations and instances.
//! Errors, the event timeline and the fault matrix refer to steps by these values.
enum class Step : std::uint8_t {
    Receive,
    Authenticate,
    Parse,
    Forward,
    Admit,
    Reserve,
    Order,
    JournalIntent,
    Queue,
    Place,
    Send,
    Stream,
    JournalOutcome,
    Deliver,
    ProgramCreate,
    ProgramEnd,
    CacheRelease,
    SlotClaim,
    SlotRecover,
    SlotHandOver,
    LeaseRenew,
    ConfigValidate,
    ConfigApply,
    ConfigFetch,
    ConfigActivate,
    InstanceStart,
    Heartbeat,
    PeakGrant,
    Drain,
    Stop,
    Count
};

//! Names of the steps in errors and in the event timeline.
inline constexpr std::array<NamedValue<Step>, static_cast<std::size_t>(Step::Count)> stepNames{{
    {Step::Receive, "receive"},
    {Step::Authenticate, "authenticate"},
    {Step::Parse, "parse"},
    {Step::Forward, "forward"},
    {Step::Admit, "admit"},
    {Step::Reserve, "reserve"},
    {Step::Order, "order"},
    {Step::JournalIntent, "journal-intent"},
    {Step::Queue, "queue"},
    {Step::Place, "place"},
    {Step::Send, "send"},
    {Step::Stream, "stream"},
    {Step::JournalOutcome, "journal-outcome"},
    {Step::Deliver, "deliver"},
    {Step::ProgramCreate, "program-create"},
    {Step::ProgramEnd, "program-end"},
    {Step::CacheRelease, "cache-release"},
    {Step::SlotClaim, "slot-claim"},
    {Step::SlotRecover, "slot-recover"},
    {Step::SlotHandOver, "slot-hand-over"},
    {Step::LeaseRenew, "lease-renew"},
    {Step::ConfigValidate, "config-validate"},
    {Step::ConfigApply, "config-apply"},
    {Step::ConfigFetch, "config-fetch"},
    {Step::ConfigActivate, "config-activate"},
    {Step::InstanceStart, "instance-start"},
    {Step::Heartbeat, "heartbeat"},
    {Step::PeakGrant, "peak-grant"},
    {Step::Drain, "drain"},
    {Step::Stop, "stop"},
}};

//! Returns the name of \p step.
constexpr std::string_view stepName(Step step)
{
    return nameIn(stepNames, step);
}

} // namespace oleandergate

#endif
