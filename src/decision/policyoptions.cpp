#include "decision/policyoptions.h"

namespace oleandergate {

PolicyOptions policyFor(Favour favour)
{
    PolicyOptions options;
    if (favour == Favour::Programs) {
        options.order = QueueOrder::ProgramStart;
        options.preempt = false;
    }
    return options;
}

} // namespace oleandergate
