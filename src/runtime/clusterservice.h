#ifndef OLEANDERGATE_RUNTIME_CLUSTERSERVICE_H
#define OLEANDERGATE_RUNTIME_CLUSTERSERVICE_H

#include "decision/minutepeak.h"
#include "runtime/clusterview.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <map>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class ConfigService;
class EventLog;
class JournalStore;
class Metrics;
class PeerClient;
class ProgramService;

//! Keeps this instance's place in the cluster: lease, watch, slots, and the share of the minute's peak.
class ClusterService
{
public:
    struct Dependencies
    {
        KeyValueService &service;
        ClusterView &view;
        ConfigService &config;
        JournalStore &store;
        ProgramService &programs;
        PeerClient &peers;
        EventLog &events;
        Metrics &metrics;
    };

    //! What the peak's keeper needs from the dispatch side.
    struct PeakCallbacks
    {
        std::function<PeakRenewal(Time now)> buildRenewal{}; //!< Demand, use, cap and minutes.
        std::function<void(const PeakGrant &grant)> applyGrant{};
        std::function<Tokens()> cap{}; //!< 0 for none.
    };

    ClusterService(
        boost::asio::io_context &context, const Dependencies &dependencies, const InstanceRecord &self, Duration leaseLength, std::vector<std::string> seeds);

    void setPeakCallbacks(PeakCallbacks callbacks);

    //! Starts all loops.
    void start();

    //! Marks this instance as leaving, so that its slots go to others.
    void markLeaving();

    //! Ends the lease's renewal, after everything was handed over.
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> leaseLoop();
    boost::asio::awaitable<bool> registerInstance();
    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<void> slotLoop();
    boost::asio::awaitable<void> claimSlots(std::vector<SlotMove> moves);
    boost::asio::awaitable<bool> claimSlotBatch(const std::vector<SlotMove> &moves);
    boost::asio::awaitable<void> recoverSlot(SlotId slot, SlotRecord record);
    void resumeCancelledReleases(const std::vector<SlotMove> &moves);
    boost::asio::awaitable<void> releaseSlot(SlotMove move);
    boost::asio::awaitable<void> peakGrantLoop();

    //! Renews the grant. Returns false when another instance's write came first.
    boost::asio::awaitable<bool> renewPeak();
    boost::asio::awaitable<void> returnGrant();
    boost::asio::awaitable<void> configFetchLoop();

    boost::asio::io_context &context;
    Dependencies dependencies;
    InstanceRecord self;
    Duration leaseLength;
    std::vector<std::string> seeds;
    PeakCallbacks peakCallbacks;
    PeakGrant grant{};
    std::uint64_t lease = 0;
    std::atomic<bool> leaving{false};
    std::atomic<bool> deregistering{false};
    std::map<SlotId, Time> releasing;
};

} // namespace oleandergate

#endif
