#include "gateway/directorysync.h"

#include "decision/hash.h"
#include "gateway/peergossip.h"
#include "gateway/planholder.h"
#include "gateway/poolset.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>

#include <random>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Some instance reads everything again this long after the latest reading, so that a change that no watch reports is in
//! force everywhere within two seconds.
constexpr Duration rereadStep = std::chrono::milliseconds(400);
constexpr Duration rereadJitter = std::chrono::milliseconds(200);
constexpr Duration rereadLook = std::chrono::milliseconds(50);

//! Reports of a change cross each other for this long at most. A reader of the service waits for that before it reads once
//! more; the others ask a peer, which costs little, almost at once.
constexpr Duration reportDelay = std::chrono::milliseconds(250);
constexpr Duration askDelay = std::chrono::milliseconds(60);

//! Somebody reads a service in good order more often than this: the steps above, and one more where a reader fails.
constexpr Duration longestSilence = std::chrono::milliseconds(1200);

//! A starting instance takes the service to have been in good order for this long, so that an endpoint that leaves then is
//! out of use within two seconds all the same.
constexpr Duration likelySight = std::chrono::milliseconds(700);

//! Instances that watch the key-value service. Three bear the loss of two at once.
constexpr std::size_t watcherCount = 3;

//! Shortest time between two questions to peers.
constexpr Duration askPause = std::chrono::milliseconds(200);

//! Shortest time between two readings that a peer's report asks for.
constexpr Duration rereadPause = std::chrono::milliseconds(700);

} // namespace

DirectorySync::DirectorySync(asio::io_context &context, const Parts &parts, InstanceId self)
    : context(context)
    , parts(parts)
    , self(std::move(self))
    , watcherChoice(this->self, watcherCount)
    , configurationFollower(parts.service,
                            parts.format.configurationKey(),
                            PrefixFollower::Hooks{[this](const KvRange &range) {
                                                      for (const KvPair &pair : range.pairs) {
                                                          this->takeConfiguration(pair);
                                                      }
                                                  },
                                                  [this](const KvEvent &event) {
                                                      if (!event.deleted) {
                                                          this->takeConfiguration(event.pair);
                                                      }
                                                  },
                                                  []() {}})
    , endpointFollower(parts.service,
                       parts.format.endpointPrefix(),
                       PrefixFollower::Hooks{[this](const KvRange &range) {
                                                 this->loadEndpoints(range);
                                             },
                                             [this](const KvEvent &event) {
                                                 this->takeEndpoint(event);
                                             },
                                             [this]() {
                                                 this->parts.pools.onKeeperBack(this->sight.since().value_or(currentTime()));
                                             }})
    , sight(longestSilence)
{
}

void DirectorySync::start()
{
    asio::co_spawn(this->context, this->configurationFollower.run(), asio::detached);
    asio::co_spawn(this->context, this->endpointFollower.run(), asio::detached);
    asio::co_spawn(this->context, this->run(), asio::detached);
}

std::optional<PeerMessage> DirectorySync::serve(const PeerMessage &message, Time now) const
{
    if (std::holds_alternative<ConfigQuery>(message)) {
        const std::shared_ptr<const ActivePlan> plan = this->parts.plans.current();
        ConfigReply reply;
        if (plan) {
            reply.version = plan->configuration.version;
            reply.text = plan->configuration.source;
        }
        return reply;
    }
    if (std::holds_alternative<EndpointsQuery>(message)) {
        return EndpointsReply{this->endpointRevision(), this->parts.pools.isSettled(now), this->parts.pools.endpointEntries()};
    }
    return std::nullopt;
}

void DirectorySync::takeConfiguration(const KvPair &pair)
{
    if (pair.key != this->parts.format.configurationKey()) {
        return;
    }
    Result<GatewayConfiguration> read = this->parts.format.readConfiguration(pair.value);
    if (!read) {
        logError("configuration", "a stored configuration cannot be used", read.error());
        return;
    }
    read.value().source = pair.value;
    const std::uint64_t version = read.value().version;
    const std::size_t routes = read.value().routes.size();
    const std::uint64_t before = this->parts.plans.version();
    if (!this->parts.plans.offer(std::move(read.value()))) {
        return;
    }
    logRecord(LogLevel::Info,
              "configuration",
              "in force",
              {{"version", std::to_string(version)},
               {"before", std::to_string(before)},
               {"revision", std::to_string(pair.revision)},
               {"routes", std::to_string(routes)}});
}

std::uint64_t DirectorySync::endpointRevision() const
{
    return std::max(this->endpointFollower.seenRevision(), this->takenRevision.load());
}

Time DirectorySync::readAt() const
{
    return std::min(this->configurationFollower.loadedAt(), this->endpointFollower.loadedAt());
}

bool DirectorySync::updateWatching(Time now)
{
    const bool watches = this->watcherChoice.decide(this->parts.gossip.livePeers(), now);
    if (watches != this->watching) {
        logRecord(LogLevel::Info, "store", watches ? "watches changes" : "learns of changes from peers");
    }
    this->watching = watches;
    this->configurationFollower.setActive(watches);
    this->endpointFollower.setActive(watches);
    return watches;
}

asio::awaitable<void> DirectorySync::run()
{
    std::mt19937_64 random(hashOf(this->self));
    std::uniform_int_distribution<Duration::rep> jitter(0, rereadJitter.count());
    Time agreedAt = currentTime();
    Time latest{};
    Time due{};
    Time acted{};
    while (true) {
        co_await sleepFor(rereadLook);
        const Time now = currentTime();
        const bool watches = this->updateWatching(now);
        const Time latestNow = std::max(this->readAt(), this->parts.gossip.latestServiceReading());
        this->sight.note(latestNow, now);
        if (latestNow - latest > reportDelay) {
            latest = latestNow;
            due = latest + rereadStep + Duration(jitter(random));
        }
        if (!this->parts.gossip.knowsOtherEndpoints(this->parts.pools.endpointDigest(), this->endpointRevision())) {
            agreedAt = now;
        }
        const bool differs = now - agreedAt > (watches ? reportDelay : askDelay) && now - acted > (watches ? rereadPause : askPause);
        if (!differs && (!watches || now < due)) {
            continue;
        }
        acted = now;
        const bool loaded = watches && co_await this->reread();
        if (watches && !loaded) {
            // The service is away, at least for this instance; others have their own turn.
            due = currentTime() + rereadStep + Duration(jitter(random));
        }
        if (!loaded) {
            co_await this->takeEndpointsFromPeer();
        }
    }
}

asio::awaitable<bool> DirectorySync::reread()
{
    const bool configurationRead = co_await this->configurationFollower.load();
    const bool endpointsRead = co_await this->endpointFollower.load();
    co_return configurationRead &&endpointsRead;
}

asio::awaitable<void> DirectorySync::takeEndpointsFromPeer()
{
    const std::string peer = this->parts.gossip.bestInformed(this->endpointRevision());
    if (peer.empty()) {
        co_return;
    }
    const Result<PeerMessage> reply = co_await this->parts.peers.send(peer, EndpointsQuery());
    const auto *found = reply ? std::get_if<EndpointsReply>(&reply.value()) : nullptr;
    const Time now = currentTime();
    if (found == nullptr || found->revision <= this->endpointRevision() || found->entries.empty()) {
        co_return;
    }
    const std::uint64_t before = this->parts.pools.endpointDigest();
    if (found->trustsRemovals) {
        this->takenRevision = found->revision;
        this->parts.pools.replaceEndpoints(found->entries, now);
    } else {
        // What the peer lacks may come back to it, so only what it has is taken, and it or another one is asked again.
        for (const EndpointEntry &entry : found->entries) {
            this->parts.pools.putEndpoint(entry, now);
        }
    }
    if (this->parts.pools.endpointDigest() != before) {
        logRecord(LogLevel::Info,
                  "endpoints",
                  "taken from a peer",
                  {{"peer", peer}, {"count", std::to_string(found->entries.size())}, {"revision", std::to_string(found->revision)}});
    }
}

void DirectorySync::fetchConfiguration(const std::string &peer)
{
    if (this->fetching.exchange(true)) {
        return;
    }
    asio::co_spawn(
        this->context,
        [this, peer]() -> asio::awaitable<void> {
            const Result<PeerMessage> reply = co_await this->parts.peers.send(peer, ConfigQuery());
            const auto *found = reply ? std::get_if<ConfigReply>(&reply.value()) : nullptr;
            if (found != nullptr && found->version > this->parts.plans.version()) {
                this->takeConfiguration(KvPair{this->parts.format.configurationKey(), found->text, 0});
            }
            this->fetching = false;
        },
        asio::detached);
}

std::optional<EndpointEntry> DirectorySync::readEndpoint(const KvPair &pair)
{
    Result<EndpointEntry> entry = this->parts.format.readEndpoint(pair);
    if (!entry) {
        logError("endpoints", "ignores the announcement " + pair.key, entry.error());
        return std::nullopt;
    }
    return std::move(entry.value());
}

void DirectorySync::loadEndpoints(const KvRange &range)
{
    if (!this->endpointsLoaded) {
        // Nobody knows yet whether the service was away until now.
        this->endpointsLoaded = true;
        this->parts.pools.onKeeperBack(currentTime() - likelySight);
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

void DirectorySync::takeEndpoint(const KvEvent &event)
{
    const Time now = currentTime();
    const EndpointId id = this->parts.format.endpointId(event.pair.key);
    const std::optional<EndpointEntry> entry = event.deleted ? std::nullopt : this->readEndpoint(event.pair);
    if (!entry) {
        this->parts.pools.removeEndpoint(id, now);
    } else {
        this->parts.pools.putEndpoint(*entry, now);
    }
    logRecord(LogLevel::Info,
              "endpoints",
              event.deleted ? "gone" : "announced",
              {{"endpoint", id},
               {"service", entry ? entry->service : std::string()},
               {"leaving", entry && entry->spec.leaving ? "true" : "false"},
               {"revision", std::to_string(event.pair.revision)}});
}

} // namespace oleandergate
