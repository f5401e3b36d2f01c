#include "decision/servicesight.h"

namespace oleandergate {

ServiceSight::ServiceSight(Duration longestSilence)
    : longestSilence(longestSilence)
{
}

void ServiceSight::note(Time latestReading, Time now)
{
    if (now - latestReading > this->longestSilence) {
        this->firstReading.reset();
    } else if (!this->firstReading) {
        this->firstReading = latestReading;
    }
}

std::optional<Time> ServiceSight::since() const
{
    return this->firstReading;
}

} // namespace oleandergate
