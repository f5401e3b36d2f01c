#include "decision/removaltrust.h"

namespace oleandergate {

RemovalTrust::RemovalTrust(Duration maxSilence)
    : availability(maxSilence)
{
}

void RemovalTrust::onContact(Time latestContact, Time now)
{
    this->availability.onContact(latestContact, now);
}

void RemovalTrust::onFailed()
{
    this->unavailable = true;
}

std::optional<Time> RemovalTrust::onAnswered(Time now)
{
    const std::optional<Time> recoveredAt = this->onEvent(now);
    this->unavailable = false;
    return recoveredAt;
}

std::optional<Time> RemovalTrust::onEvent(Time now) const
{
    return this->unavailable ? std::optional(this->availability.availableSince().value_or(now)) : std::nullopt;
}

} // namespace oleandergate
