#ifndef OLEANDERGATE_WIRE_RATELIMITREPORT_H
#define OLEANDERGATE_WIRE_RATELIMITREPORT_H

#include "decision/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oleandergate {

//! A RateLimitStatement on its way between instances, whose clocks differ.
struct ReportedRateLimit
{
    std::uint32_t endpoint = 0; //!< Hash of the endpoint's identifier.
    std::optional<double> callsPerSecond{};
    std::uint32_t age = 0; //!< Milliseconds since the endpoint's answer.
};

//! Rate limits that endpoints named, reported between instances over UDP beside load reports.
struct RateLimitReport
{
    InstanceId instance{};
    std::vector<ReportedRateLimit> limits{};
};

} // namespace oleandergate

#endif
