#include "decision/peerqueryplan.h"

#include <algorithm>

namespace oleandergate {

PeerQueryPlan::PeerQueryPlan(const Limits &limits)
    : limits(limits)
{
}

PeerQueryPlan::Step PeerQueryPlan::next(const std::vector<PeerOffer> &offers, Time now)
{
    Step step;
    if (offers.empty()) {
        this->behindSince.reset();
        return step;
    }
    if (!this->behindSince) {
        this->behindSince = now;
        this->nextRoundAt = now + this->limits.firstDelay;
        this->nextReadAt = now + this->limits.readDelay.value_or(Duration::zero());
        this->queried.clear();
    }
    if (now >= this->nextRoundAt) {
        this->nextRoundAt = now + this->limits.roundInterval;
        for (const std::string &address : this->candidates(offers)) {
            if (step.queries.size() >= this->limits.queriesPerRound || this->pending.size() >= this->limits.maxPending) {
                break;
            }
            step.queries.push_back(address);
            this->pending.insert(address);
            this->queried.insert(address);
        }
    }
    if (this->limits.readDelay && now >= this->nextReadAt) {
        this->nextReadAt = now + *this->limits.readDelay;
        step.readService = true;
    }
    return step;
}

std::vector<std::string> PeerQueryPlan::candidates(const std::vector<PeerOffer> &offers)
{
    const auto wasQueried = [this](const PeerOffer &offer) {
        return this->queried.contains(offer.address);
    };
    if (std::all_of(offers.begin(), offers.end(), wasQueried)) {
        this->queried.clear();
    }
    std::vector<PeerOffer> usable;
    std::copy_if(offers.begin(), offers.end(), std::back_inserter(usable), [this, &wasQueried](const PeerOffer &offer) {
        return !wasQueried(offer) && !this->pending.contains(offer.address);
    });
    std::sort(usable.begin(), usable.end(), [](const PeerOffer &one, const PeerOffer &other) {
        return one.reportedAt > other.reportedAt;
    });
    std::vector<std::string> addresses;
    std::transform(usable.begin(), usable.end(), std::back_inserter(addresses), [](const PeerOffer &offer) {
        return offer.address;
    });
    return addresses;
}

void PeerQueryPlan::onQueryEnded(const std::string &address)
{
    this->pending.erase(address);
}

std::optional<Duration> PeerQueryPlan::behindFor(Time now) const
{
    return this->behindSince ? std::optional<Duration>(now - *this->behindSince) : std::nullopt;
}

} // namespace oleandergate
