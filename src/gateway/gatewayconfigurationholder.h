#ifndef OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATIONHOLDER_H
#define OLEANDERGATE_GATEWAY_GATEWAYCONFIGURATIONHOLDER_H

#include "gateway/activegatewayconfiguration.h"

#include <functional>
#include <memory>
#include <mutex>

namespace oleandergate {

//! Holds the configuration in force. It only ever moves to newer versions. Thread-safe.
class GatewayConfigurationHolder
{
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveGatewayConfiguration> &active)>;

    //! \p newListener is called without a lock after each change.
    void setListener(Listener newListener);

    //! Puts \p configuration in force. Returns false when it is not newer than the one in force.
    bool activateIfNewer(GatewayConfiguration configuration);

    //! Returns the configuration in force, or nullptr.
    std::shared_ptr<const ActiveGatewayConfiguration> current() const;

    std::uint64_t version() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const ActiveGatewayConfiguration> active;
    Listener listener;
};

} // namespace oleandergate

#endif
