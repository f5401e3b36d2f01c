#ifndef OLEANDERGATE_DECISION_ALLOWANCEREQUEST_H
#define OLEANDERGATE_DECISION_ALLOWANCEREQUEST_H

#include "decision/allowance.h"

#include <cstdint>

namespace oleandergate {

//! A call that counts towards the allowance of its organisation.
struct AllowanceCall
{
    std::uint64_t organisation = 0; //!< organisationHash() of its name.
    Allowance allowance{};
    std::uint64_t configVersion = 0; //!< Version of the configuration that states the allowance.
    std::uint64_t program = 0; //!< Hash of the program that the call belongs to; 0 for none.
};

//! Asks the instance that issues an organisation's allowance for one call and, with it, for calls that may follow without asking.
struct AllowanceRequest
{
    AllowanceCall call{}; //!< Its program is 0 if the asking instance knows the program.
    std::uint32_t instance = 0; //!< Hash of the asking instance's identifier.
    std::uint32_t used = 0; //!< Calls that it let through without asking since its last request.
    std::uint32_t reserve = 0; //!< Calls that it may still let through without asking.
    double callsPerSecond = 0.0; //!< That the organisation's callers lately sent to it.
};

} // namespace oleandergate

#endif
