#ifndef OLEANDERGATE_GATEWAY_GATEWAYSETTINGS_H
#define OLEANDERGATE_GATEWAY_GATEWAYSETTINGS_H

#include "decision/allowance.h"
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
    std::string callerAddress{}; //!< IP address and port for callers.
    std::string readyAddress{}; //!< IP address and port for the load balancer's readiness check.
    std::string peerAddress{}; //!< IP address and port for other instances, TCP and UDP.
    std::string metricsAddress{}; //!< IP address and port of the metrics.
    std::vector<std::string> seeds{}; //!< Peer addresses of some instances, possibly stale.
    std::string peerKey{}; //!< Shared secret of all instances.
    Duration drainLimit = std::chrono::seconds(8); //!< Longest duration of a graceful shutdown.
    Duration balancerLag = std::chrono::seconds(3); //!< How long the load balancer still opens connections after a shutdown begins.
    Duration reregistrationTimeout = std::chrono::milliseconds(2500); //!< Longest time that live endpoints need to register again after an outage.
    std::size_t memoryBytes = 256UL * 1024 * 1024; //!< That the process may use.
    std::size_t maxDescriptors = 0; //!< That the process may have open; 0 if not known.
    AllowanceTolerance allowanceTolerance{}; //!< By how much the calls of an organisation may exceed its allowance.
    double hedgeShare = 0.0; //!< Largest number of second sends for each request that may be repeated; 0 for none.
    Duration programRetention = std::chrono::seconds(60); //!< How long a program may be idle and return, where the configuration says less or
                                                          //!< nothing.
};

} // namespace oleandergate

#endif
