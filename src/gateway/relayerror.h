#ifndef OLEANDERGATE_GATEWAY_RELAYERROR_H
#define OLEANDERGATE_GATEWAY_RELAYERROR_H

#include "decision/error.h"

namespace oleandergate {

//! Returns an error for a caller. If the request did not run and may come again, it names when.
Error relayError(ErrorCode code, Step step, Executed executed, std::string detail);

//! Returns the error of a request that did not run because this instance shuts down.
Error shutdownError();

} // namespace oleandergate

#endif
