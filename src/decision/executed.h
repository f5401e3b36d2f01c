#ifndef OLEANDERGATE_DECISION_EXECUTED_H
#define OLEANDERGATE_DECISION_EXECUTED_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Whether a request may have been executed at an endpoint. No is only used when this is certain.
enum class Executed : std::uint8_t { No, Yes, Unknown };

//! Names of the values in JSON errors and turn records.
inline constexpr std::array<NamedValue<Executed>, 3> executedNames{{
    {Executed::No, "no"},
    {Executed::Yes, "yes"},
    {Executed::Unknown, "unknown"},
}};

//! Returns the name of \p executed.
constexpr std::string_view executedName(Executed executed)
{
    return nameIn(executedNames, executed);
}

} // namespace oleandergate

#endif
