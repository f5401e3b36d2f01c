#ifndef OLEANDERGATE_DECISION_CALLKIND_H
#define OLEANDERGATE_DECISION_CALLKIND_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Kind of target that a call addresses.
enum class CallKind : std::uint8_t { Model, Service };

//! Names of the kinds in JSON documents.
inline constexpr std::array<NamedValue<CallKind>, 2> callKindNames{{
    {CallKind::Model, "model"},
    {CallKind::Service, "service"},
}};

} // namespace oleandergate

#endif
