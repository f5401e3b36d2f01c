#include "gateway/gateway.h"

#include "decision/hash.h"
#include "decision/watcherchoice.h"
#include "gateway/budgetkeeper.h"
#include "gateway/meteredkeyvalue.h"
#include "gateway/peergossip.h"
#include "gateway/planholder.h"
#include "gateway/poolset.h"
#include "gateway/prefixfollower.h"
#include "gateway/relay.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/errorresponse.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/peerserver.h"

#include <boost/asio.hpp>

#include <atomic>
#include <random>
#include <thread>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration drainStep = std::chrono::milliseconds(50);

//! A stop ends this much before its limit, so that the process is gone by then.
constexpr Duration stopMargin = std::chrono::milliseconds(400);

constexpr Duration housekeepingStep = std::chrono::milliseconds(250);

//! How often the counters go to the log, for readers without the metrics.
constexpr Duration summaryStep = std::chrono::seconds(10);

//! Some instance reads everything again this long after the latest reading, so that a change that no watch reports is in
//! force everywhere within two seconds.
constexpr Duration rereadStep = std::chrono::milliseconds(600);
constexpr Duration rereadJitter = std::chrono::milliseconds(400);
constexpr Duration rereadLook = std::chrono::milliseconds(100);

//! Reports of a change cross each other for this long at most.
constexpr Duration reportDelay = std::chrono::milliseconds(250);

//! Instances that watch the key-value service. Three bear the loss of two at once.
constexpr std::size_t watcherCount = 3;

//! Shortest time between two questions to peers.
constexpr Duration askPause = std::chrono::milliseconds(200);

//! Shortest time between two readings that a peer's report asks for.
constexpr Duration rereadPause = std::chrono::milliseconds(700);

InstanceRecord selfOf(const GatewaySettings &settings)
{
    // The time makes the identifier differ from that of the process before.
    return InstanceRecord{settings.instanceName + "~" + std::to_string(currentTime().time_since_epoch().count()), settings.peerAddress, settings.domain, false};
}

//! Returns the total of calls by endpoint, from totals by the hash of its identifier.
std::map<EndpointId, std::uint32_t> byEndpoint(const std::map<std::uint32_t, std::uint32_t> &loads, const std::vector<EndpointId> &endpoints)
{
    std::map<EndpointId, std::uint32_t> calls;
    for (const EndpointId &endpoint : endpoints) {
        const auto found = loads.find(endpointHash(endpoint));
        if (found != loads.end()) {
            calls[endpoint] = found->second;
        }
    }
    return calls;
}

HttpLimits limitsOf(const CallerBounds &bounds)
{
    HttpLimits limits;
    limits.header = bounds.headerBytes;
    limits.body = bounds.bodyBytes;
    limits.receive = bounds.headerTime;
    limits.idle = bounds.idleTime;
    return limits;
}

} // namespace

//! Requests and the control work each have a context of their own, run by one thread each: a burst of requests does not
//! hold up configuration and membership, and what a request touches needs no strand beside its connection's.
struct Gateway::Core
{
    Core(const GatewaySettings &given, const Dialect &dialect, const RecordFormat &givenFormat, const KeyValueFactory &makeKeyValue)
        : settings(given)
        , format(givenFormat)
        , controlClient(control)
        , endpointClient(requests)
        , keyValue(std::make_unique<MeteredKeyValue>(makeKeyValue(controlClient), metrics))
        , self(selfOf(settings))
        , auth(settings.peerKey)
        , peers(control, auth)
        , pools(settings.reappearance, settings.domain, static_cast<std::uint64_t>(currentTime().time_since_epoch().count()))
        , gossip(control,
                 auth,
                 self,
                 settings.seeds,
                 PeerGossip::Hooks{[this]() {
                                       return this->ownNews();
                                   },
                                   [this](const std::map<std::uint32_t, std::uint32_t> &loads, Time now) {
                                       this->pools.setForeign(byEndpoint(loads, this->pools.endpointIds()), now);
                                   },
                                   [this](const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &keepers, Time now) {
                                       this->budget.onMembers(live, keepers, now);
                                   },
                                   [this](const std::string &peer) {
                                       this->fetchConfiguration(peer);
                                   }})
        , budget(BudgetKeeper::Parts{control,
                                     *keyValue,
                                     peers,
                                     metrics,
                                     [this](Time time) {
                                         return this->gossip.reachedServiceAfter(time);
                                     }},
                 self,
                 settings.programRetention)
        , peerServer(control,
                     auth,
                     [this](PeerMessage command, std::shared_ptr<AnswerChannel> /*pieces*/) {
                         return this->servePeer(std::move(command));
                     })
        , relay(Relay::Parts{plans, pools, endpointClient, dialect, budget, metrics})
        , callerServer(
              requests,
              limitsOf(CallerBounds()),
              [this](HttpRequest request, HttpExchange &exchange) {
                  return this->relay.handle(std::move(request), exchange);
              },
              refuseUnreadable)
        , readyServer(
              control,
              limitsOf(CallerBounds()),
              [this](HttpRequest request, HttpExchange &exchange) {
                  return this->answerOperator(std::move(request), exchange);
              },
              refuseUnreadable)
        , metricsServer(
              control,
              limitsOf(CallerBounds()),
              [this](HttpRequest request, HttpExchange &exchange) {
                  return this->answerOperator(std::move(request), exchange);
              },
              refuseUnreadable)
        , configurationFollower(
              *keyValue,
              format.configurationKey(),
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
        , endpointFollower(
              *keyValue,
              format.endpointPrefix(),
              PrefixFollower::Hooks{[this](const KvRange &range) {
                                        this->loadEndpoints(range);
                                    },
                                    [this](const KvEvent &event) {
                                        this->takeEndpoint(event);
                                    },
                                    [this]() {
                                        this->pools.onKeeperBack(currentTime());
                                    }})
        , signals(control, SIGTERM, SIGINT)
        , reloadSignals(control, SIGHUP)
        , watcherChoice(self.id, watcherCount)
    {
    }

    void takeConfiguration(const KvPair &pair)
    {
        if (pair.key != this->format.configurationKey()) {
            return;
        }
        Result<GatewayConfiguration> read = this->format.readConfiguration(pair.value);
        if (!read) {
            logError("configuration", "a stored configuration cannot be used", read.error());
            return;
        }
        read.value().source = pair.value;
        const std::uint64_t version = read.value().version;
        const std::size_t routes = read.value().routes.size();
        const std::uint64_t before = this->plans.version();
        if (!this->plans.offer(std::move(read.value()))) {
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

    //! Returns when both configuration and endpoints had been read whole.
    Time readAt() const
    {
        return std::min(this->configurationFollower.loadedAt(), this->endpointFollower.loadedAt());
    }

    //! Decides whether this instance watches the key-value service, and sets its followers accordingly.
    bool updateWatching(Time now)
    {
        const bool watches = this->watcherChoice.decide(this->gossip.livePeers(), now);
        if (watches != this->watching) {
            logRecord(LogLevel::Info, "store", watches ? "watches changes" : "learns of changes from peers");
        }
        this->watching = watches;
        this->configurationFollower.setActive(watches);
        this->endpointFollower.setActive(watches);
        return watches;
    }

    //! Keeps what this instance knows of configuration and endpoints up to date beside the watches. A few instances watch
    //! the key-value service. A watch may fall silent without breaking, so one of them after the other reads everything again;
    //! the others ask a peer when the report of one that read later differs from what they know.
    asio::awaitable<void> syncLoop()
    {
        std::mt19937_64 random(hashOf(this->self.id));
        std::uniform_int_distribution<Duration::rep> jitter(0, rereadJitter.count());
        Time agreedAt = currentTime();
        Time latest{};
        Time due{};
        while (true) {
            co_await sleepFor(rereadLook);
            const Time now = currentTime();
            const bool watches = this->updateWatching(now);
            const Time known = std::max(this->readAt(), this->peerReadAt);
            const Time latestNow = std::max(this->readAt(), this->gossip.latestServiceReading());
            if (latestNow - latest > reportDelay) {
                latest = latestNow;
                due = latest + rereadStep + Duration(jitter(random));
            }
            if (!this->gossip.knowsOtherEndpoints(this->pools.endpointDigest(), known)) {
                agreedAt = now;
            }
            const bool differs = now - agreedAt > reportDelay && now - known > (watches ? rereadPause : askPause);
            if (!differs && (!watches || now < due)) {
                continue;
            }
            const bool loaded = watches && co_await this->reread();
            if (!loaded) {
                co_await this->takeEndpointsFromPeer();
            }
        }
    }

    //! Returns false when the key-value service does not answer.
    asio::awaitable<bool> reread()
    {
        const bool configurationRead = co_await this->configurationFollower.load();
        const bool endpointsRead = co_await this->endpointFollower.load();
        co_return configurationRead && endpointsRead;
    }

    asio::awaitable<void> takeEndpointsFromPeer()
    {
        const Time known = std::max(this->readAt(), this->peerReadAt);
        const std::string peer = this->gossip.latestReader(known);
        if (peer.empty()) {
            co_return;
        }
        const Result<PeerMessage> reply = co_await this->peers.send(peer, EndpointsQuery());
        const auto *found = reply ? std::get_if<EndpointsReply>(&reply.value()) : nullptr;
        const Time now = currentTime();
        const Time readThen = found == nullptr ? Time{} : now - Duration(static_cast<std::int64_t>(found->readAgo));
        if (found == nullptr || readThen <= known || found->entries.empty()) {
            co_return;
        }
        const std::uint64_t before = this->pools.endpointDigest();
        if (found->settled) {
            this->peerReadAt = readThen;
            this->pools.replaceEndpoints(found->entries, now);
        } else {
            // What the peer lacks may come back to it, so only what it has is taken, and it or another one is asked again.
            for (const EndpointEntry &entry : found->entries) {
                this->pools.putEndpoint(entry, now);
            }
        }
        if (this->pools.endpointDigest() != before) {
            logRecord(LogLevel::Info,
                      "endpoints",
                      "taken from a peer",
                      {{"peer", peer}, {"count", std::to_string(found->entries.size())}, {"read_ms_ago", std::to_string((now - readThen).count() / 1000)}});
        }
    }

    PeerGossip::OwnNews ownNews() const
    {
        return PeerGossip::OwnNews{this->plans.version(), this->readAt(), this->pools.endpointDigest(), this->draining, this->budget.keptSlots(), this->pools.ownCalls()};
    }

    asio::awaitable<PeerMessage> servePeer(PeerMessage command)
    {
        if (std::holds_alternative<ConfigQuery>(command)) {
            const std::shared_ptr<const ActivePlan> plan = this->plans.current();
            ConfigReply reply;
            if (plan) {
                reply.version = plan->configuration.version;
                reply.text = plan->configuration.source;
            }
            co_return reply;
        }
        if (std::holds_alternative<EndpointsQuery>(command)) {
            const Time now = currentTime();
            const Duration ago = now - this->readAt();
            co_return EndpointsReply{static_cast<std::uint64_t>(ago.count()), this->pools.isSettled(now), this->pools.endpointEntries()};
        }
        std::optional<PeerMessage> reply = co_await this->budget.serve(command);
        co_return reply ? std::move(*reply) : PeerMessage(TextReply());
    }

    void fetchConfiguration(const std::string &peer)
    {
        if (this->fetching.exchange(true)) {
            return;
        }
        asio::co_spawn(
            this->control,
            [this, peer]() -> asio::awaitable<void> {
                const Result<PeerMessage> reply = co_await this->peers.send(peer, ConfigQuery());
                const auto *found = reply ? std::get_if<ConfigReply>(&reply.value()) : nullptr;
                if (found != nullptr && found->version > this->plans.version()) {
                    this->takeConfiguration(KvPair{this->format.configurationKey(), found->text, 0});
                }
                this->fetching = false;
            },
            asio::detached);
    }

    void applyPlan(const std::shared_ptr<const ActivePlan> &plan)
    {
        this->callerServer.setLimits(limitsOf(plan->configuration.bounds));
        this->pools.configure(*plan, currentTime());
    }

    std::optional<EndpointEntry> readEndpoint(const KvPair &pair)
    {
        Result<EndpointEntry> entry = this->format.readEndpoint(pair);
        if (!entry) {
            logError("endpoints", "ignores the announcement " + pair.key, entry.error());
            return std::nullopt;
        }
        return std::move(entry.value());
    }

    void loadEndpoints(const KvRange &range)
    {
        if (!this->endpointsLoaded) {
            // Nobody knows yet whether the service was away until now.
            this->endpointsLoaded = true;
            this->pools.onKeeperBack(currentTime());
        }
        std::vector<EndpointEntry> entries;
        for (const KvPair &pair : range.pairs) {
            std::optional<EndpointEntry> entry = this->readEndpoint(pair);
            if (entry) {
                entries.push_back(std::move(*entry));
            }
        }
        const std::uint64_t before = this->pools.endpointDigest();
        this->pools.replaceEndpoints(entries, currentTime());
        if (this->pools.endpointDigest() != before) {
            logRecord(LogLevel::Info, "endpoints", "read", {{"count", std::to_string(entries.size())}, {"revision", std::to_string(range.revision)}});
        }
    }

    void takeEndpoint(const KvEvent &event)
    {
        const Time now = currentTime();
        const EndpointId id = this->format.endpointId(event.pair.key);
        const std::optional<EndpointEntry> entry = event.deleted ? std::nullopt : this->readEndpoint(event.pair);
        if (!entry) {
            this->pools.removeEndpoint(id, now);
        } else {
            this->pools.putEndpoint(*entry, now);
        }
        logRecord(LogLevel::Info,
                  "endpoints",
                  event.deleted ? "gone" : "announced",
                  {{"endpoint", id},
                   {"service", entry ? entry->service : std::string()},
                   {"leaving", entry && entry->spec.leaving ? "true" : "false"},
                   {"revision", std::to_string(event.pair.revision)}});
    }

    bool isReady() const
    {
        return !this->draining && this->plans.current() != nullptr && this->pools.endpointCount() > 0;
    }

    asio::awaitable<void> answerOperator(HttpRequest request, HttpExchange &exchange)
    {
        if (request.path() == "/metrics") {
            this->metrics.setGauge("oleandergate_config_version", "", static_cast<double>(this->plans.version()));
            this->metrics.setGauge("oleandergate_endpoints", "", static_cast<double>(this->pools.endpointCount()));
            this->metrics.setGauge("oleandergate_waiting", "", static_cast<double>(this->pools.waitingCount()));
            this->metrics.setGauge("oleandergate_running", "", static_cast<double>(this->pools.runningCount()));
            HttpResponse response = makeResponse(200, "text/plain", this->metrics.render());
            co_await exchange.respond(std::move(response));
            co_return;
        }
        const bool ready = this->isReady();
        HttpResponse response = jsonResponse(ready ? R"({"ready":true})" : R"({"ready":false})", ready ? 200 : 503);
        co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> keepHouse()
    {
        Time summarised = currentTime();
        while (true) {
            co_await sleepFor(housekeepingStep);
            const Time now = currentTime();
            this->pools.expire(now, now - this->settings.programRetention);
            if (now - summarised >= summaryStep) {
                summarised = now;
                logRecord(LogLevel::Info,
                          "instance",
                          "summary",
                          {{"peers", std::to_string(this->gossip.livePeers().size())}, {"metrics", this->metrics.renderBrief()}});
            }
        }
    }

    asio::awaitable<void> reloadLoop(SettingsReader readSettings)
    {
        while (true) {
            const auto [error, signal] = co_await this->reloadSignals.async_wait(asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            const std::optional<GatewaySettings> read = readSettings();
            logRecord(read ? LogLevel::Info : LogLevel::Warning,
                      "instance",
                      read ? "reloaded settings" : "keeps its settings, the new ones are faulty",
                      {{"seeds", std::to_string(read ? read->seeds.size() : this->settings.seeds.size())}});
            if (!read) {
                continue;
            }
            this->settings.seeds = read->seeds;
            this->settings.drainLimit = read->drainLimit;
            for (const std::string &seed : read->seeds) {
                this->gossip.addAddress(seed, currentTime());
            }
        }
    }

    asio::awaitable<void> drainAndStop()
    {
        const Time began = currentTime();
        const Time giveUp = began + this->settings.drainLimit - stopMargin;
        logRecord(LogLevel::Info, "instance", "draining", {{"active", std::to_string(this->callerServer.activeCount())}});
        this->draining = true;
        this->callerServer.announceClose();
        this->relay.endBy(giveUp);
        co_await this->budget.handOverAll(began + this->settings.balancerLag);
        while (currentTime() < began + this->settings.balancerLag) {
            co_await sleepFor(drainStep);
        }
        while (currentTime() < giveUp && this->callerServer.activeCount() > 0) {
            co_await sleepFor(drainStep);
        }
        this->callerServer.closeIdle();
        co_await sleepFor(drainStep);
        logRecord(LogLevel::Info, "instance", "stopped", {{"active", std::to_string(this->callerServer.activeCount())}});
        this->requests.stop();
        this->control.stop();
    }

    Result<void> start(const SettingsReader &readSettings)
    {
        asio::co_spawn(this->control, this->reloadLoop(readSettings), asio::detached);
        this->plans.setListener([this](const std::shared_ptr<const ActivePlan> &plan) {
            this->applyPlan(plan);
        });
        asio::co_spawn(this->control, this->configurationFollower.run(), asio::detached);
        asio::co_spawn(this->control, this->endpointFollower.run(), asio::detached);
        asio::co_spawn(this->control, this->keepHouse(), asio::detached);
        asio::co_spawn(this->control, this->syncLoop(), asio::detached);
        this->signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                asio::co_spawn(this->control, this->drainAndStop(), asio::detached);
            }
        });
        const Result<void> peersBound = this->peerServer.start(this->settings.peerAddress);
        if (!peersBound) {
            return peersBound.error();
        }
        if (!this->gossip.start()) {
            return Error{ErrorCode::Internal, Step::InstanceStart, this->settings.peerAddress, Ran::No, std::nullopt, "the UDP address is taken"};
        }
        this->budget.start();
        const Result<void> ready = this->readyServer.start(this->settings.readyAddress);
        if (!ready) {
            return ready.error();
        }
        const Result<void> metricsBound = this->metricsServer.start(this->settings.metricsAddress);
        if (!metricsBound) {
            logError("instance", "serves no metrics", metricsBound.error());
        }
        return this->callerServer.start(this->settings.callerAddress);
    }

    GatewaySettings settings;
    const RecordFormat &format;
    asio::io_context control{1};
    asio::io_context requests{1};
    Metrics metrics{};
    HttpClient controlClient;
    HttpClient endpointClient;
    std::unique_ptr<KeyValueService> keyValue;
    InstanceRecord self;
    MessageAuth auth;
    PeerClient peers;
    PlanHolder plans{};
    PoolSet pools;
    PeerGossip gossip;
    BudgetKeeper budget;
    PeerServer peerServer;
    Relay relay;
    HttpServer callerServer;
    HttpServer readyServer;
    HttpServer metricsServer;
    PrefixFollower configurationFollower;
    PrefixFollower endpointFollower;
    asio::signal_set signals;
    asio::signal_set reloadSignals;
    std::atomic<bool> draining{false};
    std::atomic<bool> fetching{false};
    WatcherChoice watcherChoice;
    bool watching = true;
    bool endpointsLoaded = false;
    Time peerReadAt{}; //!< When a peer read the endpoints that were taken from it.
};

Gateway::Gateway(const GatewaySettings &settings, const Dialect &dialect, const RecordFormat &format, const KeyValueFactory &keyValue)
    : core(new Core(settings, dialect, format, keyValue))
{
}

Gateway::~Gateway() = default;

Result<void> Gateway::run(const SettingsReader &readSettings)
{
    logRecord(LogLevel::Info, "instance", "starting", {{"callers", this->core->settings.callerAddress}, {"domain", this->core->settings.domain}});
    const Result<void> started = this->core->start(readSettings);
    if (!started) {
        return started.error();
    }
    std::thread controlThread([this]() {
        this->core->control.run();
    });
    const auto work = asio::make_work_guard(this->core->requests);
    this->core->requests.run();
    controlThread.join();
    return boost::outcome_v2::success();
}

} // namespace oleandergate
