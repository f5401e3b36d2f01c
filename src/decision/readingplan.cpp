#include "decision/readingplan.h"

namespace oleandergate {

ReadingPlan::ReadingPlan(const Limits &limits, std::uint64_t seed)
    : limits(limits)
    , random(seed)
{
}

Duration ReadingPlan::nextInterval()
{
    std::uniform_int_distribution<Duration::rep> jitter(0, this->limits.jitter.count());
    return this->limits.interval + Duration(jitter(this->random));
}

bool ReadingPlan::shouldBegin(Time latestReading, bool peersDiffer, Time now)
{
    if (this->underWay) {
        return false;
    }
    if (latestReading - this->countedReading > this->limits.reportDelay) {
        this->countedReading = latestReading;
        this->dueAt = latestReading + this->nextInterval();
    }
    const bool isDue = now >= this->dueAt || (peersDiffer && now - this->begunAt > this->limits.minInterval);
    if (isDue) {
        this->begunAt = now;
        this->underWay = true;
    }
    return isDue;
}

void ReadingPlan::onEnded(bool answered, Time now)
{
    this->underWay = false;
    this->failed = !answered;
    if (!answered) {
        // The service does not answer this instance. The others read on their own schedule.
        this->dueAt = now + this->nextInterval();
    }
}

bool ReadingPlan::isUnanswered() const
{
    return this->underWay || this->failed;
}

} // namespace oleandergate
