#include "decision/removaltrust.h"

#include <algorithm>

namespace oleandergate {

RemovalTrust::RemovalTrust(Duration maxSilence)
    : availability(maxSilence)
    , maxSilence(maxSilence)
{
}

void RemovalTrust::assumeAvailable(Time since)
{
    this->recoveredAt = since;
}

void RemovalTrust::onContact(Time contact, Time now)
{
    this->availability.onContact(contact, now);
    this->latestContact = std::max(this->latestContact, contact);
}

void RemovalTrust::onAvailable(Time since, Time until)
{
    this->availability.onAvailable(since, until);
    if (until >= this->recoveredAt - this->maxSilence) {
        this->recoveredAt = std::min(this->recoveredAt, since);
    }
}

void RemovalTrust::onFailed(Time askedAt)
{
    this->suspected = this->suspected || askedAt > this->latestContact;
}

void RemovalTrust::onAnswered(Time now)
{
    this->onContact(now, now);
    if (this->suspected) {
        this->suspected = false;
        this->recoveredAt = this->availability.availableSince().value_or(now);
    }
}

void RemovalTrust::onReliesOnPeers(Time now)
{
    if (this->suspected) {
        this->suspected = false;
        this->recoveredAt = this->availability.availableSince().value_or(now);
    }
}

std::optional<Time> RemovalTrust::availableSince() const
{
    return this->suspected ? this->availability.availableSince() : this->recoveredAt;
}

std::optional<Time> RemovalTrust::contactSince() const
{
    return this->availability.availableSince();
}

} // namespace oleandergate
