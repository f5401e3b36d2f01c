#ifndef OLEANDERGATE_DECISION_RATELIMITSTATEMENT_H
#define OLEANDERGATE_DECISION_RATELIMITSTATEMENT_H

#include "decision/time.h"

#include <cstdint>
#include <optional>

namespace oleandergate {

//! What an answer of an endpoint stated about its rate limit.
struct RateLimitStatement
{
    std::uint32_t endpoint = 0; //!< Hash of the endpoint's identifier.
    std::optional<double> callsPerSecond{}; //!< From all instances together; nothing when the endpoint named no limit.
    Time statedAt{}; //!< When the answer arrived.
};

} // namespace oleandergate

#endif
