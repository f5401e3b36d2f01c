#ifndef OLEANDERGATE_RUNTIME_DISPATCHSERVICE_H
#define OLEANDERGATE_RUNTIME_DISPATCHSERVICE_H

#include "decision/attemptfailure.h"
#include "decision/peaklimiter.h"
#include "runtime/configservice.h"
#include "runtime/dispatchedcall.h"
#include "runtime/dispatchpool.h"
#include "runtime/interfaces/readycallhandler.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <unordered_map>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class CallSender;
class ClusterView;
class EventLog;
class HttpClient;
class InstanceList;
class Metrics;
class PeerClient;
class ProgramService;

//! Queues calls by pool, places them on endpoints within the limit on tokens per minute (the peak), and sends them.
class DispatchService : public ReadyCallHandler
{
public:
    struct Dependencies
    {
        ProgramService &programs;
        InstanceList &list;
        HttpClient &client;
        ClusterView &view;
        PeerClient &peers;
        EventLog &events;
        Metrics &metrics;
    };

    DispatchService(boost::asio::io_context &context, const Dependencies &dependencies);
    ~DispatchService() override;

    //! Activates a configuration, unless a newer one is active.
    void configure(const std::shared_ptr<const ActiveConfig> &config);

    //! Starts the background loops that refresh endpoints and load reports, interrupt streams and release caches.
    void start();

    void onReady(const LiveCall &call, const ProgramSpec &spec) override;
    void onAbort(CallId call) override;
    void onQueryOutcome(const ProgramId &program, const RequestId &requestId, const std::string &service) override;
    void onReleaseCache(const ProgramId &program, const std::set<EndpointId> &endpoints) override;

    //! Counts tokens of an answer as they arrive.
    void onProgress(const DispatchedCallPointer &dispatched, Tokens tokens);

    //! Handles the complete answer to a call.
    void onAnswered(const DispatchedCallPointer &dispatched, CallAnswer answer);

    //! Handles the failure of an attempt.
    void onFailed(const DispatchedCallPointer &dispatched, AttemptFailure failure);

    //! Handles an attempt that was interrupted; the next attempt continues its text.
    void onInterrupted(const DispatchedCallPointer &dispatched);

    //! Returns the pool of a call, or nullptr when the configuration no longer has it.
    DispatchPoolPointer poolOf(const DispatchedCallPointer &dispatched);

    //! Sets this instance's share of the tokens per minute. Ignored when the configuration has no limit.
    void setGrant(const PeakGrant &grant);

    //! Returns this instance's part of the data with which its grant is renewed.
    PeakRenewal peakRenewal(Time now);

    //! Returns the tokens per minute that all instances may use together; 0 for no limit.
    Tokens peakCap();

    //! Returns the tokens that this instance has used in the minute of \p now.
    Tokens peakUsed(Time now);

    //! Returns the tokens that this instance may use in the minute of \p now.
    Tokens peakGranted(Time now);

    //! Returns the endpoints, queue length and running calls of each pool as a JSON array.
    std::string describePools();

private:
    DispatchPoolPointer poolFor(const CallRequest &request);
    bool isAllowed(const ProgramSpec &spec, const DispatchPool &pool);
    DispatchedCallPointer findDispatched(CallId call);
    void eraseDispatched(CallId call);
    //! Sends waiting calls while the endpoints and the peak have room for them.
    void placeWaitingCalls(const DispatchPoolPointer &pool);
    //! Charges the tokens of the call at the head of the queue. Returns false when they do not fit now; the call is added to
    //! \p refused when they do not fit before its deadline.
    bool chargePeak(const DispatchPoolPointer &pool, const QueuedCall &head, Time now, std::vector<std::pair<CallId, Error>> &refused);
    void refundUnusedPeak(const DispatchedCallPointer &dispatched, Tokens used);
    std::vector<DispatchPoolPointer> allPools();
    boost::asio::awaitable<void> refreshEndpoints();
    boost::asio::awaitable<void> refreshLoads();
    boost::asio::awaitable<void> interruptCalls();
    boost::asio::awaitable<void> queryOutcome(ProgramId program, RequestId requestId, std::string service);
    boost::asio::awaitable<void> sweepCaches();
    boost::asio::awaitable<void> sweepEndpoint(EndpointSpec endpoint);
    boost::asio::awaitable<void> releaseCaches(std::string address, std::vector<ProgramId> programs);
    //! Asks the owners of \p programs which of them are unknown or no longer running.
    boost::asio::awaitable<std::vector<ProgramId>> queryGonePrograms(std::vector<ProgramId> programs);

    boost::asio::io_context &context;
    Dependencies dependencies;
    std::unique_ptr<CallSender> sender;
    std::mutex mutex; //!< Guards config, pools and dispatchedCalls.
    std::shared_ptr<const ActiveConfig> config;
    std::map<std::string, DispatchPoolPointer> pools;
    std::unordered_map<CallId, DispatchedCallPointer> dispatchedCalls;
    std::mutex peakMutex; //!< Guards the members below.
    PeakLimiter peakLimiter;
    Tokens cap = 0; //!< Tokens per minute of all instances; 0 for no limit.
    std::uint64_t peakConfigVersion = 0; //!< Version of the configuration that the cap comes from.
};

} // namespace oleandergate

#endif
