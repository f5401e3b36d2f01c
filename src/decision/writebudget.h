#ifndef OLEANDERGATE_DECISION_WRITEBUDGET_H
#define OLEANDERGATE_DECISION_WRITEBUDGET_H

#include "decision/time.h"

namespace oleandergate {

//! Keeps this instance's journal within its share of the writes that the key-value service takes from the whole fleet.
//! A short burst passes at once; a lasting load makes batches larger instead of more.
class WriteBudget
{
public:
    //! \p fleetRate is writes a second over all instances; \p burst is writes that may pass at once.
    WriteBudget(double fleetRate, double burst);

    //! Counts one write and returns how long to wait before it, for \p instances that share the rate.
    Duration reserve(std::size_t instances, Time now);

private:
    double fleetRate;
    double burst;
    double available;
    Time refilledAt{};
};

} // namespace oleandergate

#endif
