#ifndef OLEANDERGATE_GATEWAY_ENDTOEND_H
#define OLEANDERGATE_GATEWAY_ENDTOEND_H

#include "runtime/httpmessage.h"

#include <vector>

namespace oleandergate {

//! Returns \p headers without the hop-by-hop fields (RFC 9110, 7.6.1) and without those that frame the body.
std::vector<HttpHeader> endToEndHeaders(const std::vector<HttpHeader> &headers);

} // namespace oleandergate

#endif
