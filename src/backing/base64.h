#ifndef OLEANDERGATE_BACKING_BASE64_H
#define OLEANDERGATE_BACKING_BASE64_H

#include <string>
#include <string_view>

namespace oleandergate {

std::string toBase64(std::string_view bytes);

//! Returns the decoded bytes; empty if \p text is not valid base64.
std::string fromBase64(std::string_view text);

} // namespace oleandergate

#endif
