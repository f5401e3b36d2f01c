#ifndef OLEANDERGATE_RUNTIME_DISPATCHSERVICE_H
#define OLEANDERGATE_RUNTIME_DISPATCHSERVICE_H

#include "decision/attemptfailure.h"
#include "decision/minutepeak.h"
#include "runtime/callwork.h"
#include "runtime/configservice.h"
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

//! Queues calls for their pools, places them on endpoints within the minute's peak, and has them sent.
class DispatchService : public ReadyCallHandler
{
public:
    struct Parts
    {
        ProgramService &programs;
        InstanceList &list;
        HttpClient &client;
        ClusterView &view;
        PeerClient &peers;
        EventLog &events;
        Metrics &metrics;
    };

    DispatchService(boost::asio::io_context &context, const Parts &parts);
    ~DispatchService() override;

    //! Puts a configuration in force.
    void configure(const std::shared_ptr<const ActiveConfig> &config);

    //! Starts the loops that refresh endpoints, reports, interruptions and cache releases.
    void start();

    void onReady(const LiveCall &call, const ProgramSpec &spec) override;
    void onAbort(CallId call) override;
    void onQueryOutcome(const ProgramId &program, const RequestId &requestId, const std::string &service) override;
    void onReleaseCache(const ProgramId &program, const std::set<EndpointId> &endpoints) override;

    //! Takes the tokens of an answer as they come.
    void onProgress(const CallWorkPointer &work, Tokens tokens);

    //! A call's answer is whole.
    void onAnswered(const CallWorkPointer &work, CallAnswer answer);

    //! An attempt failed.
    void onFailed(const CallWorkPointer &work, AttemptFailure failure);

    //! An attempt was interrupted and leaves text to continue.
    void onInterrupted(const CallWorkPointer &work);

    //! Returns the pool of a call under way.
    DispatchPoolPointer poolOf(const CallWorkPointer &work);

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
    CallWorkPointer findWork(CallId call);
    void eraseWork(CallId call);
    void pump(const DispatchPoolPointer &pool);
    bool takePeak(const DispatchPoolPointer &pool, const QueuedCall &head, Time now, std::vector<std::pair<CallId, Error>> &refused);
    void settlePeak(const CallWorkPointer &work, Tokens used);
    std::vector<DispatchPoolPointer> allPools();
    boost::asio::awaitable<void> refreshEndpoints();
    boost::asio::awaitable<void> refreshLoads();
    boost::asio::awaitable<void> interruptLoop();
    boost::asio::awaitable<void> askOutcome(ProgramId program, RequestId requestId, std::string service);
    boost::asio::awaitable<void> sweepCaches();
    boost::asio::awaitable<void> sweepEndpoint(EndpointSpec endpoint);
    boost::asio::awaitable<void> release(std::string address, std::vector<ProgramId> programs);
    boost::asio::awaitable<std::vector<ProgramId>> goneAmong(std::vector<ProgramId> programs);

    boost::asio::io_context &context;
    Parts parts;
    std::unique_ptr<CallSender> sender;
    std::mutex mutex; //!< Guards the maps and the configuration.
    std::shared_ptr<const ActiveConfig> config;
    std::map<std::string, DispatchPoolPointer> pools;
    std::unordered_map<CallId, CallWorkPointer> works;
    std::mutex peakMutex; //!< Guards the peak.
    MinutePeak peak;
    Tokens cap = 0;
    std::uint64_t peakVersion = 0; //!< Version of the configuration that the cap comes from.
};

} // namespace oleandergate

#endif
