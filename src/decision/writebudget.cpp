#include "decision/writebudget.h"

#include <algorithm>

namespace oleandergate {

WriteBudget::WriteBudget(double fleetRate, double burst)
    : fleetRate(fleetRate)
    , burst(burst)
    , available(burst)
{
}

Duration WriteBudget::reserve(std::size_t instances, Time now)
{
    const double rate = this->fleetRate / static_cast<double>(std::max<std::size_t>(1, instances));
    if (now > this->refilledAt) {
        const double refill = this->refilledAt == Time{} ? this->burst : rate * toSeconds(now - this->refilledAt);
        this->available = std::min(this->burst, this->available + refill);
        this->refilledAt = now;
    }
    this->available -= 1.0;
    return this->available >= 0.0 ? Duration(0) : fromSeconds(-this->available / rate);
}

} // namespace oleandergate
