#ifndef OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATION_H
#define OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATION_H

#include "decision/ids.h"
#include "decision/organisation.h"
#include "decision/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace oleandergate {

//! A service that routes refer to.
struct GatewayService
{
    std::string name{};
    std::size_t maxConnections = 0; //!< To one endpoint, from all instances together; 0 for no limit.
    bool isEngine = false; //!< The endpoints run a model; their answers are streams of tokens.
    Tokens tokensPerEvent = 1; //!< In one event of a stream.
};

//! Limits on what callers may send.
struct CallerBounds
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTime = std::chrono::seconds(3); //!< Longest time for a request's header, and again for its body, to arrive.
    Duration idleTime = std::chrono::seconds(15); //!< Longest time between two requests on a connection.
};

//! A version of the gateway's configuration.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes{};
    std::vector<GatewayService> services{};
    bool identifiesCallers = false; //!< It has a list of organisations: requests need the key of one, except on open routes.
    std::vector<Organisation> organisations{};
    CallerBounds bounds{};
    Time receivedAt{}; //!< By this instance, some time before it became active.
    std::string source{}; //!< The document it was parsed from, without keys, for peers that cannot read the key-value service.
};

//! Returns how long a program may be idle and return, by the route that allows the longest time: its turns may take several. Nothing if no route names one.
std::optional<Duration> longestRetention(const std::vector<Route> &routes);

} // namespace oleandergate

#endif
