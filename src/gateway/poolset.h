#ifndef OLEANDERGATE_GATEWAY_POOLSET_H
#define OLEANDERGATE_GATEWAY_POOLSET_H

#include "decision/endpointcatalog.h"
#include "gateway/activegatewayconfiguration.h"
#include "gateway/servicepool.h"

namespace oleandergate {

//! The pools of all services, updated from the configuration and the registrations of endpoints. Thread-safe.
class PoolSet
{
public:
    //! \p reregistrationTimeout as in EndpointCatalog; \p domain is this instance's failure domain.
    PoolSet(Duration reregistrationTimeout, std::string domain, std::uint64_t seed);

    //! Creates the pools of the services in \p active. Pools of other services are dropped if they have no calls.
    void configure(const ActiveGatewayConfiguration &active, Time now);

    void putEndpoint(const EndpointEntry &entry, Time now);
    void removeEndpoint(const EndpointId &id, Time now);
    void replaceEndpoints(const std::vector<EndpointEntry> &entries, Time now);

    //! As in EndpointCatalog.
    void adoptEndpoints(const std::vector<EndpointEntry> &entries, Time now);

    //! Sets since when the registry of the endpoints has been available; nothing while it may be unavailable.
    void setRegistryAvailable(std::optional<Time> since, Time now);

    //! Drops endpoints that did not register again in time. Returns true when any was dropped.
    bool dropMissing(Time now);

    //! As in EndpointCatalog; an endpoint that is leaving gets no new calls from the end of this function on.
    std::optional<LeavingStatement> addLeaving(const EndpointId &id, Time now);
    bool addLeaving(const LeavingStatement &statement, Time now);
    std::vector<LeavingStatement> nextLeavingReport(std::size_t count);
    bool hasLeavingNews() const;

    //! Drops endpoints that did not register again, and the state of programs without a call since \p idleSince.
    void expire(Time now, Time idleSince);

    //! Returns the pool of \p service, or nullptr.
    std::shared_ptr<ServicePool> find(const std::string &service) const;

    //! Returns the number of this instance's calls at each endpoint.
    std::map<EndpointId, std::uint32_t> ownCalls() const;

    //! Sets the number of the other instances' calls at each endpoint, by endpointHash(); 0 for endpoints that \p calls lacks.
    void setPeerCalls(const std::map<std::uint32_t, std::uint32_t> &calls, Time now);

    //! Sets the rate limits of endpoints, as in Dispatcher.
    void setRateLimits(const std::map<EndpointId, double> &limits, std::size_t instances, Time now);

    std::vector<EndpointId> endpointIds() const;

    //! Returns the identifier of the endpoint at \p address; empty when there is none.
    EndpointId endpointAt(const std::string &address) const;

    //! Returns the address of the endpoint \p id; empty when it is not known or has stated that it is leaving.
    std::string addressOf(const EndpointId &id) const;

    //! As in EndpointCatalog.
    std::map<std::string, std::uint32_t> slotsByVersion(const std::string &service) const;

    //! As in EndpointCatalog.
    std::uint64_t endpointDigest() const;
    std::vector<EndpointEntry> endpointEntries() const;
    bool trustsRemovals(Time now) const;
    std::optional<Time> dropsMissingAt() const;
    std::size_t endpointCount() const;
    bool hasEndpoint(const EndpointId &id) const;
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
