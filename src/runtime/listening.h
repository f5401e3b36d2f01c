#ifndef OLEANDERGATE_RUNTIME_LISTENING_H
#define OLEANDERGATE_RUNTIME_LISTENING_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Whether a process accepts connections at an address.
enum class Listening : std::uint8_t {
    Yes,
    No, //!< The connection was refused: the process there has ended.
    Unknown //!< No answer in time, or no connection was tried.
};

inline constexpr std::array<NamedValue<Listening>, 3> listeningNames{{
    {Listening::Yes, "yes"},
    {Listening::No, "no"},
    {Listening::Unknown, "unknown"},
}};

} // namespace oleandergate

#endif
