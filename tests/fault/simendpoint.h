#ifndef OLEANDERGATE_FAULT_SIMENDPOINT_H
#define OLEANDERGATE_FAULT_SIMENDPOINT_H

#include "decision/ids.h"
#include "decision/time.h"

#include <map>
#include <set>

namespace oleandergate::fault {

//! State of a simulated endpoint.
struct SimEndpoint
{
    enum class Mode : std::uint8_t { Healthy, Dead, Slow, MalformedResponse };
    Mode mode = Mode::Healthy;
    bool leaving = false; //!< The endpoint list announces that it leaves.
    std::set<ProgramId> cachedPrograms{}; //!< Programs whose prompt prefixes the endpoint caches.
    std::map<ProgramId, std::uint64_t> highestEpochs{}; //!< Highest fencing number received, by program.
};

} // namespace oleandergate::fault

#endif
