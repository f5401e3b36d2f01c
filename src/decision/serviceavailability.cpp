#include "decision/serviceavailability.h"

#include <algorithm>

namespace oleandergate {

ServiceAvailability::ServiceAvailability(Duration maxSilence)
    : maxSilence(maxSilence)
{
}

void ServiceAvailability::onContact(Time contact, Time now)
{
    const bool isInterrupted = contact - this->latestContact > this->maxSilence;
    this->latestContact = std::max(this->latestContact, contact);
    if (now - this->latestContact > this->maxSilence) {
        this->firstContact.reset();
    } else if (!this->firstContact || isInterrupted) {
        this->firstContact = contact;
    }
}

void ServiceAvailability::onAvailable(Time since, Time until)
{
    const Time first = this->firstContact.value_or(this->latestContact);
    if (since > until || until < first - this->maxSilence || since > this->latestContact + this->maxSilence) {
        return;
    }
    this->firstContact = std::min(first, since);
    this->latestContact = std::max(this->latestContact, until);
}

std::optional<Time> ServiceAvailability::availableSince() const
{
    return this->firstContact;
}

} // namespace oleandergate
