#ifndef OLEANDERGATE_DECISION_ORGANISATION_H
#define OLEANDERGATE_DECISION_ORGANISATION_H

#include "decision/allowance.h"
#include "decision/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! An organisation whose callers identify themselves with one of its keys.
struct Organisation
{
    OrganisationId name{};
    std::vector<std::string> keyHashes{}; //!< SHA-256 of its keys, in hexadecimal digits. The keys themselves are not kept.
    std::optional<int> rank{}; //!< Urgency of its requests, in place of their routes'; 0 is the most urgent.
    Allowance allowance{};
};

} // namespace oleandergate

#endif
