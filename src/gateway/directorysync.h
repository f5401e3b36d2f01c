#ifndef OLEANDERGATE_GATEWAY_DIRECTORYSYNC_H
#define OLEANDERGATE_GATEWAY_DIRECTORYSYNC_H

#include "decision/ignoredentries.h"
#include "decision/peerqueryplan.h"
#include "decision/readingplan.h"
#include "decision/removaltrust.h"
#include "decision/routetargetledger.h"
#include "decision/watcherselection.h"
#include "gateway/interfaces/recordformat.h"
#include "gateway/prefixfollower.h"
#include "wire/peermessage.h"

#include <atomic>
#include <map>
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
class RouteTargetRecords;

//! Keeps this instance's copy of the configuration and the endpoints up to date.
//!
//! All instances watch the configuration in the key-value service, and a few watch the endpoints, which change far more often. A watch
//! may stop delivering events without an error, so these few take turns to read everything again. An instance that learns from a peer's
//! report that it lacks a newer configuration or newer endpoints queries peers.
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
        RouteTargetRecords &targets;
    };

    DirectorySync(boost::asio::io_context &context, const Parts &parts, InstanceId self);

    //! Starts all loops.
    void start();

    //! Answers a peer's ConfigQuery or EndpointsQuery; returns nothing for other messages.
    std::optional<PeerMessage> serve(const PeerMessage &message, Time now) const;

    //! Returns when configuration and endpoints were last read, the earlier of the two times.
    Time readAt() const;

    //! Returns since when, without interruption, any instance has had contact with the key-value service; nothing if there was none just now.
    std::optional<Time> serviceContactSince() const;

    //! Processes that a peer knows the key-value service to have been available from \p since until \p until.
    void onServiceAvailable(Time since, Time until);

    //! Returns the revision of the key-value service up to which this instance knows the endpoints.
    std::uint64_t endpointRevision() const;

private:
    boost::asio::awaitable<void> run();

    //! Decides whether this instance watches the key-value service and sets its followers accordingly. Returns the decision.
    bool updateWatching(Time now);

    //! Reads endpoints and configuration.
    boost::asio::awaitable<void> reread(Time now);

    //! Queries peers for newer state as long as their reports say that there is any.
    boost::asio::awaitable<void> queryLoop();
    void queryForConfiguration(Time now);
    void queryForEndpoints(Time now);
    boost::asio::awaitable<void> fetchConfiguration(std::string peer);
    boost::asio::awaitable<void> fetchEndpoints(std::string peer);
    boost::asio::awaitable<void> readConfiguration();
    void logUnanswered(const char *component, const std::string &peer, const Result<PeerMessage> &reply, const PeerQueryPlan &plan) const;

    //! A configuration that is newer than the active one, while the targets of its routes are not recorded yet.
    struct PendingConfiguration
    {
        GatewayConfiguration configuration{};
        VersionedTargets targets{};
        Time since{};
        std::uint64_t revision = 0;
        std::string source{};
    };

    //! Takes the configuration in \p pair if it is newer. \p source is where it comes from, for the log.
    void storeConfiguration(const KvPair &pair, const std::string &source);

    //! Activates the configuration that was taken last as soon as the targets of its routes are recorded, or after some time.
    void activatePending(Time now);

    //! Returns the version of the configuration that was taken last, or 0.
    std::uint64_t newestVersion() const;
    void loadEndpoints(const KvRange &range);

    //! Has removals of endpoints wait or not, as RemovalTrust says now. \p cause is for the log.
    void updateRemovals(const char *cause);
    void applyEndpointEvent(const KvEvent &event);
    std::optional<EndpointEntry> readEndpoint(const KvPair &pair);

    boost::asio::io_context &context;
    Parts parts;
    InstanceId self;
    WatcherSelection watcherSelection;
    PrefixFollower configurationFollower;
    PrefixFollower endpointFollower;
    RemovalTrust removalTrust;
    std::optional<Time> registryAvailableSince{Time{}}; //!< As the pools know it.
    IgnoredEntries ignoredEntries; //!< Registrations that cannot be read.
    ReadingPlan readings;
    PeerQueryPlan configurationQueries;
    PeerQueryPlan endpointQueries;
    std::optional<PendingConfiguration> pending; //!< Used on the context's thread only.
    bool watching = true; //!< Watches the endpoints, too.
    bool rereading = false; //!< A reading is under way, or the latest one failed, of an instance that watches the endpoints.
    bool readingConfiguration = false;
    bool endpointsLoaded = false;
    std::atomic<std::uint64_t> peerRevision{0}; //!< Up to which a peer knew the endpoints that were fetched from it.
};

} // namespace oleandergate

#endif
