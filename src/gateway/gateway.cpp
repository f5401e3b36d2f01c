#include "gateway/gateway.h"

#include "decision/hash.h"
#include "decision/processlimits.h"
#include "gateway/allowances.h"
#include "gateway/assignmentnews.h"
#include "gateway/budgetcoordinator.h"
#include "gateway/crashregistry.h"
#include "gateway/directorysync.h"
#include "gateway/endpointpaths.h"
#include "gateway/gatewayconfigurationholder.h"
#include "gateway/hedging.h"
#include "gateway/leavingendpoints.h"
#include "gateway/meteredkeyvalue.h"
#include "gateway/milliseconds.h"
#include "gateway/peergossip.h"
#include "gateway/poolset.h"
#include "gateway/ratelimiter.h"
#include "gateway/relay.h"
#include "gateway/relayerror.h"
#include "gateway/requestdrain.h"
#include "gateway/routetargetrecords.h"
#include "gateway/streamnews.h"
#include "gateway/streamversions.h"
#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"
#include "runtime/clock.h"
#include "runtime/connectionbudget.h"
#include "runtime/descriptorlimit.h"
#include "runtime/errorresponse.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/log.h"
#include "runtime/memorybudget.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/peerserver.h"
#include "runtime/tunnelserver.h"

#include <boost/asio.hpp>

#include <atomic>
#include <thread>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration drainPollInterval = std::chrono::milliseconds(50);

//! Requests end a tenth of the drain limit before it, within these bounds. The rest of the time is for the last answers.
constexpr Duration minStopMargin = std::chrono::milliseconds(250);
constexpr Duration maxStopMargin = std::chrono::seconds(1);

//! The process exits this much before the drain limit.
constexpr Duration exitMargin = std::chrono::milliseconds(200);

//! Shortest time for the last answers, also when the process was held up before them.
constexpr Duration minLastAnswersTime = std::chrono::milliseconds(100);

//! Time for requests to notice that their callers' connections were dropped.
constexpr Duration dropTime = std::chrono::milliseconds(50);

constexpr Duration housekeepingInterval = std::chrono::milliseconds(250);

//! Connections to one endpoint that an instance may open in a cluster of any size.
constexpr std::size_t minConnections = 4;

//! Connections to endpoints that this instance carries for others at a time, in a process that may have many. Each takes two descriptors and some 40 KB.
constexpr std::size_t maxTunnels = 256;

//! The part of its connections to endpoints, and of those from peers, that an instance may carry for others.
constexpr std::size_t tunnelDivisor = 2;

constexpr Duration pathCheckInterval = std::chrono::milliseconds(50);
constexpr Duration idleCheckInterval = std::chrono::milliseconds(500);

//! A call that may be repeated is sent on by another way when nothing has arrived for this long and its way is cut off.
constexpr Duration maxSilence = std::chrono::milliseconds(500);

//! Time for a new connection to an endpoint that is silent, over any way.
constexpr Duration pathCheckTimeout = std::chrono::milliseconds(400);

//! How often the metrics are logged, for operators without access to the metrics address.
constexpr Duration summaryInterval = std::chrono::seconds(10);

//! How often a start tries again to bind an address.
constexpr Duration bindRetryInterval = std::chrono::milliseconds(100);

//! A process that is told to stop has ended this long after its drain limit.
constexpr Duration predecessorMargin = std::chrono::seconds(1);

constexpr int serviceUnavailable = 503;

InstanceRecord makeSelfRecord(const GatewaySettings &settings)
{
    // The start time distinguishes the identifier from that of the instance's previous process.
    return InstanceRecord{settings.instanceName + "~" + std::to_string(currentTime().time_since_epoch().count()), settings.peerAddress, settings.domain, false};
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

//! Returns the limits of a server whose answers do not depend on bodies.
HttpLimits bodilessLimits()
{
    HttpLimits limits = limitsOf(CallerBounds());
    limits.readsBodies = false;
    return limits;
}

//! Calls \p bind until it succeeds or \p giveUpAt has passed: a former process at the address may still be stopping. Blocks.
Result<void> bindUntil(Time giveUpAt, const std::function<Result<void>()> &bind)
{
    Result<void> bound = bind();
    if (!bound) {
        logError("instance", "cannot bind an address, trying again", bound.error());
    }
    while (!bound && currentTime() < giveUpAt) {
        std::this_thread::sleep_for(bindRetryInterval);
        bound = bind();
    }
    return bound;
}

std::size_t tunnelLimit(const ConnectionLimits &limits)
{
    return std::min({maxTunnels, limits.of(ConnectionKind::Endpoint) / tunnelDivisor, limits.of(ConnectionKind::Peer) / tunnelDivisor});
}

} // namespace

//! Requests and control work run on separate contexts with one thread each: a burst of requests does not delay configuration
//! and membership, and the handling of a request needs no strand besides that of its connection.
struct Gateway::Core
{
    Core(const GatewaySettings &given, const HeaderCodec &headerCodec, const RecordFormat &givenFormat, const KeyValueFactory &makeKeyValue)
        : settings(given)
        , limits(processLimitsFor(settings.memoryBytes, descriptorLimit(settings.maxDescriptors)))
        , memory(limits.heldBytes, metrics)
        , connections(limits.connections, metrics)
        , self(makeSelfRecord(settings))
        , auth(settings.peerKey)
        , paths(auth,
                metrics,
                self,
                EndpointPaths::Hooks{[this](const std::string &address) {
                                         return this->pools.endpointAt(address);
                                     },
                                     [this](const EndpointId &endpoint) {
                                         return this->pools.addressOf(endpoint);
                                     },
                                     [this]() {
                                         return static_cast<std::uint32_t>(this->tunnels.activeCount());
                                     },
                                     [this]() {
                                         this->gossip.sendNews();
                                     }})
        , tunnels(TunnelServer::Hooks{[this](const TunnelRequest &request, Time now) {
                                          return this->paths.addressFor(request, now);
                                      },
                                      [this](std::string address, ReachOutcome outcome) {
                                          return this->paths.onCarriedDial(std::move(address), outcome);
                                      }},
                  tunnelLimit(limits.connections))
        , controlClient(control)
        , endpointClient(requests, paths)
        , keyValue(std::make_unique<MeteredKeyValue>(makeKeyValue(controlClient, memory), metrics))
        , peers(control, auth)
        , pools(settings.reregistrationTimeout, settings.domain, static_cast<std::uint64_t>(currentTime().time_since_epoch().count()))
        , crashes(metrics,
                  hashOf(self.id),
                  [this]() {
                      this->gossip.sendNews();
                  })
        , limiter(peers,
                  metrics,
                  self,
                  [this]() {
                      this->gossip.sendNews();
                  })
        , allowances(peers, metrics, configurationHolder, self, settings.allowanceTolerance)
        , hedging(settings.hedgeShare, metrics)
        , streamNews(self.id)
        , assignmentNews(self.id,
                         [this]() {
                             this->gossip.sendNews();
                         })
        , leaving(pools,
                  metrics,
                  self.id,
                  [this]() {
                      this->gossip.sendNews();
                  })
        , gossip(control,
                 auth,
                 self,
                 settings.seeds,
                 PeerGossip::Hooks{
                     [this]() {
                         return this->ownState();
                     },
                     [this](const std::map<std::uint32_t, std::uint32_t> &loads, Time now) {
                         this->pools.setPeerCalls(loads, now);
                         const bool isLimited = this->limiter.limitedCount() > 0;
                         const std::vector<EndpointId> endpoints = isLimited ? this->pools.endpointIds() : std::vector<EndpointId>();
                         this->pools.setRateLimits(this->limiter.limitsOf(endpoints), this->limiter.sharerCount(now), now);
                     },
                     [this](const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &budgetSlotOwners, Time now) {
                         this->budget.onMembers(live, budgetSlotOwners, now);
                         this->limiter.onMembers(live, now);
                         this->allowances.onMembers(live, now);
                         this->paths.onMembers(live);
                     },
                     [this](std::uint64_t version) {
                         this->configurationHolder.announce(version);
                     },
                     {crashes.channel(self.id), limiter.channel(), paths.channel(), leaving.channel(), assignmentNews.channel(), streamNews.channel()},
                     [this](bool sameDomain, Duration age) {
                         (sameDomain ? this->ownDomainReportAge : this->otherDomainReportAge).observe(age);
                     },
                     [this](Time since, Time until) {
                         this->directory.onServiceAvailable(since, until);
                     }})
        , budget(BudgetCoordinator::Parts{control,
                                          *keyValue,
                                          peers,
                                          metrics,
                                          [this](Time time, Time now) {
                                              return this->gossip.mayHaveServiceContactAfter(time, now);
                                          }},
                 self,
                 settings.programRetention)
        , peerServer(
              control,
              auth,
              [this](PeerMessage command, std::shared_ptr<AnswerChannel> /*answerChannel*/) {
                  return this->servePeer(std::move(command));
              },
              &tunnels)
        , targets(RouteTargetRecords::Parts{control, *keyValue, gossip, metrics}, self.id)
        , versions(StreamVersions::Parts{control, *keyValue, pools, configurationHolder, gossip, targets, metrics, peers, assignmentNews, streamNews}, self.id)
        , habits(metrics)
        , relay(Relay::Parts{configurationHolder,
                             drain,
                             pools,
                             endpointClient,
                             headerCodec,
                             budget,
                             crashes,
                             limiter,
                             allowances,
                             hedging,
                             leaving,
                             targets,
                             versions,
                             habits,
                             memory,
                             metrics})
        , callerServer(
              requests,
              limitsOf(CallerBounds()),
              [this](HttpRequest request, HttpExchange &exchange) {
                  return this->relay.handle(std::move(request), exchange);
              },
              [&headerCodec](int status, const std::string &detail) {
                  return status == serviceUnavailable ? refusalResponse(unreadError(detail), headerCodec) : unreadableRequestResponse(status, detail);
              },
              [this](HttpRequest head, Time now) {
                  return this->relay.refuseUnread(std::move(head), now);
              })
        , readyServer(control, bodilessLimits(), this->operatorHandler(), unreadableRequestResponse)
        , metricsServer(control, bodilessLimits(), this->operatorHandler(), unreadableRequestResponse)
        , directory(control, DirectorySync::Parts{*keyValue, givenFormat, configurationHolder, pools, gossip, peers, targets}, self.id)
        , signals(control, SIGTERM, SIGINT)
        , reloadSignals(control, SIGHUP)
    {
        this->callerServer.shareLimits(this->memory, this->connections, ConnectionKind::Caller);
        this->readyServer.shareLimits(this->memory, this->connections, ConnectionKind::Operator);
        this->metricsServer.shareLimits(this->memory, this->connections, ConnectionKind::Operator);
        this->peerServer.shareLimits(this->connections);
        this->tunnels.shareLimits(this->connections);
        this->endpointClient.shareLimits(this->connections, ConnectionKind::Endpoint);
        this->controlClient.shareLimits(this->connections, ConnectionKind::Control);
        this->peers.shareLimits(this->connections);
    }

    PeerGossip::OwnState ownState() const
    {
        return PeerGossip::OwnState{this->configurationHolder.version(),
                                    this->directory.readAt(),
                                    this->pools.endpointDigest(),
                                    this->directory.endpointRevision(),
                                    this->draining,
                                    this->budget.ownedSlots(),
                                    this->pools.ownCalls(),
                                    this->directory.serviceContactSince()};
    }

    asio::awaitable<PeerMessage> servePeer(PeerMessage command)
    {
        std::optional<PeerMessage> reply = this->directory.serve(command, currentTime());
        if (!reply) {
            reply = this->versions.serve(command);
        }
        if (!reply) {
            reply = this->limiter.serve(command, currentTime());
        }
        if (!reply) {
            reply = this->allowances.serve(command, currentTime());
        }
        if (!reply) {
            reply = co_await this->budget.serve(command);
        }
        co_return reply ? std::move(*reply) : PeerMessage(TextReply());
    }

    void applyConfiguration(const std::shared_ptr<const ActiveGatewayConfiguration> &active)
    {
        this->callerServer.setLimits(limitsOf(active->configuration.bounds));
        this->pools.configure(*active, currentTime());
        this->budget.onConfiguration(longestRetention(active->configuration.routes), currentTime());
    }

    bool isReady() const
    {
        return !this->draining && this->configurationHolder.current() != nullptr && this->pools.endpointCount() > 0;
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
            this->metrics.setGauge("oleandergate_config_version", static_cast<double>(this->configurationHolder.version()));
            this->metrics.setGauge("oleandergate_endpoints", static_cast<double>(this->pools.endpointCount()));
            this->metrics.setGauge("oleandergate_crash_records", static_cast<double>(this->crashes.recordCount()));
            this->metrics.setGauge("oleandergate_limited_endpoints", static_cast<double>(this->limiter.limitedCount()));
            this->metrics.setGauge("oleandergate_endpoints_cut_off", static_cast<double>(this->paths.cutOffCount()));
            this->metrics.setGauge("oleandergate_tunnels_carried", static_cast<double>(this->tunnels.activeCount()));
            this->metrics.setGauge("oleandergate_tunnels_carried_total", static_cast<double>(this->tunnels.servedCount()));
            this->metrics.setGauge("oleandergate_waiting", static_cast<double>(this->pools.waitingCount()));
            this->metrics.setGauge("oleandergate_running", static_cast<double>(this->pools.runningCount()));
            this->metrics.setGauge("oleandergate_connections_opened_total", static_cast<double>(this->endpointClient.openedCount()));
            this->metrics.setGauge("oleandergate_log_records_dropped_total", static_cast<double>(droppedLogRecords()));
            this->memory.exportGauges();
            this->connections.exportGauges();
            HttpResponse response = makeResponse(200, "text/plain", this->metrics.render());
            co_await exchange.respond(std::move(response));
            co_return;
        }
        const bool ready = this->isReady();
        HttpResponse response = jsonResponse(ready ? R"({"ready":true})" : R"({"ready":false})", ready ? 200 : 503);
        co_await exchange.respond(std::move(response));
    }

    //! Limits the connections to each endpoint to an equal share of the smallest limit, as limits hold for all instances together.
    void shareConnections()
    {
        const std::shared_ptr<const ActiveGatewayConfiguration> active = this->configurationHolder.current();
        std::size_t connectionLimit = 0;
        for (const GatewayService &service : active ? active->configuration.services : std::vector<GatewayService>()) {
            connectionLimit
                = connectionLimit == 0 || (service.maxConnections > 0 && service.maxConnections < connectionLimit) ? service.maxConnections : connectionLimit;
        }
        if (connectionLimit > 0) {
            this->endpointClient.limitConnections(std::max(minConnections, connectionLimit / (this->gossip.liveCount() + 1)));
        }
    }

    void logBusiest()
    {
        const std::string busiest = this->allowances.takeBusiest();
        if (!busiest.empty()) {
            logRecord(LogLevel::Info, "allowances", "organisations with most calls", {{"calls_and_denied", busiest}});
        }
    }

    asio::awaitable<void> housekeepingLoop()
    {
        Time lastSummaryAt = currentTime();
        while (true) {
            co_await sleepFor(housekeepingInterval);
            const Time now = currentTime();
            this->crashes.expire(now);
            this->limiter.expire(now);
            this->allowances.expire(now);
            this->versions.expire(now);
            this->paths.expire(now);
            this->pools.expire(now, now - this->settings.programRetention);
            this->shareConnections();
            if (now - lastSummaryAt >= summaryInterval) {
                lastSummaryAt = now;
                logRecord(
                    LogLevel::Info, "instance", "summary", {{"peers", std::to_string(this->gossip.liveCount())}, {"metrics", this->metrics.renderBrief()}});
                this->logBusiest();
            }
        }
    }

    //! Finds endpoints that this instance no longer reaches, and those that it reaches again.
    asio::awaitable<void> pathLoop()
    {
        Time idleDroppedAt{};
        while (true) {
            co_await sleepFor(pathCheckInterval);
            const Time now = currentTime();
            if (now - idleDroppedAt >= idleCheckInterval) {
                idleDroppedAt = now;
                this->endpointClient.dropLostIdle(now);
            }
            const std::vector<std::string> silent = this->endpointClient.giveUpLostCalls(maxSilence, now);
            for (const std::string &address : this->paths.takeDueChecks(silent, now)) {
                asio::co_spawn(this->requests, this->checkPath(address), asio::detached);
            }
            for (const std::string &address : this->paths.takeSuspects(now)) {
                asio::co_spawn(this->requests, this->checkPath(address), asio::detached);
            }
            for (const std::string &address : this->paths.takeDueProbes(now)) {
                asio::co_spawn(this->requests, this->paths.probe(address), asio::detached);
            }
        }
    }

    asio::awaitable<void> checkPath(std::string address)
    {
        co_await this->endpointClient.probe(address, pathCheckTimeout);
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
                      read ? "reloaded settings" : "kept the current settings: the new ones are invalid",
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

    asio::awaitable<void> handOverBudgets(Time limit)
    {
        co_await this->budget.handOverAll(limit);
        this->handingOver = false;
    }

    //! Waits until no request is arriving, handled or being answered, here or for a peer, and the hand-over of budgets has ended.
    asio::awaitable<void> awaitQuiet(Time limit)
    {
        while (currentTime() < limit && (this->handingOver || this->callerServer.connections().busy() + this->tunnels.activeCount() > 0)) {
            co_await sleepFor(drainPollInterval);
        }
    }

    //! Waits until all connections of callers have ended, after the server was stopped, and those carried for peers.
    asio::awaitable<void> awaitClosed(Time limit)
    {
        while (currentTime() < limit && (!this->callerServer.isClosed() || this->tunnels.activeCount() > 0)) {
            co_await sleepFor(std::min(drainPollInterval, limit - currentTime()));
        }
    }

    void logShutdown(const char *message, Duration left) const
    {
        const ConnectionCounts counts = this->callerServer.connections();
        logRecord(LogLevel::Info,
                  "instance",
                  message,
                  {{"idle", std::to_string(counts.in(ConnectionPhase::Idle))},
                   {"receiving", std::to_string(counts.in(ConnectionPhase::Receiving))},
                   {"handling", std::to_string(counts.in(ConnectionPhase::Handling))},
                   {"closing", std::to_string(counts.in(ConnectionPhase::Closing))},
                   {"carried", std::to_string(this->tunnels.activeCount())},
                   {"left_ms", milliseconds(left)}});
    }

    void planShutdown(const ShutdownPlan &plan)
    {
        asio::post(this->requests, [this, plan]() {
            this->drain.begin(plan);
        });
    }

    //! Runs on the context of the requests until the process ends.
    asio::awaitable<void> withdrawLoop()
    {
        while (true) {
            this->drain.withdrawWaiting(currentTime());
            co_await sleepFor(drainPollInterval);
        }
    }

    //! Runs on the context of the requests until the process ends.
    asio::awaitable<void> refuseLoop()
    {
        while (true) {
            this->callerServer.refuseArriving();
            co_await sleepFor(drainPollInterval);
        }
    }

    asio::awaitable<void> drainAndStop()
    {
        const Time began = currentTime();
        const Duration drainLimit = this->settings.drainLimit;
        const Duration stopMargin = std::clamp<Duration>(drainLimit / 10, minStopMargin, maxStopMargin);
        const Time endsAt = began + std::max(Duration::zero(), drainLimit - stopMargin);
        const Time balancerKnowsAt = std::min(began + this->settings.balancerLag, endsAt);
        this->logShutdown("draining", endsAt - began);
        this->draining = true;
        this->tunnels.stop();
        this->callerServer.disableKeepAlive();
        this->planShutdown(ShutdownPlan(balancerKnowsAt, endsAt));
        asio::co_spawn(this->requests, this->withdrawLoop(), asio::detached);
        // Beside the drain: a successor or a service that hangs must not hold it up.
        this->handingOver = true;
        asio::co_spawn(this->control, this->handOverBudgets(balancerKnowsAt), asio::detached);
        while (currentTime() < balancerKnowsAt) {
            co_await sleepFor(drainPollInterval);
        }
        this->logShutdown("waiting for requests under way", endsAt - currentTime());
        co_await this->awaitQuiet(endsAt);
        // Refuses all further requests: the process exits as soon as those under way have ended.
        this->logShutdown("refusing further requests", endsAt - currentTime());
        this->planShutdown(ShutdownPlan(Time{}, Time{}));
        this->callerServer.stop();
        co_await this->awaitClosed(endsAt);
        asio::post(this->requests, [this]() {
            this->drain.cutOff();
        });
        asio::co_spawn(this->requests, this->refuseLoop(), asio::detached);
        co_await this->awaitClosed(std::max(began + drainLimit - exitMargin, currentTime() + minLastAnswersTime));
        this->stopBy = began + drainLimit;
        this->logShutdown("closing connections", this->stopBy - currentTime());
        // Requests use parts of this object, so they have to end before it does.
        this->callerServer.dropConnections();
        co_await this->awaitClosed(currentTime() + dropTime);
        this->requests.stop();
        this->control.stop();
    }

    Result<void> start(const SettingsReader &readSettings)
    {
        asio::co_spawn(this->control, this->reloadLoop(readSettings), asio::detached);
        this->configurationHolder.setListener([this](const std::shared_ptr<const ActiveGatewayConfiguration> &active) {
            this->applyConfiguration(active);
        });
        spawnLoop(this->control.get_executor(), "housekeeping", [this]() {
            return this->housekeepingLoop();
        });
        spawnLoop(this->requests.get_executor(), "paths", [this]() {
            return this->pathLoop();
        });
        this->directory.start();
        this->versions.start();
        this->signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                asio::co_spawn(this->control, this->drainAndStop(), asio::detached);
            }
        });
        const Time giveUpAt = currentTime() + this->settings.drainLimit + predecessorMargin;
        const Result<void> peersBound = bindUntil(giveUpAt, [this]() {
            return this->peerServer.start(this->settings.peerAddress);
        });
        if (!peersBound) {
            return peersBound.error();
        }
        const Result<void> gossipBound = bindUntil(giveUpAt, [this]() -> Result<void> {
            if (!this->gossip.start()) {
                return Error{
                    ErrorCode::Internal, Step::InstanceStart, this->settings.peerAddress, Executed::No, std::nullopt, "the UDP address is already in use"};
            }
            return boost::outcome_v2::success();
        });
        if (!gossipBound) {
            return gossipBound.error();
        }
        this->budget.start();
        const Result<void> ready = bindUntil(giveUpAt, [this]() {
            return this->readyServer.start(this->settings.readyAddress);
        });
        if (!ready) {
            return ready.error();
        }
        const Result<void> metricsBound = this->metricsServer.start(this->settings.metricsAddress);
        if (!metricsBound) {
            logError("instance", "cannot serve metrics", metricsBound.error());
        }
        return bindUntil(giveUpAt, [this]() {
            return this->callerServer.start(this->settings.callerAddress);
        });
    }

    GatewaySettings settings;
    //! The next ones stand before the contexts, as a request that a context still holds when it is destroyed deregisters itself and gives back what it holds.
    RequestDrain drain{};
    Metrics metrics{};
    ProcessLimits limits;
    MemoryBudget memory;
    ConnectionBudget connections;
    asio::io_context control{1};
    asio::io_context requests{1};
    //! Age that a peer's report reached before the next one arrived: the load counts in use are up to this old.
    LatencyHistogram &ownDomainReportAge = metrics.histogram("oleandergate_own_domain_report_age_seconds");
    LatencyHistogram &otherDomainReportAge = metrics.histogram("oleandergate_other_domain_report_age_seconds");
    InstanceRecord self;
    MessageAuth auth;
    EndpointPaths paths;
    TunnelServer tunnels;
    HttpClient controlClient;
    HttpClient endpointClient;
    std::unique_ptr<KeyValueService> keyValue;
    PeerClient peers;
    GatewayConfigurationHolder configurationHolder{};
    PoolSet pools;
    CrashRegistry crashes;
    RateLimiter limiter;
    Allowances allowances;
    Hedging hedging;
    StreamNews streamNews;
    AssignmentNews assignmentNews;
    LeavingEndpoints leaving;
    PeerGossip gossip;
    BudgetCoordinator budget;
    PeerServer peerServer;
    RouteTargetRecords targets;
    StreamVersions versions;
    StreamHabitRegistry habits;
    Relay relay;
    HttpServer callerServer;
    HttpServer readyServer;
    HttpServer metricsServer;
    DirectorySync directory;
    asio::signal_set signals;
    asio::signal_set reloadSignals;
    std::atomic<bool> draining{false};
    std::atomic<bool> handingOver{false}; //!< Budgets are being handed over.
    Time stopBy{}; //!< When a process that was told to stop has to have ended.
};

Gateway::Gateway(const GatewaySettings &settings, const HeaderCodec &headerCodec, const RecordFormat &format, const KeyValueFactory &keyValue)
    : core(new Core(settings, headerCodec, format, keyValue))
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
        runContext(this->core->control, "control");
    });
    const auto work = asio::make_work_guard(this->core->requests);
    runContext(this->core->requests, "requests");
    controlThread.join();
    this->core->logShutdown("stopped", this->core->stopBy - currentTime());
    return boost::outcome_v2::success();
}

} // namespace oleandergate
