#ifndef OLEANDERGATE_DECISION_PROGRAMPHASE_H
#define OLEANDERGATE_DECISION_PROGRAMPHASE_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! State of a program.
enum class ProgramPhase : std::uint8_t { Running, Ended, Cancelled, Expired };

//! Names of the phases in documents and events.
inline constexpr std::array<NamedValue<ProgramPhase>, 4> programPhaseNames{{
    {ProgramPhase::Running, "running"},
    {ProgramPhase::Ended, "ended"},
    {ProgramPhase::Cancelled, "cancelled"},
    {ProgramPhase::Expired, "expired"},
}};

} // namespace oleandergate

#endif
