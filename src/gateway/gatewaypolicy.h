#ifndef OLEANDERGATE_GATEWAY_GATEWAYPOLICY_H
#define OLEANDERGATE_GATEWAY_GATEWAYPOLICY_H

#include "decision/policyoptions.h"
#include "gateway/gatewayconfiguration.h"

namespace oleandergate {

//! Returns the dispatch policy of a gateway for the endpoints of \p service, which it shares with the other gateways.
PolicyOptions gatewayPolicyFor(const GatewayService &service);

} // namespace oleandergate

#endif
