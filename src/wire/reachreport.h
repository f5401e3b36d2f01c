#ifndef OLEANDERGATE_WIRE_REACHREPORT_H
#define OLEANDERGATE_WIRE_REACHREPORT_H

#include "decision/ids.h"

#include <cstdint>
#include <vector>

namespace oleandergate {

//! Which endpoints an instance does not reach directly, reported between instances over UDP beside load reports.
struct ReachReport
{
    InstanceId instance{};
    bool isolated = false; //!< It reaches no endpoint directly.
    std::vector<std::uint32_t> cutOff{}; //!< Hashes of the endpoints' identifiers; a part of them when there are many.
    std::uint32_t carried = 0; //!< Connections that it passes on for others.
};

} // namespace oleandergate

#endif
