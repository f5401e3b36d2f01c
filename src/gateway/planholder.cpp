#include "gateway/planholder.h"

namespace oleandergate {

void PlanHolder::setListener(Listener newListener)
{
    const std::lock_guard lock(this->mutex);
    this->listener = std::move(newListener);
}

bool PlanHolder::offer(GatewayConfiguration configuration)
{
    if (configuration.version <= this->version()) {
        return false;
    }
    auto next = std::make_shared<const ActivePlan>(std::move(configuration));
    Listener call;
    {
        const std::lock_guard lock(this->mutex);
        if (this->plan && next->configuration.version <= this->plan->configuration.version) {
            return false;
        }
        this->plan = next;
        call = this->listener;
    }
    if (call) {
        call(next);
    }
    return true;
}

std::shared_ptr<const ActivePlan> PlanHolder::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->plan;
}

std::uint64_t PlanHolder::version() const
{
    const std::lock_guard lock(this->mutex);
    return this->plan ? this->plan->configuration.version : 0;
}

} // namespace oleandergate
