#ifndef OLEANDERGATE_RUNTIME_ERRORRESPONSE_H
#define OLEANDERGATE_RUNTIME_ERRORRESPONSE_H

#include "decision/error.h"
#include "runtime/httpmessage.h"

#include <string>

namespace oleandergate {

//! Returns the response that tells a caller of \p error.
HttpResponse errorResponse(const Error &error);

//! Returns the response to a request that could not be read.
HttpResponse unreadableRequestResponse(int status, const std::string &detail);

} // namespace oleandergate

#endif
