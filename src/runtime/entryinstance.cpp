#include "runtime/entryinstance.h"

#include "backing/consulinstancelist.h"
#include "backing/etcdkeyvalue.h"
#include "runtime/adminapi.h"
#include "runtime/answerchannel.h"
#include "runtime/asyncsignal.h"
#include "runtime/callerapi.h"
#include "runtime/clock.h"
#include "runtime/clusterservice.h"
#include "runtime/connectionbudget.h"
#include "runtime/descriptorlimit.h"
#include "runtime/dispatchservice.h"
#include "runtime/errorresponse.h"
#include "runtime/eventlog.h"
#include "runtime/heartbeatservice.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/log.h"
#include "runtime/memorybudget.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/peerserver.h"
#include "runtime/programservice.h"

#include <boost/asio.hpp>

#include <atomic>
#include <thread>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration backingServiceTimeout = std::chrono::milliseconds(1000);
constexpr Duration drainPollInterval = std::chrono::milliseconds(50);

//! Minimum time for which a draining instance still accepts requests, because load balancers learn of the drain late.
constexpr Duration loadBalancerUpdateDelay = std::chrono::milliseconds(500);

//! Time for the answers to requests that are still arriving when the drain limit is over.
constexpr Duration lastAnswersTime = std::chrono::milliseconds(200);

InstanceId uniqueInstanceId(const std::string &name)
{
    return name + "~" + std::to_string(currentTime().time_since_epoch().count());
}

HttpLimits limitsOf(const Settings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.receiveTimeout = settings.receiveTimeout;
    return limits;
}

OwnerLimits ownerLimitsOf(const Settings &settings)
{
    OwnerLimits limits;
    limits.slotCount = settings.slotCount;
    return limits;
}

} // namespace

struct EntryInstance::Core
{
    explicit Core(const Settings &newSettings)
        : settings(newSettings)
        , self{uniqueInstanceId(settings.instanceName), settings.peerAddress, settings.domain, false}
        , limits(processLimitsFor(settings.memoryBytes, descriptorLimit(settings.maxDescriptors)))
        , memory(limits.heldBytes, metrics)
        , connections(limits.connections, metrics)
        , context(static_cast<int>(settings.threads))
        , events(settings.eventFile, settings.instanceName)
        , auth(settings.peerKey)
        , controlClient(context)
        , client(context, receiveBufferBytes)
        , keyValue(controlClient, settings.keyValueAddress, backingServiceTimeout)
        , list(controlClient, settings.instanceListAddress, backingServiceTimeout)
        , view(self.id, settings.slotCount, settings.leaseDuration)
        , config(keyValue, settings.dataFolder, events)
        , store(keyValue)
        , peers(context, auth)
        , programs(
              context,
              store,
              ownerLimitsOf(settings),
              settings.shards,
              self.id,
              [this](Time now) {
                  return this->view.operatingMode(now);
              },
              events,
              metrics)
        , dispatch(context, DispatchService::Dependencies{programs, list, client, view, peers, events, metrics})
        , cluster(context,
                  ClusterService::Dependencies{keyValue, view, config, store, programs, peers, events, metrics},
                  self,
                  settings.leaseDuration,
                  settings.seeds)
        , router(CallRouter::Dependencies{view, programs, peers, config, events, metrics}, settings.ownerWait)
        , callerApi(router, config, events, metrics)
        , adminApi(
              AdminApi::Dependencies{router, config, view, dispatch, programs, peers, metrics, memory, connections},
              sha256Hex(settings.peerKey),
              [this]() {
                  this->beginDrain();
              },
              [this]() {
                  return this->isReady();
              })
        , heartbeats(
              context,
              view,
              auth,
              settings.peerAddress,
              [this]() {
                  return this->configVersion();
              },
              [this](const std::string &peer) {
                  this->fetchConfig(peer);
              })
        , callerServer(
              context,
              limitsOf(settings),
              [this](HttpRequest request, HttpExchange &exchange) {
                  return this->callerApi.handle(std::move(request), exchange);
              },
              unreadableRequestResponse)
        , adminServer(
              context,
              limitsOf(settings),
              [this](HttpRequest request, HttpExchange &exchange) {
                  return this->adminApi.handle(std::move(request), exchange);
              },
              unreadableRequestResponse)
        , peerServer(context,
                     auth,
                     [this](PeerMessage command, std::shared_ptr<AnswerChannel> answerChannel) {
                         return this->router.serve(std::move(command), std::move(answerChannel));
                     })
        , signals(context, SIGTERM, SIGINT)
    {
        this->callerServer.shareLimits(this->memory, this->connections, ConnectionKind::Caller);
        this->adminServer.shareLimits(this->memory, this->connections, ConnectionKind::Operator);
        this->peerServer.shareLimits(this->connections);
        this->client.shareLimits(this->connections, ConnectionKind::Endpoint);
        this->controlClient.shareLimits(this->connections, ConnectionKind::Control);
        this->peers.shareLimits(this->connections);
    }

    std::uint64_t configVersion() const
    {
        const std::shared_ptr<const ActiveConfig> active = this->config.active();
        return active ? active->version.version : 0;
    }

    bool isReady()
    {
        return !this->draining && this->config.active() != nullptr && this->view.operatingMode(currentTime()) != OperatingMode::Isolated;
    }

    void fetchConfig(const std::string &peer)
    {
        if (this->fetchingConfig.exchange(true)) {
            return;
        }
        asio::co_spawn(asio::make_strand(this->context), this->fetchConfigFrom(peer), asio::detached);
    }

    asio::awaitable<void> fetchConfigFrom(std::string peer)
    {
        const Result<PeerMessage> reply = co_await this->peers.send(peer, ConfigQuery());
        const auto *found = reply ? std::get_if<ConfigReply>(&reply.value()) : nullptr;
        if (found != nullptr && found->version > 0) {
            this->config.activateIfNewer(ConfigVersion{found->version, found->author, {}, found->text});
        }
        this->fetchingConfig = false;
    }

    void beginDrain()
    {
        if (!this->draining.exchange(true)) {
            asio::co_spawn(asio::make_strand(this->context), this->drainAndStop(), asio::detached);
        }
    }

    asio::awaitable<void> drainAndStop()
    {
        logRecord(LogLevel::Info, "instance", "draining");
        this->events.record(Step::Drain, {}, {}, "begin");
        const Time giveUpAt = currentTime() + this->settings.drainLimit;
        this->cluster.markLeaving();
        const Time loadBalancerUpdatedAt = currentTime() + loadBalancerUpdateDelay;
        while (currentTime() < giveUpAt) {
            const bool idle = this->callerServer.connections().busy() == 0 && this->peerServer.activeCount() == 0 && this->programs.liveCallCount() == 0;
            const bool handedOver = this->programs.ownedSlots().empty() || this->view.instances().size() <= 1;
            if (idle && handedOver && currentTime() >= loadBalancerUpdatedAt) {
                break;
            }
            co_await sleepFor(drainPollInterval);
        }
        this->callerServer.stop();
        while (currentTime() < giveUpAt && (!this->callerServer.isClosed() || this->peerServer.activeCount() > 0)) {
            co_await sleepFor(drainPollInterval);
        }
        this->callerServer.refuseArriving();
        const Time answeredBy = currentTime() + lastAnswersTime;
        while (currentTime() < answeredBy && !this->callerServer.isClosed()) {
            co_await sleepFor(drainPollInterval);
        }
        co_await this->cluster.deregister();
        this->events.record(Step::Stop, {}, {}, "done");
        logRecord(LogLevel::Info, "instance", "stopped");
        this->context.stop();
    }

    Result<void> start()
    {
        this->config.setListener([this](const std::shared_ptr<const ActiveConfig> &active) {
            this->dispatch.configure(active);
        });
        this->programs.setReadyCallHandler(this->dispatch);
        this->programs.setWriteRateLimit(static_cast<double>(this->settings.journalWritesPerSecond), [this]() {
            return this->view.instances().size();
        });
        this->config.restoreFromDisk();
        this->cluster.setPeakCallbacks(ClusterService::PeakCallbacks{[this](Time now) {
                                                                         return this->dispatch.peakRenewal(now);
                                                                     },
                                                                     [this](const PeakGrant &grant) {
                                                                         this->dispatch.setGrant(grant);
                                                                     },
                                                                     [this]() {
                                                                         return this->dispatch.peakCap();
                                                                     }});
        Result<void> peer = this->peerServer.start(this->settings.peerAddress);
        if (!peer) {
            return peer;
        }
        if (!this->heartbeats.start()) {
            return Error{ErrorCode::Internal, Step::InstanceStart, this->settings.peerAddress, Executed::No, std::nullopt, "the UDP address cannot be bound"};
        }
        Result<void> admin = this->adminServer.start(this->settings.adminAddress);
        if (!admin) {
            return admin;
        }
        Result<void> callers = this->callerServer.start(this->settings.callerAddress);
        if (!callers) {
            return callers;
        }
        this->programs.start();
        this->dispatch.start();
        this->cluster.start();
        this->signals.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                this->beginDrain();
            }
        });
        this->events.record(Step::InstanceStart, {}, {}, this->self.id);
        logRecord(LogLevel::Info, "instance", "started", {{"id", this->self.id}, {"callers", this->settings.callerAddress}});
        return boost::outcome_v2::success();
    }

    Settings settings;
    InstanceRecord self;
    //! The next ones stand before the context, as what it still holds when it is destroyed gives back what it has of them.
    Metrics metrics{};
    ProcessLimits limits;
    MemoryBudget memory;
    ConnectionBudget connections;
    asio::io_context context;
    EventLog events;
    MessageAuth auth;
    HttpClient controlClient; //!< Of the key-value service and of the instance list.
    HttpClient client; //!< Of endpoints.
    EtcdKeyValue keyValue;
    ConsulInstanceList list;
    ClusterView view;
    ConfigService config;
    JournalStore store;
    PeerClient peers;
    ProgramService programs;
    DispatchService dispatch;
    ClusterService cluster;
    CallRouter router;
    CallerApi callerApi;
    AdminApi adminApi;
    HeartbeatService heartbeats;
    HttpServer callerServer;
    HttpServer adminServer;
    PeerServer peerServer;
    asio::signal_set signals;
    std::atomic<bool> draining{false};
    std::atomic<bool> fetchingConfig{false};
};

EntryInstance::EntryInstance(const Settings &settings)
    : core(std::make_unique<Core>(settings))
{
}

EntryInstance::~EntryInstance() = default;

Result<void> EntryInstance::run()
{
    Result<void> started = this->core->start();
    if (!started) {
        return started;
    }
    std::vector<std::thread> threads;
    for (unsigned index = 1; index < this->core->settings.threads; ++index) {
        threads.emplace_back([this]() {
            this->core->context.run();
        });
    }
    this->core->context.run();
    for (std::thread &thread : threads) {
        thread.join();
    }
    return boost::outcome_v2::success();
}

} // namespace oleandergate
