#ifndef OLEANDERGATE_RUNTIME_CONNECTIONPHASE_H
#define OLEANDERGATE_RUNTIME_CONNECTIONPHASE_H

#include "decision/nametable.h"

#include <array>
#include <cstdint>

namespace oleandergate {

//! What a caller's connection is doing.
enum class ConnectionPhase : std::uint8_t {
    Idle, //!< Nothing of a next request has been read.
    Receiving, //!< A request has begun to arrive.
    Handling, //!< A request is being handled and answered.
    Closing, //!< The last response was written; the caller has not closed the connection yet.
};

inline constexpr std::array<NamedValue<ConnectionPhase>, 4> connectionPhaseNames{{
    {ConnectionPhase::Idle, "idle"},
    {ConnectionPhase::Receiving, "receiving"},
    {ConnectionPhase::Handling, "handling"},
    {ConnectionPhase::Closing, "closing"},
}};

//! Number of a server's connections in each phase.
struct ConnectionCounts
{
    std::array<std::size_t, connectionPhaseNames.size()> byPhase{};

    std::size_t in(ConnectionPhase phase) const
    {
        return this->byPhase.at(static_cast<std::size_t>(phase));
    }

    std::size_t total() const
    {
        return this->in(ConnectionPhase::Idle) + this->busy();
    }

    //! Returns the number of connections on which a request arrives, is handled or is still being answered.
    std::size_t busy() const
    {
        return this->in(ConnectionPhase::Receiving) + this->in(ConnectionPhase::Handling) + this->in(ConnectionPhase::Closing);
    }
};

} // namespace oleandergate

#endif
