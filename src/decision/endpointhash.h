#ifndef OLEANDERGATE_DECISION_ENDPOINTHASH_H
#define OLEANDERGATE_DECISION_ENDPOINTHASH_H

#include "decision/ids.h"

namespace oleandergate {

//! Returns the hash that stands for an endpoint in reports between instances.
std::uint32_t endpointHash(const EndpointId &endpoint);

} // namespace oleandergate

#endif
