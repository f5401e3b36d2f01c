#ifndef OLEANDERGATE_GATEWAY_RELAYERROR_H
#define OLEANDERGATE_GATEWAY_RELAYERROR_H

#include "decision/error.h"
#include "gateway/interfaces/headercodec.h"

namespace oleandergate {

//! Returns an error for a caller. If the request did not run and may come again, it names when.
Error relayError(ErrorCode code, Step step, Executed executed, std::string detail);

//! Returns the error of a request that did not run because this instance shuts down.
Error shutdownError();

//! Returns the error of a request that was not read, for lack of room or of time. Another instance may take it.
Error unreadError(std::string detail);

//! Returns the response for \p error, with the time to come back if the request did not run.
HttpResponse refusalResponse(const Error &error, const HeaderCodec &headerCodec);

} // namespace oleandergate

#endif
