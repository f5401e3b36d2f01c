#ifndef OLEANDERGATE_DECISION_SUSPECTRUN_H
#define OLEANDERGATE_DECISION_SUSPECTRUN_H

#include "decision/ids.h"

namespace oleandergate {

//! A run of a request under which an endpoint has ended before.
struct SuspectRun
{
    RequestFingerprint request = 0;
    std::uint32_t endpoint = 0; //!< Hash of the endpoint's identifier.
    bool isolated = false; //!< Other requests are kept away from the endpoint.
};

} // namespace oleandergate

#endif
