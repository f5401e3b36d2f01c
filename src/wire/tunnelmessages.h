#ifndef OLEANDERGATE_WIRE_TUNNELMESSAGES_H
#define OLEANDERGATE_WIRE_TUNNELMESSAGES_H

#include "decision/ids.h"
#include "decision/nametable.h"

#include <cstdint>
#include <string>

namespace oleandergate {

//! Requests that the instance connects to an endpoint and passes the bytes on. Answered by one TunnelReply; after TunnelOutcome::Connected the
//! connection carries what the two ends send each other: towards the endpoint as it is, from the endpoint in chunks. A chunk is its length in four
//! bytes, least significant first, and its bytes; a chunk of length 0 says that the endpoint closed its connection in order.
struct TunnelRequest
{
    std::uint64_t tunnel = 0; //!< Number of the tunnel at the requesting instance, for the logs of both.
    InstanceId instance{}; //!< The requesting instance.
    EndpointId endpoint{}; //!< Its address is the one that the asked instance knows.
    std::uint32_t timeout = 0; //!< Longest time to connect, in milliseconds.
};

enum class TunnelOutcome : std::uint8_t {
    Connected,
    Refused, //!< The endpoint refused the connection.
    TimedOut, //!< The endpoint did not answer.
    Declined //!< The instance cannot tell: it is cut off itself or may be, does not know the endpoint, stops, or carries too much.
};

inline constexpr std::array<NamedValue<TunnelOutcome>, 4> tunnelOutcomeNames{{
    {TunnelOutcome::Connected, "connected"},
    {TunnelOutcome::Refused, "refused"},
    {TunnelOutcome::TimedOut, "timed-out"},
    {TunnelOutcome::Declined, "declined"},
}};

struct TunnelReply
{
    TunnelOutcome outcome = TunnelOutcome::Declined;
};

} // namespace oleandergate

#endif
