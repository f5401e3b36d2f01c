#ifndef OLEANDERGATE_RUNTIME_DISPATCHSERVICE_H
#define OLEANDERGATE_RUNTIME_DISPATCHSERVICE_H

#include "decision/attemptfailure.h"
#include "decision/minutepeak.h"
#include "runtime/configkeeper.h"
#include "runtime/dispatchedcall.h"
#include "runtime/dispatchpool.h"
#include "runtime/interfaces/readysink.h"

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

//! Queues calls for their pools, places them on endpoints within the minute's peak, and has them sent.
class DispatchService : public ReadySink
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

    //! Puts a configuration in force.
    void configure(const std::shared_ptr<const ActiveConfig> &config);

    //! Starts the loops that refresh endpoints, reports, interruptions and cache releases.
    void start();

    void onReady(const LiveCall &call, const ProgramSpec &spec) override;
    void onAbort(CallId call) override;
    void onAskOutcome(const ProgramId &program, const RequestId &requestId, const std::string &service) override;
    void onRelease(const ProgramId &program, const std::set<EndpointId> &endpoints) override;

    //! Takes the tokens of an answer as they come.
    void onProgress(const DispatchedCallPointer &dispatched, Tokens tokens);

    //! A call's answer is whole.
    void onAnswered(const DispatchedCallPointer &dispatched, CallAnswer answer);

    //! An attempt failed.
    void onFailed(const DispatchedCallPointer &dispatched, AttemptFailure failure);

    //! An attempt was interrupted and leaves text to continue.
    void onInterrupted(const DispatchedCallPointer &dispatched);

    //! Returns the pool of a call under way.
    DispatchPoolPointer poolOf(const DispatchedCallPointer &dispatched);

    void setGrant(const PeakGrant &grant);
    PeakRenewal peakRenewal(Time now);
    Tokens peakCap();
    Tokens peakUsed(Time now);
    Tokens peakGranted(Time now);

    //! Endpoints, queue length and running calls of each pool, as JSON.
    std::string describePools();

private:
    DispatchPoolPointer poolFor(const CallRequest &request);
    bool isAllowed(const ProgramSpec &spec, const DispatchPool &pool);
    DispatchedCallPointer findDispatched(CallId call);
    void eraseDispatched(CallId call);
    void placeWaitingCalls(const DispatchPoolPointer &pool);
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
    boost::asio::awaitable<std::vector<ProgramId>> queryGonePrograms(std::vector<ProgramId> programs);

    boost::asio::io_context &context;
    Dependencies dependencies;
    std::unique_ptr<CallSender> sender;
    std::mutex mutex; //!< Guards the maps and the configuration.
    std::shared_ptr<const ActiveConfig> config;
    std::map<std::string, DispatchPoolPointer> pools;
    std::unordered_map<CallId, DispatchedCallPointer> dispatchedCalls;
    std::mutex peakMutex; //!< Guards the peak.
    MinutePeak peakLimiter;
    Tokens cap = 0;
    std::uint64_t peakConfigVersion = 0; //!< Version of the configuration that the cap comes from.
};

} // namespace oleandergate

#endif
