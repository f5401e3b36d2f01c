#ifndef OLEANDERGATE_DECISION_ATTEMPTFAILURE_H
#define OLEANDERGATE_DECISION_ATTEMPTFAILURE_H

#include "decision/error.h"
#include "decision/ids.h"

namespace oleandergate {

//! A failed attempt to run a call at an endpoint.
struct AttemptFailure
{
    Error error{};
    EndpointId endpoint{};
    bool provablyNotSent = false; //!< No byte of the request was sent, or the endpoint rejected it without processing it.
    bool answerStarted = false; //!< Part of the answer was already delivered to the caller.
    bool mayRetry = true; //!< The retry budget allows another attempt.
};

} // namespace oleandergate

#endif
