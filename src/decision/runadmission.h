#ifndef OLEANDERGATE_DECISION_RUNADMISSION_H
#define OLEANDERGATE_DECISION_RUNADMISSION_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstdint>

namespace oleandergate {

//! Whether a request may run now; later values are stricter.
enum class RunVerdict : std::uint8_t {
    Allowed,
    AllowedIsolated, //!< Endpoints have ended under it: it is to run beside as few other requests as possible.
    Wait, //!< Another run of the request is under way, whose end decides, or its turn to run isolated has not come.
    Refused //!< It is taken for the cause of the crashes.
};

inline constexpr std::array<NamedValue<RunVerdict>, 4> runVerdictNames{{
    {RunVerdict::Allowed, "allowed"},
    {RunVerdict::AllowedIsolated, "allowed-isolated"},
    {RunVerdict::Wait, "wait"},
    {RunVerdict::Refused, "refused"},
}};

//! Verdict on a request, with what decided it.
struct RunAdmission
{
    RunVerdict verdict = RunVerdict::Allowed;
    std::uint32_t crashes = 0; //!< As in CrashRecord.
    Duration sinceLastCrash{}; //!< Valid with a crash.
    Duration retryAfter{}; //!< Valid for refused requests: time until one more run is allowed.
};

} // namespace oleandergate

#endif
