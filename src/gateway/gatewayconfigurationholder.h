#ifndef OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATIONHOLDER_H
#define OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATIONHOLDER_H

#include "decision/eventsizes.h"
#include "decision/routetargethistory.h"
#include "gateway/activegatewayconfiguration.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace oleandergate {

//! Holds the active configuration, which is only ever replaced by newer versions. Thread-safe.
class GatewayConfigurationHolder
{
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveGatewayConfiguration> &active)>;

    //! Sets the listener, which is called after each change, without a lock held.
    void setListener(Listener newListener);

    //! Activates \p configuration. Returns false when it is not newer than the active one.
    bool activateIfNewer(GatewayConfiguration configuration, Time now);

    //! Returns the active configuration, or nullptr if there is none.
    std::shared_ptr<const ActiveGatewayConfiguration> current() const;

    //! As in RouteTargetHistory, for the configurations that were active here.
    StreamOrigins originsOf(const Route &route, std::string_view path, std::string_view key, Time now) const;

    //! As in EventSizes, for the configurations that were active here.
    Tokens smallestEvent(const GatewayService &service, Time now) const;

    //! Returns the version of the active configuration, or 0.
    std::uint64_t version() const;

    //! Records that another instance has the version \p announced.
    void announce(std::uint64_t announced);

    //! Returns true when a newer version than the active one has been announced.
    bool isOutdated() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const ActiveGatewayConfiguration> active;
    RouteTargetHistory formerTargets;
    EventSizes eventSizes;
    Listener listener;
    std::atomic<std::uint64_t> announcedVersion{0}; //!< Newest version that another instance is known to have.
};

} // namespace oleandergate

#endif
