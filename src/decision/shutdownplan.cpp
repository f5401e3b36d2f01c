#include "decision/shutdownplan.h"

#include <algorithm>

namespace oleandergate {

ShutdownPlan::ShutdownPlan(Time balancerKnowsAt, Time endsAt)
    : balancerKnowsAt(balancerKnowsAt)
    , endsAt(endsAt)
{
}

bool ShutdownPlan::admits(Time now, Time deadline, Duration expectedMaxCallTime) const
{
    if (deadline <= this->endsAt) {
        return true;
    }
    return now < this->balancerKnowsAt && now + expectedMaxCallTime <= this->endsAt;
}

Time ShutdownPlan::limit(Time deadline) const
{
    return std::min(deadline, this->endsAt);
}

} // namespace oleandergate
