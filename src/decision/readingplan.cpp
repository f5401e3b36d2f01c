#include "decision/readingplan.h"

#include <algorithm>

namespace oleandergate {

ReadingPlan::ReadingPlan(const Limits &limits, std::uint64_t seed)
    : limits(limits)
    , random(seed)
{
}

Duration ReadingPlan::attemptInterval(std::size_t peers) const
{
    const std::size_t factor = std::max<std::size_t>(1, peers / std::max<std::size_t>(1, this->limits.attemptingPeers));
    return std::min(this->limits.interval, this->limits.attemptInterval * static_cast<Duration::rep>(factor));
}

bool ReadingPlan::shouldBegin(const Situation &situation, Time now)
{
    if (situation.latestReading - this->countedReading > this->limits.reportDelay) {
        std::uniform_int_distribution<Duration::rep> jitter(0, this->limits.jitter.count());
        this->countedReading = situation.latestReading;
        this->dueAt = situation.latestReading + this->limits.interval + Duration(jitter(this->random));
    }
    bool isDue = now >= this->dueAt || (situation.peersDiffer && now - this->begunAt > this->limits.minInterval);
    isDue = isDue || (situation.confirmAt && now >= *situation.confirmAt && this->begunAt < *situation.confirmAt);
    if (this->isUnanswered()) {
        isDue = this->underWay < this->limits.maxUnderWay && now - this->begunAt >= this->attemptInterval(situation.peers);
    }
    if (isDue) {
        this->begunAt = now;
        this->underWay += 1;
    }
    return isDue;
}

void ReadingPlan::onEnded(Time readingBegunAt, bool answered)
{
    this->underWay -= 1;
    if (answered) {
        this->answeredAt = std::max(this->answeredAt, readingBegunAt);
        this->failed = false;
    } else {
        this->failed = this->failed || readingBegunAt > this->answeredAt;
    }
}

bool ReadingPlan::isUnanswered() const
{
    return this->underWay > 0 || this->failed;
}

} // namespace oleandergate
