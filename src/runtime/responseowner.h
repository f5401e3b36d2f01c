#ifndef OLEANDERGATE_RUNTIME_RESPONSEOWNER_H
#define OLEANDERGATE_RUNTIME_RESPONSEOWNER_H

#include <cstdint>

namespace oleandergate {

//! Whose a response is that arrived on a connection which carried other requests before.
enum class ResponseOwner : std::uint8_t {
    ThisRequest,
    Unknown,
    OtherRequest,
};

} // namespace oleandergate

#endif
