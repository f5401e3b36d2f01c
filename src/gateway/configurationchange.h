#ifndef OLEANDERGATE_GATEWAY_CONFIGURATIONCHANGE_H
#define OLEANDERGATE_GATEWAY_CONFIGURATIONCHANGE_H

#include "gateway/gatewayconfiguration.h"

namespace oleandergate {

//! Returns which fields differ between two configurations, and of how many routes or services, for the log: "targets=1 timeout=2". Routes are compared by
//! host and prefix, services by name. Empty if nothing differs.
std::string describeChange(const GatewayConfiguration &before, const GatewayConfiguration &after);

} // namespace oleandergate

#endif
