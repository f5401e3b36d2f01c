#ifndef OLEANDERGATE_DECISION_CONNECTIONKIND_H
#define OLEANDERGATE_DECISION_CONNECTIONKIND_H

#include "decision/nametable.h"

#include <array>
#include <cstdint>

namespace oleandergate {

//! What a connection of a process is for.
enum class ConnectionKind : std::uint8_t {
    Caller, //!< A caller's, or one of its load balancer.
    Operator, //!< One that asks for readiness or metrics, or changes the configuration.
    Peer, //!< One that another instance has opened.
    Endpoint, //!< One to an endpoint, for a request of this instance or of a peer.
    Control, //!< One that this instance has opened to another one, to the key-value service or to the instance list.
};

inline constexpr std::array<NamedValue<ConnectionKind>, 5> connectionKindNames{{
    {ConnectionKind::Caller, "caller"},
    {ConnectionKind::Operator, "operator"},
    {ConnectionKind::Peer, "peer"},
    {ConnectionKind::Endpoint, "endpoint"},
    {ConnectionKind::Control, "control"},
}};

} // namespace oleandergate

#endif
