#ifndef OLEANDERGATE_RUNTIME_ERRORRESPONSE_H
#define OLEANDERGATE_RUNTIME_ERRORRESPONSE_H

#include "decision/error.h"
#include "runtime/httpmessage.h"

#include <string>

namespace oleandergate {

//! Returns the HTTP response for \p error: a JSON document and, if the error has a retry time, the header Retry-After in seconds.
HttpResponse errorResponse(const Error &error);

//! Returns the response, with HTTP status \p status, to a request that was not read.
HttpResponse unreadableRequestResponse(int status, const std::string &detail);

} // namespace oleandergate

#endif
