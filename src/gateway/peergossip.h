#ifndef OLEANDERGATE_GATEWAY_PEERGOSSIP_H
#define OLEANDERGATE_GATEWAY_PEERGOSSIP_H

#include "decision/peertable.h"
#include "wire/loadreport.h"
#include "wire/messageauth.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

//! Tells the other instances over UDP that this one lives and how many calls it has at each endpoint, and hears theirs.
//! Beyond a fixed number of peers each report goes to a rotating part of them, so the cost per instance stays level and the
//! reports of each come more rarely.
class PeerGossip
{
public:
    //! What this instance says of itself.
    struct OwnNews
    {
        std::uint64_t configVersion = 0;
        Time serviceReached{}; //!< When it last read configuration and endpoints from the key-value service.
        std::uint64_t endpointDigest = 0;
        std::uint64_t endpointRevision = 0;
        bool leaving = false;
        std::set<SlotId> keptSlots{};
        std::map<EndpointId, std::uint32_t> loads{};
    };

    struct Hooks
    {
        std::function<OwnNews()> ownNews{};
        std::function<void(const std::map<std::uint32_t, std::uint32_t> &loads, Time now)> onLoads{}; //!< Others' calls by endpoint hash.
        std::function<void(const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &keepers, Time now)> onMembers{}; //!< Called each step.
        std::function<void(const std::string &peerAddress)> onNewerConfig{};
    };

    PeerGossip(boost::asio::io_context &context, const MessageAuth &auth, const InstanceRecord &self, const std::vector<std::string> &seeds, Hooks hooks);
    ~PeerGossip();
    PeerGossip(const PeerGossip &) = delete;
    PeerGossip &operator=(const PeerGossip &) = delete;

    //! Binds the address and starts. Returns false when the address is taken.
    bool start();

    //! Returns true when some live peer reached the key-value service after \p time. Thread-safe.
    bool reachedServiceAfter(Time time) const;

    //! As in PeerTable. Thread-safe.
    Time latestServiceReading() const;
    std::string bestInformed(std::uint64_t revision) const;
    bool knowsOtherEndpoints(std::uint64_t digest, std::uint64_t revision) const;

    //! Adds an address to try. Thread-safe.
    void addAddress(const std::string &address, Time now);

    std::vector<PeerReport> livePeers() const;

private:
    struct Core;
    boost::asio::awaitable<void> sendLoop();
    void step(Time now, Time before);
    void take(const std::string &payload);
    //! Returns the report to send, with number 0 when there is none: nothing changed, and \p always is false.
    LoadReport makeReport(Time now, bool always);

    std::unique_ptr<Core> core;
};

//! Returns the short name of an endpoint in reports.
std::uint32_t endpointHash(const EndpointId &endpoint);

} // namespace oleandergate

#endif
