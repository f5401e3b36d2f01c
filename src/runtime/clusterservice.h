#ifndef OLEANDERGATE_RUNTIME_CLUSTERSERVICE_H
#define OLEANDERGATE_RUNTIME_CLUSTERSERVICE_H

#include "decision/peaklimiter.h"
#include "decision/slotreleases.h"
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

//! Maintains this instance's membership of the cluster: renews its lease, watches the cluster's records, claims and releases
//! slots, and renews its grant of the cluster-wide limit on tokens per minute (the peak).
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

    //! Callbacks into the dispatch service that the renewal of the peak grant uses.
    struct PeakCallbacks
    {
        std::function<PeakRenewal(Time now)> buildRenewal{}; //!< Returns the demand, use, cap and minutes of a renewal; self and live are filled in here.
        std::function<void(const PeakGrant &grant)> applyGrant{}; //!< Replaces the grant that tokens are charged against.
        std::function<Tokens()> cap{}; //!< Returns the configured cap in tokens per minute; 0 for no cap.
    };

    ClusterService(
        boost::asio::io_context &context, const Dependencies &dependencies, const InstanceRecord &self, Duration leaseLength, std::vector<std::string> seeds);

    void setPeakCallbacks(PeakCallbacks callbacks);

    //! Starts the background loops.
    void start();

    //! Marks this instance as leaving, so that its slots are handed over to other instances.
    void markLeaving();

    //! Stops the background loops, returns the peak grant and deletes this instance's record. To be called after the hand-over.
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> leaseLoop();
    //! Writes this instance's record under a new lease. Returns false when the key-value service did not confirm it.
    boost::asio::awaitable<bool> registerInstance();
    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<void> slotLoop();
    void logModeChange(OperatingMode mode, Time now);
    boost::asio::awaitable<void> claimSlots(std::vector<SlotMove> moves);

    //! Claims \p moves in one transaction. Returns false when the key-value service did not answer.
    boost::asio::awaitable<bool> claimSlotBatch(const std::vector<SlotMove> &moves);

    //! Reads the checkpoint and journal of a slot that this instance owns and hands the slot's programs to the program service.
    boost::asio::awaitable<void> recoverSlot(SlotId slot, SlotRecord record);

    //! Resumes slots whose release is no longer planned, such as after their intended new owner has left or while the key-value service is not reached.
    void resumeCancelledReleases(const std::vector<SlotMove> &moves, OperatingMode mode);

    //! Releases slots one by one until the key-value service fails.
    boost::asio::awaitable<void> releaseSlots(std::vector<SlotMove> moves);

    //! Stops new work on a slot and, once the slot is idle, clears its owner, so that another instance can claim it. Returns false when the key-value
    //! service did not answer.
    boost::asio::awaitable<bool> releaseSlot(SlotMove move);
    boost::asio::awaitable<void> peakGrantLoop();

    //! Renews the peak grant. Returns false when another instance changed the record first; the caller then retries.
    boost::asio::awaitable<bool> renewPeak();

    //! Returns the unused part of the peak grant, so that other instances can use it at once.
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
    SlotReleases releases;
    OperatingMode loggedMode = OperatingMode::Normal;
};

} // namespace oleandergate

#endif
