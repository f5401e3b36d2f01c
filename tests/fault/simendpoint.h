#ifndef OLEANDERGATE_FAULT_SIMENDPOINT_H
#define OLEANDERGATE_FAULT_SIMENDPOINT_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <set>

namespace oleandergate::fault {

//! State of a fake endpoint.
struct SimEndpoint
{
    enum class Mode : std::uint8_t { Healthy, Dead, Slow, MalformedResponse };
    Mode mode = Mode::Healthy;
    bool leaving = false;
    std::set<ProgramId> cachedPrograms{}; //!< Programs whose prefixes it caches.
    std::map<ProgramId, std::uint64_t> highestEpochs{}; //!< Highest fencing number seen.
};

} // namespace oleandergate::fault

#endif
