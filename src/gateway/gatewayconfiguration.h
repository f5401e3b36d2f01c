#ifndef OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATION_H
#define OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATION_H

#include "decision/ids.h"
#include "decision/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace oleandergate {

//! A service that routes lead to.
struct GatewayService
{
    std::string name{};
    std::size_t maxConnections = 0; //!< To one endpoint, from all instances together; 0 for no bound.
    bool isEngine = false; //!< A model engine: its answers are streams of tokens.
    Tokens tokensPerEvent = 1;
};

//! Bounds on what callers may send.
struct CallerBounds
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTime = std::chrono::seconds(3);
    Duration idleTime = std::chrono::seconds(15); //!< Longest silence between two requests of a connection.
};

//! The whole configuration of the gateway.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes{};
    std::vector<GatewayService> services{};
    CallerBounds bounds{};
    std::string source{}; //!< The document it was read from, for instances that cannot read the key-value service.
};

} // namespace oleandergate

#endif
