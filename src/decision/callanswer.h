#ifndef OLEANDERGATE_DECISION_CALLANSWER_H
#define OLEANDERGATE_DECISION_CALLANSWER_H

#include "decision/ids.h"

#include <string>

namespace oleandergate {

//! The complete answer of an endpoint to one call.
struct CallAnswer
{
    int status = 0; //!< HTTP status.
    std::string contentType{};
    std::string body{};
    EndpointId endpoint{};
    Tokens promptTokens = 0;
    Tokens completionTokens = 0;
    MicroUnits cost = 0;
    bool replayed = false; //!< Taken from the program's history; the call was not run again.
    bool historyPending = false; //!< The answer was delivered before the turn was durable in the journal.
};

} // namespace oleandergate

#endif
