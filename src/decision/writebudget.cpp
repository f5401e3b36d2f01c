#include "decision/writebudget.h"

#include <algorithm>

namespace oleandergate {

WriteBudget::WriteBudget(double fleetRate, double burst)
    : fleetRate(fleetRate)
    , burst(burst)
    , tokens(burst)
{
}

Duration WriteBudget::take(std::size_t instances, Time now)
{
    const double rate = this->fleetRate / static_cast<double>(std::max<std::size_t>(1, instances));
    if (now > this->refilledAt) {
        const double refill = this->refilledAt == Time{} ? this->burst : rate * toSeconds(now - this->refilledAt);
        this->tokens = std::min(this->burst, this->tokens + refill);
        this->refilledAt = now;
    }
    this->tokens -= 1.0;
    return this->tokens >= 0.0 ? Duration(0) : fromSeconds(-this->tokens / rate);
}

} // namespace oleandergate
