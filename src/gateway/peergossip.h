#ifndef OLEANDERGATE_GATEWAY_PEERGOSSIP_H
#define OLEANDERGATE_GATEWAY_PEERGOSSIP_H

#include "decision/peertable.h"
#include "gateway/newschannel.h"
#include "wire/loadreport.h"
#include "wire/messageauth.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

//! Exchanges load reports with the other instances over UDP: that an instance is alive and how many calls it has at each
//! endpoint. Beyond a fixed number of peers, each report goes to a rotating subset of them, so that the cost per instance stays
//! constant and each peer receives reports less often.
class PeerGossip
{
public:
    //! What this instance reports about itself.
    struct OwnState
    {
        std::uint64_t configVersion = 0;
        Time lastServiceContact{}; //!< When it last read configuration and endpoints from the key-value service.
        std::uint64_t endpointDigest = 0;
        std::uint64_t endpointRevision = 0;
        bool leaving = false;
        std::set<SlotId> ownedBudgetSlots{};
        std::map<EndpointId, std::uint32_t> loads{};
        std::optional<Time> serviceContactSince{}; //!< Since when any instance has had contact with the key-value service without interruption.
    };

    struct Hooks
    {
        std::function<OwnState()> ownState{};
        std::function<void(const std::map<std::uint32_t, std::uint32_t> &loads, Time now)> onLoads{}; //!< Calls of the other instances by endpoint hash.
        std::function<void(const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &budgetSlotOwners, Time now)>
            onMembers{}; //!< Called at the start and whenever one of both has changed.
        std::function<void(std::uint64_t version)> onNewerConfiguration{}; //!< A peer has a newer configuration than this instance.
        std::vector<NewsChannel> channels{}; //!< What else is exchanged beside the reports.
        std::function<void(bool sameDomain, Duration age)> onReportReplaced{}; //!< Called with the age that a peer's previous report had reached.
        std::function<void(Time since, Time until)> onServiceAvailable{}; //!< A peer knows the key-value service to have been available all that time.
    };

    PeerGossip(boost::asio::io_context &context, const MessageAuth &auth, const InstanceRecord &self, const std::vector<std::string> &seeds, Hooks hooks);
    ~PeerGossip();
    PeerGossip(const PeerGossip &) = delete;
    PeerGossip &operator=(const PeerGossip &) = delete;

    //! Binds the address and starts to send and receive. Returns false when the address is already in use.
    bool start();

    //! Returns true when a live peer reached the key-value service after \p time. Thread-safe.
    bool hasServiceContactAfter(Time time) const;

    //! Returns whether other instances may have reached it after \p time, by what is known at \p now. Thread-safe.
    bool mayHaveServiceContactAfter(Time time, Time now) const;

    //! Returns when a report of another instance last arrived; the epoch for never. Thread-safe.
    Time lastReportAt() const;

    //! As in PeerTable. Thread-safe.
    Time latestServiceContact() const;
    std::vector<PeerOffer> offersOfEndpoints(std::uint64_t digest, std::uint64_t revision) const;
    std::vector<PeerOffer> offersOfConfiguration(std::uint64_t version) const;

    //! Adds the address of a possible peer. Thread-safe.
    void addAddress(const std::string &address, Time now);

    //! As in PeerTable. \p matches must not call this object. Thread-safe.
    std::size_t liveCount() const;
    bool hearsMost(Time now) const;
    bool hearsHalf(Time now) const;
    bool missesAny(Time now) const;
    void forgetLost(Time now);
    std::size_t countReports(const std::function<bool(const PeerReport &report)> &matches) const;

    //! Sends the reports of the channels soon, without waiting for the next load report. Thread-safe.
    void sendNews();

private:
    struct Core;
    boost::asio::awaitable<void> sendLoop();
    boost::asio::awaitable<void> newsLoop();

    //! Tells some peers what this instance knows of others.
    boost::asio::awaitable<void> sendMemberNews(Time now);
    bool hasNews() const;

    //! Sends the next reports of the channels to \p targets.
    boost::asio::awaitable<void> sendChannels(std::vector<std::string> targets);
    void step(Time now, Time before);
    void onDatagram(const std::string &payload);

    //! Fills \p report with the own state. Returns false when nothing changed since the latest change and no keep-alive is due.
    bool updateReport(LoadReport &report, Time now);

    std::unique_ptr<Core> core;
};

} // namespace oleandergate

#endif
