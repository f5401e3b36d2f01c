#ifndef OLEANDERGATE_GATEWAY_ENDPOINTPATHS_H
#define OLEANDERGATE_GATEWAY_ENDPOINTPATHS_H

#include "decision/processlimits.h"
#include "decision/reachabilitytable.h"
#include "decision/tunnelpeers.h"
#include "gateway/newschannel.h"
#include "runtime/directdialer.h"
#include "runtime/interfaces/dialer.h"
#include "runtime/tunnelclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace oleandergate {

class Counter;
class Metrics;

//! Opens connections to endpoints: directly, or by way of another instance when that is not possible and the other one reaches the endpoint.
//!
//! The direct connection has a head start; the first one that is established is used (as in RFC 8305). No byte of a request is sent before,
//! so that this holds for requests that run at most once as well. Thread-safe.
class EndpointPaths : public Dialer
{
public:
    struct Hooks
    {
        std::function<EndpointId(const std::string &address)> endpointAt{}; //!< The endpoint at an address; empty when there is none.
        std::function<std::string(const EndpointId &endpoint)> addressOf{}; //!< The address of an endpoint; empty when it is not known.
        std::function<std::uint32_t()> carriedCount{}; //!< Connections that this instance carries for others.
        std::function<void()> onNews{}; //!< Called when other instances have to know of a change at once.
    };

    EndpointPaths(const MessageAuth &auth, Metrics &metrics, const InstanceRecord &self, Hooks hooks);
    ~EndpointPaths() override;
    EndpointPaths(const EndpointPaths &) = delete;
    EndpointPaths &operator=(const EndpointPaths &) = delete;

    boost::asio::awaitable<DialOutcome> dial(boost::asio::any_io_executor executor, std::string address, Time giveUpAt) override;
    bool mayReuse(const std::string &address, const ConnectionPath &path, Time now) const override;
    void onReceived(const std::string &address, const ConnectionPath &path, Time now) override;

    //! Sets the other live instances.
    void onMembers(const std::vector<InstanceRecord> &live);

    //! Exchanges with the other instances which endpoints are reached. The channel refers to this object.
    NewsChannel channel();

    //! Returns the address at which this instance is to connect for \p request of another one; empty to decline.
    std::string addressFor(const TunnelRequest &request, Time now) const;

    //! Records the end of a connection attempt that this instance made for another one. Returns whether it tells about the endpoint: a failure does so
    //! only if this instance reaches another endpoint, which is tried if need be.
    boost::asio::awaitable<bool> onCarriedDial(std::string address, ReachOutcome outcome);

    //! As in ReachabilityTable.
    std::vector<std::string> takeDueProbes(Time now);
    std::vector<std::string> takeSuspects(Time now);

    //! Tries to connect to \p address directly, and closes the connection.
    boost::asio::awaitable<void> probe(std::string address);

    //! Returns those of \p silentAddresses, from which calls wait for an answer, that are to be checked by a new connection now.
    std::vector<std::string> takeDueChecks(const std::vector<std::string> &silentAddresses, Time now);

    void expire(Time now);
    std::size_t cutOffCount() const;

private:
    struct Race;

    boost::asio::awaitable<void> tryDirectly(std::string address, Duration timeout);

    boost::asio::awaitable<void> connectDirectly(std::shared_ptr<Race> race, Time giveUpAt);
    boost::asio::awaitable<void> connectByPeers(std::shared_ptr<Race> race, Time giveUpAt);
    boost::asio::awaitable<void> askPeer(std::shared_ptr<Race> race, std::string peerAddress, Time giveUpAt);
    DialOutcome takeResult(Race &race);
    void onDirect(const std::string &address, ReachOutcome outcome, const std::string &evidence, Time now);
    void onPeer(const std::string &address, ReachOutcome outcome, const std::string &evidence, Time now);

    //! Records the end of an attempt with \p function, and logs and reports what it changes.
    using RecordFunction = ReachabilityTable::Change (ReachabilityTable::*)(const std::string &address, ReachOutcome outcome, Time now);
    void record(RecordFunction function, const std::string &address, ReachOutcome outcome, const std::string &evidence, Time now);
    void logChange(const std::string &address, ReachabilityTable::Change change, bool isolated, const std::string &evidence) const;
    std::string nextReport(Time now);
    bool onPayload(const std::string &payload, Time now);

    InstanceRecord self;
    Hooks hooks;
    DirectDialer direct{receiveBufferBytes};
    TunnelClient client;
    Counter &opened;
    Counter &refusedTunnels;
    std::atomic<std::uint64_t> nextTunnel{1};
    mutable std::mutex mutex; //!< Guards the members below.
    ReachabilityTable table;
    TunnelPeers peers;
    std::uint32_t newsLeft = 0; //!< Reports that are still to name the latest change.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); //!< Expires with this object.
};

} // namespace oleandergate

#endif
