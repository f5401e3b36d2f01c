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
class PlanHolder;
class PoolSet;

//! Keeps what this instance knows of configuration and endpoints up to date.
//!
//! A few instances watch the key-value service. A watch may fall silent without breaking, so one of them after the other
//! reads everything again; the other instances ask a peer when the report of one that read later differs from what they know.
class DirectorySync
{
public:
    struct Parts
    {
        KeyValueService &service;
        const RecordFormat &format;
        PlanHolder &plans;
        PoolSet &pools;
        PeerGossip &gossip;
        PeerClient &peers;
    };

    DirectorySync(boost::asio::io_context &context, const Parts &parts, InstanceId self);

    //! Starts all loops.
    void start();

    //! Answers a peer's ConfigQuery or EndpointsQuery; nothing for other messages.
    std::optional<PeerMessage> serve(const PeerMessage &message, Time now) const;

    //! Takes the configuration of the instance at \p peer if it is newer.
    void fetchConfiguration(const std::string &peer);

    //! Returns when both configuration and endpoints had been read whole.
    Time readAt() const;

    //! Returns the revision up to which this instance knows the endpoints.
    std::uint64_t endpointRevision() const;

private:
    boost::asio::awaitable<void> run();

    //! Decides whether this instance watches the key-value service, and sets its followers accordingly.
    bool updateWatching(Time now);

    //! Returns false when the key-value service does not answer.
    boost::asio::awaitable<bool> reread();
    boost::asio::awaitable<void> takeEndpointsFromPeer();
    void takeConfiguration(const KvPair &pair);
    void loadEndpoints(const KvRange &range);
    void takeEndpoint(const KvEvent &event);
    std::optional<EndpointEntry> readEndpoint(const KvPair &pair);

    boost::asio::io_context &context;
    Parts parts;
    InstanceId self;
    WatcherSelection watcherChoice;
    PrefixFollower configurationFollower;
    PrefixFollower endpointFollower;
    ServiceAvailability sight;
    std::atomic<bool> fetching{false};
    bool watching = true;
    bool endpointsLoaded = false;
    std::atomic<std::uint64_t> takenRevision{0}; //!< Up to which a peer knew the endpoints that were taken from it.
};

} // namespace oleandergate

#endif
