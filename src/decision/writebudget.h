#ifndef OLEANDERGATE_DECISION_WRITEBUDGET_H
#define OLEANDERGATE_DECISION_WRITEBUDGET_H

#include "decision/time.h"

namespace oleandergate {

//! Token bucket that limits this instance's journal writes to its share of the write rate of all instances at the key-value
//! service. Short bursts pass without delay; under sustained load the batches become larger instead of more frequent.
class WriteBudget
{
public:
    //! \p fleetRate is the limit over all instances, in writes per second; \p burst is the number of writes that may pass at once.
    WriteBudget(double fleetRate, double burst);

    //! Reserves one write and returns how long to wait before it. \p instances is the number of instances that share the rate.
    Duration reserve(std::size_t instances, Time now);

private:
    double fleetRate;
    double burst;
    double available;
    Time refilledAt{};
};

} // namespace oleandergate

#endif
