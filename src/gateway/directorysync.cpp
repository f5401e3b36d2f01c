#include "gateway/directorysync.h"

#include "decision/hash.h"
#include "gateway/configurationchange.h"
#include "gateway/gatewayconfigurationholder.h"
#include "gateway/milliseconds.h"
#include "gateway/peergossip.h"
#include "gateway/poolset.h"
#include "gateway/routetargetrecords.h"
#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(50);

//! Reports of one change reach all instances within this time. An instance that reads the service waits that long before it
//! rereads.
constexpr Duration maxReportDelay = std::chrono::milliseconds(250);

//! An instance rereads everything this long after the latest reading by any of them, so that a change that no watch reports
//! is active everywhere within two seconds.
constexpr ReadingPlan::Limits readingLimits{.interval = std::chrono::milliseconds(400),
                                            .jitter = std::chrono::milliseconds(200),
                                            .reportDelay = maxReportDelay,
                                            .minInterval = std::chrono::milliseconds(700),
                                            .attemptInterval = std::chrono::milliseconds(200),
                                            .attemptingPeers = 8,
                                            .maxUnderWay = 6};

//! How often this instance checks whether peers have newer state.
constexpr Duration queryPollInterval = std::chrono::milliseconds(20);

//! A peer answers within a few milliseconds. A slower one is frozen or cut off, and others are queried by then.
constexpr Duration configurationQueryTimeout = std::chrono::milliseconds(300);
constexpr Duration endpointsQueryTimeout = std::chrono::milliseconds(400);

//! With the poll interval, at least six peers and the service were asked by 0.3 s after the first report of a newer version.
constexpr PeerQueryPlan::Limits configurationQueryLimits{std::chrono::milliseconds(20), std::chrono::milliseconds(80), 2, 6, std::chrono::milliseconds(200)};

//! Endpoints change many times a second while they restart, and each reply has all of them.
constexpr PeerQueryPlan::Limits endpointQueryLimits{std::chrono::milliseconds(60), std::chrono::milliseconds(200), 1, 3, std::nullopt};

//! Longest time between two readings of an available service by any instance: the intervals above, with one reader failing.
constexpr Duration maxReadingGap = std::chrono::milliseconds(1200);

//! A starting instance assumes that the service has been available for this long, so that an endpoint that leaves at that
//! time is still out of use within two seconds.
constexpr Duration assumedServiceUptime = std::chrono::milliseconds(700);

//! Before endpoints whose registrations are missing are dropped, the registrations are read once more. Longer than the poll interval and a reading.
constexpr Duration confirmationLead = std::chrono::milliseconds(150);

//! How long a configuration waits until the targets of its routes are recorded. Less than the time within which a change has to be in force.
constexpr Duration targetRecordTimeout = std::chrono::milliseconds(700);

//! The same where the record could not even be read.
constexpr Duration unreadRecordTimeout = std::chrono::milliseconds(250);

//! Number of instances that watch the endpoints. Three tolerate the loss of two at once.
constexpr std::size_t watcherCount = 3;

//! Registrations are read several times a second, also those that do not change.
constexpr IgnoredEntries::Limits ignoredEntryLimits{.keys = 1024, .lines = 200, .interval = std::chrono::minutes(1)};

//! Sources of a configuration in the log, besides the addresses of peers.
constexpr const char *watchSource = "watch";
constexpr const char *readingSource = "reading";

} // namespace

DirectorySync::DirectorySync(asio::io_context &context, const Parts &parts, InstanceId self)
    : context(context)
    , parts(parts)
    , self(std::move(self))
    , watcherSelection(this->self, watcherCount)
    , configurationFollower(parts.service,
                            parts.format.configurationKey(),
                            PrefixFollower::Hooks{.onLoad =
                                                      [this](const KvRange &range) {
                                                          for (const KvPair &pair : range.pairs) {
                                                              this->storeConfiguration(pair, readingSource);
                                                          }
                                                      },
                                                  .onEvent =
                                                      [this](const KvEvent &event) {
                                                          if (!event.deleted) {
                                                              this->storeConfiguration(event.pair, watchSource);
                                                          }
                                                      },
                                                  .keeps =
                                                      [this](const KvPair &pair) {
                                                          return pair.key == this->parts.format.configurationKey();
                                                      }})
    , endpointFollower(parts.service,
                       parts.format.endpointPrefix(),
                       PrefixFollower::Hooks{.onLoad =
                                                 [this](const KvRange &range) {
                                                     this->loadEndpoints(range);
                                                 },
                                             .onEvent =
                                                 [this](const KvEvent &event) {
                                                     this->applyEndpointEvent(event);
                                                 },
                                             .onFailed =
                                                 [this](Time askedAt) {
                                                     this->removalTrust.onFailed(askedAt);
                                                     this->updateRemovals("failed reading");
                                                 },
                                             .onAnswered =
                                                 [this]() {
                                                     this->removalTrust.onAnswered(currentTime());
                                                     this->updateRemovals("reading");
                                                 },
                                             .keeps =
                                                 [this](const KvPair &pair) {
                                                     return this->readEndpoint(pair).has_value();
                                                 }})
    , removalTrust(maxReadingGap)
    , ignoredEntries(ignoredEntryLimits)
    , readings(readingLimits, hashOf(this->self))
    , configurationQueries(configurationQueryLimits)
    , endpointQueries(endpointQueryLimits)
{
}

void DirectorySync::start()
{
    spawnLoop(this->context.get_executor(), "configuration", [this]() {
        return this->configurationFollower.run();
    });
    spawnLoop(this->context.get_executor(), "endpoints", [this]() {
        return this->endpointFollower.run();
    });
    spawnLoop(this->context.get_executor(), "readings", [this]() {
        return this->run();
    });
    spawnLoop(this->context.get_executor(), "queries", [this]() {
        return this->queryLoop();
    });
}

std::optional<PeerMessage> DirectorySync::serve(const PeerMessage &message, Time now) const
{
    if (std::holds_alternative<ConfigQuery>(message)) {
        const std::shared_ptr<const ActiveGatewayConfiguration> active = this->parts.configurationHolder.current();
        ConfigReply reply;
        if (active) {
            reply.version = active->configuration.version;
            reply.text = active->configuration.source;
        }
        return reply;
    }
    if (std::holds_alternative<EndpointsQuery>(message)) {
        return EndpointsReply{this->endpointRevision(), this->parts.pools.trustsRemovals(now), this->parts.pools.endpointEntries()};
    }
    return std::nullopt;
}

void DirectorySync::storeConfiguration(const KvPair &pair, const std::string &source)
{
    if (pair.key != this->parts.format.configurationKey()) {
        return;
    }
    Result<GatewayConfiguration> read = this->parts.format.readConfiguration(pair.value);
    if (!read) {
        logError("configuration", "cannot use the stored configuration", read.error());
        return;
    }
    if (read.value().version <= this->newestVersion()) {
        return;
    }
    read.value().source = this->parts.format.withoutKeys(pair.value);
    const Time now = currentTime();
    read.value().receivedAt = now;
    PendingConfiguration taken;
    taken.targets = VersionedTargets{read.value().version, streamTargets(read.value().routes)};
    taken.configuration = std::move(read.value());
    // One that is replaced again and again must not wait for ever.
    taken.since = this->pending ? this->pending->since : now;
    taken.revision = pair.revision;
    taken.source = source;
    this->pending = std::move(taken);
    // Until it is active, streams may have begun by it elsewhere.
    this->parts.configurationHolder.announce(this->pending->targets.version);
    this->parts.targets.require(this->pending->targets, now);
    this->activatePending(now);
}

void DirectorySync::activatePending(Time now)
{
    if (!this->pending) {
        return;
    }
    const bool isRecorded = this->parts.targets.holds(this->pending->targets);
    const Duration waited = now - this->pending->since;
    if (!isRecorded && waited < (this->parts.targets.isLoaded() ? targetRecordTimeout : unreadRecordTimeout)) {
        return;
    }
    if (!isRecorded) {
        this->parts.targets.addUnrecorded(this->pending->targets);
    }
    PendingConfiguration taken = std::move(*this->pending);
    this->pending.reset();
    const std::shared_ptr<const ActiveGatewayConfiguration> before = this->parts.configurationHolder.current();
    const std::string changed = before ? describeChange(before->configuration, taken.configuration) : std::string();
    const std::size_t routes = taken.configuration.routes.size();
    this->parts.configurationHolder.activateIfNewer(std::move(taken.configuration), now);
    logRecord(isRecorded ? LogLevel::Info : LogLevel::Warning,
              "configuration",
              "activated",
              {{"version", std::to_string(taken.targets.version)},
               {"before", std::to_string(before ? before->configuration.version : 0)},
               {"changed", changed},
               {"revision", std::to_string(taken.revision)},
               {"source", taken.source},
               {"behind_ms", milliseconds(this->configurationQueries.behindFor(now).value_or(Duration::zero()))},
               {"waited_ms", milliseconds(waited)},
               {"targets_recorded", isRecorded ? "true" : "false"},
               {"routes", std::to_string(routes)}});
}

std::uint64_t DirectorySync::newestVersion() const
{
    return this->pending ? this->pending->targets.version : this->parts.configurationHolder.version();
}

std::uint64_t DirectorySync::endpointRevision() const
{
    return std::max(this->endpointFollower.seenRevision(), this->peerRevision.load());
}

Time DirectorySync::readAt() const
{
    return std::min(this->configurationFollower.loadedAt(), this->endpointFollower.loadedAt());
}

bool DirectorySync::updateWatching(Time now)
{
    const std::size_t rank = this->parts.gossip.countReports([this, now](const PeerReport &peer) {
        return this->watcherSelection.isRankedBefore(peer, now);
    });
    const bool watches = this->watcherSelection.shouldWatch(rank, now);
    if (watches != this->watching) {
        logRecord(LogLevel::Info, "store", watches ? "watching for changes of endpoints" : "learning of changes of endpoints from peers");
    }
    this->watching = watches;
    this->configurationFollower.setRelaxed(!watches);
    this->endpointFollower.setActive(watches);
    return watches;
}

asio::awaitable<void> DirectorySync::run()
{
    Time lastAgreedAt = currentTime();
    while (true) {
        co_await sleepFor(pollInterval);
        const Time now = currentTime();
        const bool watches = this->updateWatching(now);
        ReadingPlan::Situation known;
        known.latestReading = std::max(this->readAt(), this->parts.gossip.latestServiceContact());
        known.peers = this->parts.gossip.liveCount();
        this->removalTrust.onContact(known.latestReading, now);
        if (!watches) {
            this->removalTrust.onReliesOnPeers(now);
        }
        this->updateRemovals("contact");
        if (!watches || this->parts.gossip.offersOfEndpoints(this->parts.pools.endpointDigest(), this->endpointRevision()).empty()) {
            lastAgreedAt = now;
        }
        known.peersDiffer = now - lastAgreedAt > maxReportDelay;
        if (const std::optional<Time> dropsAt = this->parts.pools.dropsMissingAt()) {
            known.confirmAt = *dropsAt - confirmationLead;
        }
        if (watches && this->readings.shouldBegin(known, now)) {
            asio::co_spawn(this->context, this->reread(now), asio::detached);
        }
        this->rereading = watches && this->readings.isUnanswered();
    }
}

asio::awaitable<void> DirectorySync::reread(Time begunAt)
{
    bool answered = false;
    try {
        // The endpoints first: while the service does not answer, nothing else needs to be asked.
        answered = co_await this->endpointFollower.load();
        if (answered) {
            answered = co_await this->configurationFollower.load();
        }
    } catch (const std::exception &exception) {
        logRecord(LogLevel::Error, "store", "a reading failed", {{"detail", exception.what()}});
    }
    this->readings.onEnded(begunAt, answered);
}

asio::awaitable<void> DirectorySync::queryLoop()
{
    while (true) {
        co_await sleepFor(queryPollInterval);
        const Time now = currentTime();
        this->parts.targets.step(now);
        this->activatePending(now);
        this->queryForConfiguration(now);
        this->queryForEndpoints(now);
    }
}

void DirectorySync::queryForConfiguration(Time now)
{
    const PeerQueryPlan::Step step = this->configurationQueries.next(this->parts.gossip.offersOfConfiguration(this->newestVersion()), now);
    for (const std::string &peer : step.queries) {
        asio::co_spawn(this->context, this->fetchConfiguration(peer), asio::detached);
    }
    if (step.readService && !this->readingConfiguration) {
        asio::co_spawn(this->context, this->readConfiguration(), asio::detached);
    }
}

void DirectorySync::queryForEndpoints(Time now)
{
    // An instance that watches the service learns of changes there first.
    const bool needsPeers = !this->watching || this->rereading;
    const std::vector<PeerOffer> offers
        = needsPeers ? this->parts.gossip.offersOfEndpoints(this->parts.pools.endpointDigest(), this->endpointRevision()) : std::vector<PeerOffer>();
    for (const std::string &peer : this->endpointQueries.next(offers, now).queries) {
        asio::co_spawn(this->context, this->fetchEndpoints(peer), asio::detached);
    }
}

asio::awaitable<void> DirectorySync::readConfiguration()
{
    this->readingConfiguration = true;
    co_await this->configurationFollower.load();
    this->readingConfiguration = false;
}

asio::awaitable<void> DirectorySync::fetchConfiguration(std::string peer)
{
    const Result<PeerMessage> reply = co_await this->parts.peers.sendWithin(configurationQueryTimeout, peer, ConfigQuery());
    this->configurationQueries.onQueryEnded(peer);
    const auto *found = reply ? std::get_if<ConfigReply>(&reply.value()) : nullptr;
    if (found == nullptr) {
        this->logUnanswered("configuration", peer, reply, this->configurationQueries);
        co_return;
    }
    if (found->version > this->newestVersion()) {
        this->storeConfiguration(KvPair{this->parts.format.configurationKey(), found->text, 0}, peer);
    }
}

void DirectorySync::logUnanswered(const char *component, const std::string &peer, const Result<PeerMessage> &reply, const PeerQueryPlan &plan) const
{
    logRecord(LogLevel::Info,
              component,
              "a peer did not answer a query for newer state",
              {{"peer", peer},
               {"behind_ms", milliseconds(plan.behindFor(currentTime()).value_or(Duration::zero()))},
               {"detail", reply ? "the reply is of another kind" : reply.error().detail}});
}

asio::awaitable<void> DirectorySync::fetchEndpoints(std::string peer)
{
    const Result<PeerMessage> reply = co_await this->parts.peers.sendWithin(endpointsQueryTimeout, peer, EndpointsQuery());
    this->endpointQueries.onQueryEnded(peer);
    const auto *found = reply ? std::get_if<EndpointsReply>(&reply.value()) : nullptr;
    if (found == nullptr) {
        this->logUnanswered("endpoints", peer, reply, this->endpointQueries);
        co_return;
    }
    if (found->revision <= this->endpointRevision() || found->entries.empty()) {
        co_return;
    }
    if (!found->hasVersions) {
        // Instances of an earlier build do not send software versions.
        logRecord(LogLevel::Info, "endpoints", "a peer sent no software versions; reading the service instead", {{"peer", peer}});
        co_await this->endpointFollower.load();
        co_return;
    }
    const Time now = currentTime();
    const std::uint64_t before = this->parts.pools.endpointDigest();
    if (found->trustsRemovals) {
        this->peerRevision = found->revision;
        this->parts.pools.adoptEndpoints(found->entries, now);
    } else {
        // Endpoints that the peer lacks may still register again, so none is removed; a peer is queried again later.
        for (const EndpointEntry &entry : found->entries) {
            this->parts.pools.putEndpoint(entry, now);
        }
    }
    if (this->parts.pools.endpointDigest() != before) {
        logRecord(LogLevel::Info,
                  "endpoints",
                  "fetched from a peer",
                  {{"peer", peer}, {"count", std::to_string(found->entries.size())}, {"revision", std::to_string(found->revision)}});
    }
}

std::optional<EndpointEntry> DirectorySync::readEndpoint(const KvPair &pair)
{
    Result<EndpointEntry> entry = this->parts.format.readEndpoint(pair);
    if (!entry) {
        if (this->ignoredEntries.shouldLog(pair.key, pair.revision, currentTime())) {
            logError("endpoints", "ignored the registration " + pair.key, entry.error());
        }
        return std::nullopt;
    }
    return std::move(entry.value());
}

void DirectorySync::loadEndpoints(const KvRange &range)
{
    if (!this->endpointsLoaded) {
        // It is unknown whether the service was unavailable until now.
        this->endpointsLoaded = true;
        this->removalTrust.assumeAvailable(currentTime() - assumedServiceUptime);
        this->updateRemovals("start");
    }
    std::vector<EndpointEntry> entries;
    for (const KvPair &pair : range.pairs) {
        std::optional<EndpointEntry> entry = this->readEndpoint(pair);
        if (entry) {
            entries.push_back(std::move(*entry));
        }
    }
    const std::uint64_t before = this->parts.pools.endpointDigest();
    this->parts.pools.replaceEndpoints(entries, currentTime());
    if (this->parts.pools.endpointDigest() != before) {
        logRecord(LogLevel::Info, "endpoints", "read", {{"count", std::to_string(entries.size())}, {"revision", std::to_string(range.revision)}});
    }
}

void DirectorySync::updateRemovals(const char *cause)
{
    const Time now = currentTime();
    const std::optional<Time> since = this->removalTrust.availableSince();
    if (since != this->registryAvailableSince) {
        const bool trustedBefore = this->parts.pools.trustsRemovals(now);
        this->registryAvailableSince = since;
        this->parts.pools.setRegistryAvailable(since, now);
        const bool trusts = this->parts.pools.trustsRemovals(now);
        if (trusts != trustedBefore) {
            logRecord(LogLevel::Info,
                      "endpoints",
                      trusts ? "removals of registrations are trusted" : "registrations may have expired while the key-value service was unavailable",
                      {{"cause", cause}, {"available_ms", since ? milliseconds(now - *since) : std::string()}});
        }
    }
    if (this->parts.pools.dropMissing(now)) {
        logRecord(LogLevel::Info, "endpoints", "dropped endpoints that did not register again", {{"left", std::to_string(this->parts.pools.endpointCount())}});
    }
}

std::optional<Time> DirectorySync::serviceContactSince() const
{
    return this->removalTrust.contactSince();
}

void DirectorySync::onServiceAvailable(Time since, Time until)
{
    this->removalTrust.onAvailable(since, until);
    this->updateRemovals("peer");
}

void DirectorySync::applyEndpointEvent(const KvEvent &event)
{
    const Time now = currentTime();
    const EndpointId id = this->parts.format.endpointId(event.pair.key);
    const std::optional<EndpointEntry> entry = event.deleted ? std::nullopt : this->readEndpoint(event.pair);
    if (!entry) {
        this->parts.pools.removeEndpoint(id, now);
    } else {
        this->parts.pools.putEndpoint(*entry, now);
    }
    if (!entry && !event.deleted) {
        return; // Logged as ignored, within bounds.
    }
    logRecord(LogLevel::Info,
              "endpoints",
              event.deleted ? "gone" : "announced",
              {{"endpoint", id},
               {"service", entry ? entry->service : std::string()},
               {"version", entry ? entry->spec.version : std::string()},
               {"leaving", entry && entry->spec.leaving ? "true" : "false"},
               {"in_use", this->parts.pools.hasEndpoint(id) ? "true" : "false"},
               {"revision", std::to_string(event.pair.revision)}});
}

} // namespace oleandergate
