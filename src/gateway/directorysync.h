#ifndef OLEANDERGATE_GATEWAY_DIRECTORYSYNC_H
#define OLEANDERGATE_GATEWAY_DIRECTORYSYNC_H

#include "decision/serviceavailability.h"
#include "decision/watcherselection.h"
#include "gateway/interfaces/recordformat.h"
#include "gateway/prefixfollower.h"
#include "wire/peermessage.h"

#include <atomic>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class PeerClient;
class PeerGossip;
class GatewayConfigurationHolder;
class PoolSet;

//! Keeps this instance's copy of the configuration and the endpoints up to date.
//!
//! A few instances watch the key-value service. A watch may stop delivering events without an error, so these instances take
//! turns to read everything again. The others query a peer when a peer with a newer reading reports different endpoints.
class DirectorySync
{
public:
    struct Parts
    {
        KeyValueService &service;
        const RecordFormat &format;
        GatewayConfigurationHolder &configurationHolder;
        PoolSet &pools;
        PeerGossip &gossip;
        PeerClient &peers;
    };

    DirectorySync(boost::asio::io_context &context, const Parts &parts, InstanceId self);

    //! Starts all loops.
    void start();

    //! Answers a peer's ConfigQuery or EndpointsQuery; returns nothing for other messages.
    std::optional<PeerMessage> serve(const PeerMessage &message, Time now) const;

    //! Fetches the configuration of the instance at \p peer and activates it if it is newer.
    void fetchConfiguration(const std::string &peer);

    //! Returns when configuration and endpoints were last read, the earlier of the two times.
    Time readAt() const;

    //! Returns the revision of the key-value service up to which this instance knows the endpoints.
    std::uint64_t endpointRevision() const;

private:
    boost::asio::awaitable<void> run();

    //! Decides whether this instance watches the key-value service and sets its followers accordingly. Returns the decision.
    bool updateWatching(Time now);

    //! Reads configuration and endpoints. Returns false when the key-value service does not answer.
    boost::asio::awaitable<bool> reread();

    boost::asio::awaitable<void> fetchEndpointsFromPeer();
    void storeConfiguration(const KvPair &pair);
    void loadEndpoints(const KvRange &range);
    void applyEndpointEvent(const KvEvent &event);
    std::optional<EndpointEntry> readEndpoint(const KvPair &pair);

    boost::asio::io_context &context;
    Parts parts;
    InstanceId self;
    WatcherSelection watcherSelection;
    PrefixFollower configurationFollower;
    PrefixFollower endpointFollower;
    ServiceAvailability availability;
    std::atomic<bool> fetching{false};
    bool watching = true;
    bool endpointsLoaded = false;
    std::atomic<std::uint64_t> peerRevision{0}; //!< Up to which a peer knew the endpoints that were fetched from it.
};

} // namespace oleandergate

#endif
