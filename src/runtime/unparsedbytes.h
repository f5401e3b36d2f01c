#ifndef OLEANDERGATE_RUNTIME_UNPARSEDBYTES_H
#define OLEANDERGATE_RUNTIME_UNPARSEDBYTES_H

#include <cstddef>

namespace oleandergate {

//! Largest number of bytes beyond a head that an HTTP connection holds before they are parsed. Bounds what a chunk head without end takes;
//! the parsers themselves bound heads of messages.
inline constexpr std::size_t maxUnparsedBytes = 64UL * 1024;

} // namespace oleandergate

#endif
