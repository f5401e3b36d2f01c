#ifndef OLEANDERGATE_WIRE_STREAMREPORT_H
#define OLEANDERGATE_WIRE_STREAMREPORT_H

#include "decision/toldstreams.h"

#include <vector>

namespace oleandergate {

//! Where streams of an instance began, reported between instances over UDP beside load reports.
struct StreamReport
{
    InstanceId instance{};
    std::vector<ToldStreams::Group> groups{};
};

} // namespace oleandergate

#endif
