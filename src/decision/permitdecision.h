#ifndef OLEANDERGATE_DECISION_PERMITDECISION_H
#define OLEANDERGATE_DECISION_PERMITDECISION_H

#include "decision/time.h"

namespace oleandergate {

//! Whether one call may be sent to a rate-limited endpoint now.
struct PermitDecision
{
    bool granted = false;
    Duration retryAfter{}; //!< When not granted: time until another request for a permit may succeed.
};

} // namespace oleandergate

#endif
