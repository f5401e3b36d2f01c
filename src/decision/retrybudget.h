#ifndef OLEANDERGATE_DECISION_RETRYBUDGET_H
#define OLEANDERGATE_DECISION_RETRYBUDGET_H

#include "decision/time.h"

namespace oleandergate {

//! Limits retries to a share of the recent calls, so that retries do not overload a failing pool.
class RetryBudget
{
public:
    //! \p share is the number of retries per call; \p floor is the number of retries that are always allowed in a window.
    RetryBudget(double share, double floor);

    //! Counts one first attempt.
    void onCall(Time now);

    //! Counts one retry and returns true if the budget allows it; returns false otherwise.
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
