#ifndef OLEANDERGATE_DECISION_RAN_H
#define OLEANDERGATE_DECISION_RAN_H

#include "decision/nametable.h"

#include <cstdint>

namespace oleandergate {

//! Whether a request reached an endpoint. No is said only when it is proved.
enum class Ran : std::uint8_t { No, Yes, Unknown };

//! Names of the values, as they stand in refusals.
inline constexpr std::array<NamedValue<Ran>, 3> ranNames{{
    {Ran::No, "no"},
    {Ran::Yes, "yes"},
    {Ran::Unknown, "unknown"},
}};

//! Returns the name of \p ran.
constexpr std::string_view ranName(Ran ran)
{
    return nameIn(ranNames, ran);
}

} // namespace oleandergate

#endif
