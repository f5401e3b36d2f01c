#ifndef OLEANDERGATE_GATEWAY_POOLSET_H
#define OLEANDERGATE_GATEWAY_POOLSET_H

#include "decision/endpointcatalog.h"
#include "gateway/activegatewayconfiguration.h"
#include "gateway/servicepool.h"

namespace oleandergate {

//! The pools of all services, fed from the configuration and the endpoints' announcements. Thread-safe.
class PoolSet
{
public:
    //! \p reregistrationTimeout as in EndpointCatalog; \p domain is this instance's failure domain.
    PoolSet(Duration reregistrationTimeout, std::string domain, std::uint64_t seed);

    //! Creates the pools of \p active; those of services that it lacks are dropped once nothing uses them.
    void configure(const ActiveGatewayConfiguration &active, Time now);

    void putEndpoint(const EndpointEntry &entry, Time now);
    void removeEndpoint(const EndpointId &id, Time now);
    void replaceEndpoints(const std::vector<EndpointEntry> &entries, Time now);
    void onRegistryRecovered(Time now);

    //! Drops endpoints that did not come back, and programs without a call since \p idleSince.
    void expire(Time now, Time idleSince);

    //! Returns the pool of \p service, or nullptr.
    std::shared_ptr<ServicePool> find(const std::string &service) const;

    //! Returns how many calls this instance has at each endpoint.
    std::map<EndpointId, std::uint32_t> ownCalls() const;

    //! Sets how many calls the other instances have at each endpoint; those not named have none.
    void setPeerCalls(const std::map<EndpointId, std::uint32_t> &calls, Time now);

    std::vector<EndpointId> endpointIds() const;

    //! As in EndpointCatalog.
    std::uint64_t endpointDigest() const;
    std::vector<EndpointEntry> endpointEntries() const;
    bool trustsRemovals(Time now) const;
    std::size_t endpointCount() const;
    std::size_t waitingCount() const;
    std::size_t runningCount() const;

private:
    void refresh(const std::string &service, Time now);
    void refreshAll(Time now);

    mutable std::mutex mutex;
    EndpointCatalog catalog;
    std::string domain;
    std::uint64_t seed;
    std::map<std::string, std::shared_ptr<ServicePool>> pools;
};

} // namespace oleandergate

#endif
