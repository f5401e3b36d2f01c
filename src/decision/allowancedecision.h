#ifndef OLEANDERGATE_DECISION_ALLOWANCEDECISION_H
#define OLEANDERGATE_DECISION_ALLOWANCEDECISION_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <cstdint>

namespace oleandergate {

//! Why a call was not let through.
enum class AllowanceBound : std::uint8_t {
    None,
    Rate, //!< The organisation's calls have reached its allowance.
    OpenPrograms, //!< What the organisation's open programs still need leaves no room for another program.
    NoIssuer //!< The issuer of the allowance does not answer, and this instance's part of the allowance is used.
};

inline constexpr std::array<NamedValue<AllowanceBound>, 4> allowanceBoundNames{{
    {AllowanceBound::None, "none"},
    {AllowanceBound::Rate, "rate"},
    {AllowanceBound::OpenPrograms, "open-programs"},
    {AllowanceBound::NoIssuer, "no-issuer"},
}};

//! The issuer's decision on one call.
struct AllowanceDecision
{
    bool granted = false;
    AllowanceBound bound = AllowanceBound::None;
    std::uint32_t reserve = 0; //!< Further calls that the asking instance may let through without asking.
    Duration lifetime{}; //!< How long it may use them.
    Duration retryAfter{}; //!< When not granted: time until the call may succeed.
};

} // namespace oleandergate

#endif
