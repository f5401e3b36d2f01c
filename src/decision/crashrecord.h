#ifndef OLEANDERGATE_DECISION_CRASHRECORD_H
#define OLEANDERGATE_DECISION_CRASHRECORD_H

#include "decision/ids.h"
#include "decision/time.h"

namespace oleandergate {

//! What is known of the endpoints that ended while they ran a request.
struct CrashRecord
{
    RequestFingerprint request = 0;
    std::uint32_t crashes = 0; //!< Endpoints that ended one after the other, each in a run that began after the crash before.
    Time lastCrash{};
    Time lastCompletion{}; //!< When a run of the request last ended with an answer; the epoch for never.
};

} // namespace oleandergate

#endif
