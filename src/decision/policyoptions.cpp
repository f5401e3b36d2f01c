#include "decision/policyoptions.h"

namespace oleandergate {

PolicyOptions policyFor(Favour favour)
{
    PolicyOptions options;
    if (favour == Favour::Programs) {
        options.order = QueueOrder::ProgramStart;
        options.preempt = false;
        options.affinityPatience = std::chrono::seconds(3);
    }
    return options;
}

} // namespace oleandergate
