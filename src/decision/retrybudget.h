#ifndef OLEANDERGATE_DECISION_RETRYBUDGET_H
#define OLEANDERGATE_DECISION_RETRYBUDGET_H

#include "decision/time.h"

namespace oleandergate {

//! Bounds retries to a share of the traffic, so that a failing pool is not loaded further.
class RetryBudget
{
public:
    //! \p share is retries per call; \p floor is the number always allowed in a window.
    RetryBudget(double share, double floor);

    //! Counts one first attempt.
    void onCall(Time now);

    //! Returns true, and counts one retry, when the budget allows it.
    bool tryRetry(Time now);

private:
    void decay(Time now);

    double share;
    double floor;
    double calls = 0.0;
    double retries = 0.0;
    Time decayedAt{};
};

} // namespace oleandergate

#endif
