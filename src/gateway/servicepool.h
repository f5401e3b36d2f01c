#ifndef OLEANDERGATE_GATEWAY_SERVICEPOOL_H
#define OLEANDERGATE_GATEWAY_SERVICEPOOL_H

#include "decision/dispatcher.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace oleandergate {

class AsyncSignal;
class Cancellation;

//! The endpoints of one service and the requests that wait for them. Thread-safe.
class ServicePool
{
public:
    //! \p domain is this instance's failure domain.
    ServicePool(const PolicyOptions &options, const std::string &domain, std::uint64_t seed);
    ~ServicePool();
    ServicePool(const ServicePool &) = delete;
    ServicePool &operator=(const ServicePool &) = delete;

    void setEndpoints(const std::vector<EndpointSpec> &endpoints, Time now);
    void setPeerCalls(const std::map<std::uint32_t, std::uint32_t> &calls, Time now);

    //! Waits for an endpoint with a free slot. Fails as not run when none is expected before the call's deadline, or when
    //! \p cancellation comes first. A placed call has to be ended by finish().
    boost::asio::awaitable<Result<Placement>> place(QueuedCall call, std::shared_ptr<Cancellation> cancellation);

    //! As in Dispatcher.
    bool takesCalls(const std::string &version, const std::set<EndpointId> &avoid, Time now) const;
    bool hasRoom(const std::string &version, const std::set<EndpointId> &avoid, Time now) const;
    bool takesCalls(const EndpointId &endpoint) const;
    bool hasOther(const std::string &version, const EndpointId &endpoint) const;

    //! Records that \p tokens more of the answer arrived.
    void progress(CallId call, Tokens tokens, Time now);

    //! Ends a placed call. \p healthy is false when the endpoint failed.
    void finish(CallId call, bool healthy, Time now);

    //! As in Dispatcher.
    void decline(CallId call, Time retryAt, Time now);
    void setRateLimits(const std::map<EndpointId, double> &limits, std::size_t instances, Time now);

    //! Returns the number of this instance's calls at each endpoint.
    std::map<EndpointId, std::uint32_t> ownCalls() const;

    //! Returns the time within which nearly every call ends.
    Duration expectedMaxCallTime() const;

    //! As in Dispatcher.
    double occupancy() const;

    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    std::size_t endpointCount() const;

    //! Drops the state of programs without a call since \p before.
    void forgetIdle(Time before);

private:
    struct Waiter;

    void placeWaitingCalls(Time now);
    std::optional<Placement> takePlaced(CallId call);
    bool withdraw(CallId call);
    bool mayServe(CallId call) const;
    Time nextUnblock(Time now) const;

    mutable std::mutex mutex;
    Dispatcher dispatcher;
    std::unordered_map<CallId, std::shared_ptr<Waiter>> waiters;
};

} // namespace oleandergate

#endif
