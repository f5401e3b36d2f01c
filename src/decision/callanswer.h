#ifndef OLEANDERGATE_DECISION_CALLANSWER_H
#define OLEANDERGATE_DECISION_CALLANSWER_H

#include "decision/ids.h"

#include <string>

namespace oleandergate {

//! The whole answer of an endpoint to one call.
struct CallAnswer
{
    int status = 0; //!< HTTP status.
    std::string contentType{};
    std::string body{};
    EndpointId endpoint{};
    Tokens promptTokens = 0;
    Tokens completionTokens = 0;
    MicroUnits cost = 0;
    bool replayed = false; //!< Read from the history, not run again.
    bool historyPending = false; //!< The journal did not confirm the turn before the answer left.
};

} // namespace oleandergate

#endif
