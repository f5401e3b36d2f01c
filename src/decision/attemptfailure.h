#ifndef OLEANDERGATE_DECISION_ATTEMPTFAILURE_H
#define OLEANDERGATE_DECISION_ATTEMPTFAILURE_H

#include "decision/error.h"
#include "decision/ids.h"

namespace oleandergate {

//! Why one attempt at an endpoint brought no whole answer.
struct AttemptFailure
{
    Error error{};
    EndpointId endpoint{};
    bool provablyNotSent = false; //!< No byte of the request left this instance, or the endpoint refused it unread.
    bool answerStarted = false; //!< Part of the answer already went to the caller.
    bool mayRetry = true; //!< The retry budget allows one more attempt.
};

} // namespace oleandergate

#endif
