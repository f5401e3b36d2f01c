#ifndef OLEANDERGATE_WIRE_PERMITMESSAGES_H
#define OLEANDERGATE_WIRE_PERMITMESSAGES_H

#include <cstdint>

namespace oleandergate {

//! Requests a permit to send one call to a rate-limited endpoint. Answered by one PermitReply.
struct PermitRequest
{
    std::uint32_t endpoint = 0; //!< Hash of the endpoint's identifier.
    double callsPerSecond = 0.0; //!< The endpoint's limit, from all instances together.
    std::uint64_t limitAge = 0; //!< Microseconds since the limit has been known.
};

//! A PermitDecision on its way.
struct PermitReply
{
    bool granted = false;
    std::uint64_t retryAfter = 0; //!< Microseconds.
};

} // namespace oleandergate

#endif
