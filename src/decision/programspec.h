#ifndef OLEANDERGATE_DECISION_PROGRAMSPEC_H
#define OLEANDERGATE_DECISION_PROGRAMSPEC_H

#include "decision/ids.h"
#include "decision/time.h"

#include <cstdint>
#include <string>

namespace oleandergate {

//! Identity and limits of a program, fixed at its creation.
struct ProgramSpec
{
    ProgramId id{};
    OrganisationId organisation{};
    std::string kind{}; //!< Name of the program's entry in the configuration.
    MicroUnits budget = 0;
    int priority = 0; //!< Larger goes first.
    std::uint32_t maxTurns = 0;
    Time created{};
    Time deadline{};

    bool operator==(const ProgramSpec &) const = default;
};

} // namespace oleandergate

#endif
