#ifndef OLEANDERGATE_RUNTIME_DISPATCHPOOL_H
#define OLEANDERGATE_RUNTIME_DISPATCHPOOL_H

#include "config/configuration.h"
#include "decision/dispatcher.h"
#include "decision/retrybudget.h"

#include <mutex>
#include <string>

namespace oleandergate {

//! One pool of endpoints with its queue, under its own lock.
struct DispatchPool
{
    static constexpr double retriesPerCall = 0.1;
    static constexpr double minRetries = 3.0; //!< Allowed in addition, so that a pool with little traffic can retry.

    DispatchPool(std::string name, std::string listName, std::uint64_t seed)
        : name(std::move(name))
        , listName(std::move(listName))
        , dispatcher(PolicyOptions{}, seed)
    {
    }

    std::string name; //!< "model/NAME" or "service/NAME".
    std::string listName; //!< Name in the instance list.
    std::mutex mutex{};
    Dispatcher dispatcher;
    RetryBudget retryBudget{retriesPerCall, minRetries};
    std::vector<EndpointSpec> endpoints{};
    std::optional<PoolConfig> modelConfig{}; //!< For model engines.
    std::optional<ServiceConfig> serviceConfig{}; //!< For plain services.
    std::uint64_t configVersion = 0; //!< Version of the configuration that pool or service come from.
    bool retired = false; //!< No longer in the configuration.
};

using DispatchPoolPointer = std::shared_ptr<DispatchPool>;

} // namespace oleandergate

#endif
