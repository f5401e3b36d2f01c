#include "decision/serviceavailability.h"

namespace oleandergate {

ServiceAvailability::ServiceAvailability(Duration maxSilence)
    : maxSilence(maxSilence)
{
}

void ServiceAvailability::onContact(Time latestContact, Time now)
{
    if (now - latestContact > this->maxSilence) {
        this->firstContact.reset();
    } else if (!this->firstContact) {
        this->firstContact = latestContact;
    }
}

std::optional<Time> ServiceAvailability::availableSince() const
{
    return this->firstContact;
}

} // namespace oleandergate
