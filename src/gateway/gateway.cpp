#include "gateway/gateway.h"

#include "gateway/budgetkeeper.h"
#include "gateway/directorysync.h"
#include "gateway/meteredkeyvalue.h"
#include "gateway/peergossip.h"
#include "gateway/planholder.h"
#include "gateway/poolset.h"
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
#include <thread>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration drainStep = std::chrono::milliseconds(50);

//! A stop ends this much before its limit, so that the process is gone by then.
constexpr Duration stopMargin = std::chrono::milliseconds(400);

constexpr Duration housekeepingStep = std::chrono::milliseconds(250);

//! Connections to one endpoint that an instance may have in a fleet of any size.
constexpr std::size_t leastConnections = 4;

//! How often the counters go to the log, for readers without the metrics.
constexpr Duration summaryStep = std::chrono::seconds(10);

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
    limits.maxHeaderBytes = bounds.headerBytes;
    limits.maxBodyBytes = bounds.bodyBytes;
    limits.receiveTimeout = bounds.headerTime;
    limits.idleTimeout = bounds.idleTime;
    return limits;
}

} // namespace

//! Requests and the control work each have a context of their own, run by one thread each: a burst of requests does not
//! hold up configuration and membership, and what a request touches needs no strand beside its connection's.
struct Gateway::Core
{
    Core(const GatewaySettings &given, const Dialect &dialect, const RecordFormat &givenFormat, const KeyValueFactory &makeKeyValue)
        : settings(given)
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
                                       this->directory.fetchConfiguration(peer);
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
        , readyServer(control, limitsOf(CallerBounds()), this->operatorHandler(), refuseUnreadable)
        , metricsServer(control, limitsOf(CallerBounds()), this->operatorHandler(), refuseUnreadable)
        , directory(control, DirectorySync::Parts{*keyValue, givenFormat, plans, pools, gossip, peers}, self.id)
        , signals(control, SIGTERM, SIGINT)
        , reloadSignals(control, SIGHUP)
    {
    }

    PeerGossip::OwnNews ownNews() const
    {
        return PeerGossip::OwnNews{this->plans.version(),
                                   this->directory.readAt(),
                                   this->pools.endpointDigest(),
                                   this->directory.endpointRevision(),
                                   this->draining,
                                   this->budget.keptSlots(),
                                   this->pools.ownCalls()};
    }

    asio::awaitable<PeerMessage> servePeer(PeerMessage command)
    {
        std::optional<PeerMessage> reply = this->directory.serve(command, currentTime());
        if (!reply) {
            reply = co_await this->budget.serve(command);
        }
        co_return reply ? std::move(*reply) : PeerMessage(TextReply());
    }

    void applyPlan(const std::shared_ptr<const ActivePlan> &plan)
    {
        this->callerServer.setLimits(limitsOf(plan->configuration.bounds));
        this->pools.configure(*plan, currentTime());
    }

    bool isReady() const
    {
        return !this->draining && this->plans.current() != nullptr && this->pools.endpointCount() > 0;
    }

    HttpHandler operatorHandler()
    {
        return [this](HttpRequest request, HttpExchange &exchange) {
            return this->answerOperator(std::move(request), exchange);
        };
    }

    asio::awaitable<void> answerOperator(HttpRequest request, HttpExchange &exchange)
    {
        if (request.path() == "/metrics") {
            this->metrics.setGauge("oleandergate_config_version", static_cast<double>(this->plans.version()));
            this->metrics.setGauge("oleandergate_endpoints", static_cast<double>(this->pools.endpointCount()));
            this->metrics.setGauge("oleandergate_waiting", static_cast<double>(this->pools.waitingCount()));
            this->metrics.setGauge("oleandergate_running", static_cast<double>(this->pools.runningCount()));
            this->metrics.setGauge("oleandergate_connections_opened_total", static_cast<double>(this->endpointClient.openedCount()));
            this->metrics.setGauge("oleandergate_log_records_dropped_total", static_cast<double>(droppedLogRecords()));
            HttpResponse response = makeResponse(200, "text/plain", this->metrics.render());
            co_await exchange.respond(std::move(response));
            co_return;
        }
        const bool ready = this->isReady();
        HttpResponse response = jsonResponse(ready ? R"({"ready":true})" : R"({"ready":false})", ready ? 200 : 503);
        co_await exchange.respond(std::move(response));
    }

    //! An endpoint's connections are bounded over all instances: each takes an equal share of the smallest bound.
    void shareConnections()
    {
        const std::shared_ptr<const ActivePlan> plan = this->plans.current();
        std::size_t bound = 0;
        for (const GatewayService &service : plan ? plan->configuration.services : std::vector<GatewayService>()) {
            bound = bound == 0 || (service.maxConnections > 0 && service.maxConnections < bound) ? service.maxConnections : bound;
        }
        if (bound > 0) {
            this->endpointClient.limitConnections(std::max(leastConnections, bound / (this->gossip.livePeers().size() + 1)));
        }
    }

    asio::awaitable<void> keepHouse()
    {
        Time summarised = currentTime();
        while (true) {
            co_await sleepFor(housekeepingStep);
            const Time now = currentTime();
            this->pools.expire(now, now - this->settings.programRetention);
            this->shareConnections();
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

    asio::awaitable<void> awaitIdle(Time limit)
    {
        while (currentTime() < limit && this->callerServer.activeCount() > 0) {
            co_await sleepFor(drainStep);
        }
    }

    asio::awaitable<void> drainAndStop()
    {
        const Time began = currentTime();
        const Time giveUp = began + this->settings.drainLimit - stopMargin;
        logRecord(LogLevel::Info, "instance", "draining", {{"active", std::to_string(this->callerServer.activeCount())}});
        this->draining = true;
        this->callerServer.disableKeepAlive();
        this->relay.endBy(giveUp);
        co_await this->budget.handOverAll(began + this->settings.balancerLag);
        while (currentTime() < began + this->settings.balancerLag) {
            co_await sleepFor(drainStep);
        }
        co_await this->awaitIdle(giveUp);
        // A request that arrives from here on would be cut off with the process, so it is refused.
        this->relay.endBy(Time{});
        this->callerServer.closeIdleConnections();
        co_await sleepFor(drainStep);
        co_await this->awaitIdle(giveUp);
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
        asio::co_spawn(this->control, this->keepHouse(), asio::detached);
        this->directory.start();
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
    DirectorySync directory;
    asio::signal_set signals;
    asio::signal_set reloadSignals;
    std::atomic<bool> draining{false};
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
