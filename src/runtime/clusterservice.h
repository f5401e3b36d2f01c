#ifndef OLEANDERGATE_RUNTIME_CLUSTERSERVICE_H
#define OLEANDERGATE_RUNTIME_CLUSTERSERVICE_H

#include "decision/peaklimiter.h"
#include "runtime/clusterview.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <map>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class ConfigKeeper;
class EventLog;
class JournalStore;
class Metrics;
class PeerClient;
class ProgramService;

//! Keeps this instance's place in the cluster: lease, watch, slots, and the share of the minute's peak.
class ClusterService
{
public:
    struct Parts
    {
        KeyValueService &service;
        ClusterView &view;
        ConfigKeeper &config;
        JournalStore &store;
        ProgramService &programs;
        PeerClient &peers;
        EventLog &events;
        Metrics &metrics;
    };

    //! What the peak's keeper needs from the dispatch side.
    struct PeakPort
    {
        std::function<PeakRenewal(Time now)> renewal{}; //!< Demand, use, cap and minutes.
        std::function<void(const PeakGrant &grant)> grant{};
        std::function<Tokens()> cap{}; //!< 0 for none.
    };

    ClusterService(boost::asio::io_context &context, const Parts &parts, const InstanceRecord &self, Duration leaseLength, std::vector<std::string> seeds);

    void setPeakPort(PeakPort port);

    //! Starts all loops.
    void start();

    //! Marks this instance as leaving, so that its slots go to others.
    void leave();

    //! Ends the lease's renewal, after everything was handed over.
    boost::asio::awaitable<void> depart();

private:
    boost::asio::awaitable<void> keepLease();
    boost::asio::awaitable<bool> announce();
    boost::asio::awaitable<void> watchRecords();
    boost::asio::awaitable<void> keepSlots();
    boost::asio::awaitable<void> claim(std::vector<SlotMove> moves);
    boost::asio::awaitable<bool> claimBatch(const std::vector<SlotMove> &moves);
    boost::asio::awaitable<void> adopt(SlotId slot, SlotRecord record);
    void resumeKept(const std::vector<SlotMove> &moves);
    boost::asio::awaitable<void> release(SlotMove move);
    boost::asio::awaitable<void> keepPeak();

    //! Renews the grant. Returns false when another instance's write came first.
    boost::asio::awaitable<bool> renewPeak();
    boost::asio::awaitable<void> returnGrant();
    boost::asio::awaitable<void> fetchConfigFromPeers();

    boost::asio::io_context &context;
    Parts parts;
    InstanceRecord self;
    Duration leaseLength;
    std::vector<std::string> seeds;
    PeakPort peak;
    PeakGrant grant{};
    std::uint64_t lease = 0;
    std::atomic<bool> leaving{false};
    std::atomic<bool> departed{false};
    std::map<SlotId, Time> releasing;
};

} // namespace oleandergate

#endif
