#ifndef OLEANDERGATE_WIRE_ASSIGNMENTREPORT_H
#define OLEANDERGATE_WIRE_ASSIGNMENTREPORT_H

#include "decision/ids.h"

#include <cstdint>
#include <limits>

namespace oleandergate {

//! The latest change of the assignments of software versions that an instance knows, reported between instances over UDP beside load reports.
struct AssignmentReport
{
    InstanceId instance{};
    std::uint64_t revision = 0; //!< Of the change in the key-value service.
    std::uint64_t confirmedAge = std::numeric_limits<std::uint64_t>::max(); //!< Microseconds since the key-value service was asked and had no later one.
                                                                            //!< Instances of an earlier build do not state it.
    std::uint64_t madeAt = 0; //!< Time at which the report was made by the clock of its sender, in microseconds, as LoadReport::number.
};

} // namespace oleandergate

#endif
