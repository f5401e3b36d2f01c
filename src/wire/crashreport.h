#ifndef OLEANDERGATE_WIRE_CRASHREPORT_H
#define OLEANDERGATE_WIRE_CRASHREPORT_H

#include "decision/suspectrun.h"

#include <optional>
#include <vector>

namespace oleandergate {

//! A CrashRecord on its way between instances, whose clocks differ.
struct ReportedCrashRecord
{
    RequestFingerprint request = 0;
    std::uint8_t crashes = 0; //!< At most 255.
    std::uint32_t crashAge = 0; //!< Milliseconds since the latest crash.
    std::optional<std::uint32_t> completionAge{}; //!< Milliseconds since a run last completed.
};

//! Requests under which endpoints ended, reported between instances over UDP beside load reports.
struct CrashReport
{
    InstanceId instance{};
    std::vector<ReportedCrashRecord> records{};
    std::vector<SuspectRun> runs{}; //!< Runs of suspects under way at the instance.
};

} // namespace oleandergate

#endif
