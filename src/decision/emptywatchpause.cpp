#include "decision/emptywatchpause.h"

#include <algorithm>

namespace oleandergate {

EmptyWatchPause::EmptyWatchPause(Limits limits)
    : limits(limits)
    , next(limits.initial)
{
}

Duration EmptyWatchPause::afterAnswer(bool hasChanges, Duration answeredAfter)
{
    if (hasChanges || answeredAfter >= this->limits.soon) {
        this->next = this->limits.initial;
        return Duration::zero();
    }
    const Duration pause = this->next;
    this->next = std::min(this->limits.longest, 2 * pause);
    return pause;
}

} // namespace oleandergate
