#ifndef OLEANDERGATE_GATEWAY_GATEWAYSETTINGS_H
#define OLEANDERGATE_GATEWAY_GATEWAYSETTINGS_H

#include "decision/ids.h"
#include "decision/time.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Settings of one gateway process.
struct GatewaySettings
{
    std::string instanceName{};
    std::string domain{}; //!< Failure domain.
    std::string callerAddress{}; //!< IP number and port for callers.
    std::string readyAddress{}; //!< IP number and port of the balancer's readiness check.
    std::string peerAddress{}; //!< IP number and port for other instances, TCP and UDP.
    std::string metricsAddress{}; //!< IP number and port of the metrics.
    std::vector<std::string> seeds{}; //!< Peer addresses of some instances, possibly stale.
    std::string peerKey{}; //!< Shared secret of all instances.
    Duration drainLimit = std::chrono::seconds(8); //!< A planned stop is over by then.
    Duration balancerLag = std::chrono::seconds(3); //!< How long the balancer sends connections after a stop begins.
    Duration reregistrationTimeout = std::chrono::milliseconds(2500); //!< How long living endpoints need to announce themselves again.
    Duration programRetention = std::chrono::seconds(60); //!< How long a program may stay away and return.
};

} // namespace oleandergate

#endif
