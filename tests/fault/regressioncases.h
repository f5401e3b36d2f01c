#ifndef OLEANDERGATE_FAULT_REGRESSIONCASES_H
#define OLEANDERGATE_FAULT_REGRESSIONCASES_H

#include "fault/faultplan.h"

#include <array>

namespace oleandergate::fault {

//! A plan that once failed, and the cause.
struct RegressionCase
{
    std::uint64_t seed;
    Injection first;
    Injection second;
    bool fencing;
    const char *cause; //!< Printed if the case fails again.
};

//! Cases that run before the matrix.
inline constexpr std::array<RegressionCase, 12> regressionCases{{
    {106827, {Fault::ServiceDown, Step::ConfigFetch, 1}, {Fault::Kill, Step::JournalIntent, 1}, false, "a dead instance kept the whole token cap"},
    {128670, {Fault::Kill, Step::Send, 4}, {Fault::ServiceDown, Step::InstanceStart, 1}, true, "a dead instance kept the whole token cap"},
    {134031, {Fault::Freeze, Step::ProgramCreate, 1}, {Fault::ServiceDown, Step::ConfigApply, 1}, false, "an owner with an expired lease assumed an outage"},
    {147391, {Fault::Kill, Step::Place, 1}, {Fault::ServiceDown, Step::ConfigFetch, 1}, false, "a dead instance kept the whole token cap"},
    {37250, {Fault::Freeze, Step::Stream, 3}, {Fault::Freeze, Step::Receive, 1}, true, "a paused owner without peers denied execution by its successor"},
    {42370, {Fault::Kill, Step::JournalIntent, 1}, {Fault::ServiceDown, Step::InstanceStart, 1}, true, "a dead instance kept the whole token cap"},
    {71034, {Fault::Kill, Step::Admit, 1}, {Fault::ServiceDown, Step::LeaseRenew, 1}, true, "a dead instance kept the whole token cap"},
    {86054, {Fault::Freeze, Step::ProgramCreate, 1}, {Fault::ServiceDown, Step::ConfigActivate, 1}, true, "an owner with an expired lease assumed an outage"},
    {87922, {Fault::Kill, Step::Stream, 4}, {Fault::ServiceDown, Step::InstanceStart, 1}, true, "a dead instance kept the whole token cap"},
    {88297, {Fault::Kill, Step::JournalIntent, 6}, {Fault::ServiceDown, Step::Heartbeat, 1}, false, "a dead instance kept the whole token cap"},
    {91572, {Fault::ServiceDown, Step::JournalIntent, 3}, {Fault::Freeze, Step::Admit, 1}, true, "an owner with an expired lease assumed an outage"},
    {93067, {Fault::ServiceDown, Step::ConfigFetch, 1}, {Fault::Kill, Step::Admit, 1}, false, "a dead instance kept the whole token cap"},
}};

} // namespace oleandergate::fault

#endif
