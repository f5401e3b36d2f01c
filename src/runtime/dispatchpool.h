#ifndef OLEANDERGATE_RUNTIME_DISPATCHPOOL_H
#define OLEANDERGATE_RUNTIME_DISPATCHPOOL_H

#include "config/configuration.h"
#include "decision/dispatcher.h"
#include "decision/retrybudget.h"

#include <mutex>
#include <string>

namespace oleandergate {

//! A pool of endpoints with its queue of calls and its own lock.
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
    std::string listName; //!< Service name in the instance list.
    std::mutex mutex{}; //!< Guards the members below.
    Dispatcher dispatcher;
    RetryBudget retryBudget{retriesPerCall, minRetries};
    std::vector<EndpointSpec> endpoints{};
    std::optional<PoolConfig> modelConfig{}; //!< Set for a pool of model engines.
    std::optional<ServiceConfig> serviceConfig{}; //!< Set for a plain service.
    std::uint64_t configVersion = 0; //!< Version of the configuration that modelConfig or serviceConfig comes from.
    bool retired = false; //!< No longer in the configuration.
};

using DispatchPoolPointer = std::shared_ptr<DispatchPool>;

} // namespace oleandergate

#endif
