#include "decision/retrybudget.h"

#include <cmath>

namespace oleandergate {

namespace {

//! Time constant of the exponential decay of the counts, in seconds.
constexpr double windowSeconds = 10.0;

} // namespace

RetryBudget::RetryBudget(double share, double floor)
    : share(share)
    , floor(floor)
{
}

void RetryBudget::onCall(Time now)
{
    this->decay(now);
    this->calls += 1.0;
}

bool RetryBudget::tryRetry(Time now)
{
    this->decay(now);
    if (this->retries + 1.0 > this->calls * this->share + this->floor) {
        return false;
    }
    this->retries += 1.0;
    return true;
}

void RetryBudget::decay(Time now)
{
    if (now <= this->decayedAt) {
        return;
    }
    const double factor = std::exp(-toSeconds(now - this->decayedAt) / windowSeconds);
    this->calls *= factor;
    this->retries *= factor;
    this->decayedAt = now;
}

} // namespace oleandergate
