#include "decision/peercontacttable.h"

#include <algorithm>

namespace oleandergate {

void PeerContactTable::onReport(const InstanceId &peer, Time sentAt, Duration age, Time now)
{
    const Contact reported{sentAt - age, now - age};
    const auto [entry, added] = this->contacts.try_emplace(peer, reported);
    if (added) {
        return;
    }
    Contact &known = entry->second;
    const bool isSameContact = known.byPeerClock == reported.byPeerClock;
    known = Contact{reported.byPeerClock, isSameContact ? std::min(known.estimate, reported.estimate) : reported.estimate};
}

void PeerContactTable::forget(const InstanceId &peer)
{
    const auto found = this->contacts.find(peer);
    if (found != this->contacts.end()) {
        this->latestOfForgotten = std::max(this->latestOfForgotten, found->second.estimate);
        this->contacts.erase(found);
    }
}

Time PeerContactTable::latest() const
{
    Time latest = this->latestOfForgotten;
    for (const auto &[peer, contact] : this->contacts) {
        latest = std::max(latest, contact.estimate);
    }
    return latest;
}

} // namespace oleandergate
