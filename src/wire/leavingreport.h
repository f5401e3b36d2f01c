#ifndef OLEANDERGATE_WIRE_LEAVINGREPORT_H
#define OLEANDERGATE_WIRE_LEAVINGREPORT_H

#include "decision/leavingstatement.h"

#include <vector>

namespace oleandergate {

//! Endpoints that stated in answers that they are leaving, reported between instances over UDP beside load reports.
struct LeavingReport
{
    InstanceId instance{};
    std::vector<LeavingStatement> endpoints{};
};

} // namespace oleandergate

#endif
