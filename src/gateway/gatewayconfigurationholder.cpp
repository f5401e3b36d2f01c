#include "gateway/gatewayconfigurationholder.h"

#include <algorithm>

namespace oleandergate {

void GatewayConfigurationHolder::setListener(Listener newListener)
{
    const std::lock_guard lock(this->mutex);
    this->listener = std::move(newListener);
}

bool GatewayConfigurationHolder::activateIfNewer(GatewayConfiguration configuration, Time now)
{
    if (configuration.version <= this->version()) {
        return false;
    }
    auto next = std::make_shared<const ActiveGatewayConfiguration>(std::move(configuration));
    Listener call;
    {
        const std::lock_guard lock(this->mutex);
        if (this->active && next->configuration.version <= this->active->configuration.version) {
            return false;
        }
        if (this->active) {
            const Duration retention = longestTimeout(this->active->targets.routes) + targetChangeDelay;
            for (const auto &[name, service] : this->active->services) {
                const auto after = next->services.find(name);
                if (after == next->services.end() || after->second.tokensPerEvent != service.tokensPerEvent) {
                    this->eventSizes.addFormer(name, service.tokensPerEvent, retention, now);
                }
            }
            this->formerTargets.onReplaced(this->active->configuration.routes, next->configuration.routes, now);
        }
        this->active = next;
        call = this->listener;
    }
    if (call) {
        call(next);
    }
    return true;
}

std::shared_ptr<const ActiveGatewayConfiguration> GatewayConfigurationHolder::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->active;
}

StreamOrigins GatewayConfigurationHolder::originsOf(const Route &route, std::string_view path, std::string_view key, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->formerTargets.originsOf(route, path, key, now);
}

Tokens GatewayConfigurationHolder::smallestEvent(const GatewayService &service, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->eventSizes.smallest(service.name, service.tokensPerEvent, now);
}

std::uint64_t GatewayConfigurationHolder::version() const
{
    const std::lock_guard lock(this->mutex);
    return this->active ? this->active->configuration.version : 0;
}

void GatewayConfigurationHolder::announce(std::uint64_t announced)
{
    const std::lock_guard lock(this->mutex);
    this->announcedVersion = std::max(this->announcedVersion.load(), announced);
}

bool GatewayConfigurationHolder::isOutdated() const
{
    return this->announcedVersion > this->version();
}

} // namespace oleandergate
