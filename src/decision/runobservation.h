#ifndef OLEANDERGATE_DECISION_RUNOBSERVATION_H
#define OLEANDERGATE_DECISION_RUNOBSERVATION_H

#include "decision/ids.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace oleandergate {

//! What a run shows of its endpoint's streams that ended in order between two events, or broke off in a framed answer.
struct RunObservation
{
    EndpointId endpoint{};
    std::uint64_t events = 0; //!< Those that it brought.
    bool proved = false; //!< Its end was the end of the stream.
    bool framed = false; //!< The answer's length or its last chunk ended it, or would have.
    EndpointId provedEndAt{}; //!< Endpoint whose unframed end, in this run or the one before it, was the end of the stream; empty for none.
    std::set<EndpointId> agreedAt{}; //!< With \ref proved: endpoints whose runs brought no event and no framing, and agreed with its end.
    std::optional<std::string> tail{}; //!< Text of the events without numbers behind its last numbered one, where that and the stream's end are known.
    std::optional<bool> risesByOne{}; //!< Whether the numbers of the stream's events rise by one, where it tells.
};

} // namespace oleandergate

#endif
