#ifndef OLEANDERGATE_DECISION_LEAVINGSTATEMENT_H
#define OLEANDERGATE_DECISION_LEAVINGSTATEMENT_H

#include "decision/ids.h"

#include <cstdint>

namespace oleandergate {

//! The statement of an endpoint in an answer that its process is shutting down.
struct LeavingStatement
{
    EndpointId endpoint{};
    std::int64_t startedAt = 0; //!< Start time of the process, as it registered it: a later process under the same identifier has stated nothing.
};

} // namespace oleandergate

#endif
