#ifndef OLEANDERGATE_DECISION_ALLOWANCE_H
#define OLEANDERGATE_DECISION_ALLOWANCE_H

#include "decision/time.h"

namespace oleandergate {

//! How many calls the callers of one organisation may have run, through all instances together.
struct Allowance
{
    double callsPerSecond = 0.0; //!< 0 for no limit.
    double burst = 0.0; //!< Calls beyond the rate that may follow each other at once.

    bool operator==(const Allowance &other) const = default;
};

//! By how much the calls in one window may exceed an allowance. Instances that cannot tell each other what they let through need some of it.
struct AllowanceTolerance
{
    Duration window = std::chrono::seconds(5); //!< Any span of this length counts.
    double share = 0.0; //!< Of what the allowance permits in a window.
    double calls = 0.0; //!< Beside that share.
};

} // namespace oleandergate

#endif
