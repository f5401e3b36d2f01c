#ifndef OLEANDERGATE_DECISION_PROCESSLIMITS_H
#define OLEANDERGATE_DECISION_PROCESSLIMITS_H

#include "decision/connectionkind.h"

#include <array>
#include <cstddef>

namespace oleandergate {

//! Largest number of connections that a process has open, by kind.
struct ConnectionLimits
{
    std::array<std::size_t, connectionKindNames.size()> byKind{};

    std::size_t of(ConnectionKind kind) const
    {
        return this->byKind.at(static_cast<std::size_t>(kind));
    }
};

//! What a process divides its memory and its descriptors into. All its servers and clients share one of these.
struct ProcessLimits
{
    std::size_t heldBytes = 0; //!< What may be held for requests and answers.
    ConnectionLimits connections{};
};

//! Bytes that may arrive on a connection of a caller or an endpoint before they are read. The system keeps twice as many, and uses the rest for its own
//! records.
inline constexpr std::size_t receiveBufferBytes = 16UL * 1024;

//! Returns the limits of a process that may use \p memoryBytes of memory and have \p maxDescriptors descriptors open; 0 descriptors where their number is not
//! known.
//!
//! Code, tables and the libraries have the first part of the memory. A quarter is for what is held, a part of the rest for connections: for each the most
//! that it may need at a time, with the bytes that have arrived and were not read.
ProcessLimits processLimitsFor(std::size_t memoryBytes, std::size_t maxDescriptors);

} // namespace oleandergate

#endif
