#include "decision/policyoptions.h"

namespace oleandergate {

PolicyOptions policyFor(PolicyGoal goal)
{
    PolicyOptions options;
    if (goal == PolicyGoal::Programs) {
        options.order = QueueOrder::ProgramStart;
        options.preempt = false;
        options.maxAffinityWait = std::chrono::seconds(3);
    }
    return options;
}

} // namespace oleandergate
