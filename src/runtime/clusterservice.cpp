#include "runtime/clusterservice.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/configservice.h"
#include "runtime/eventlog.h"
#include "runtime/journalstore.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/peakrecord.h"
#include "runtime/peerclient.h"
#include "runtime/programservice.h"
#include "runtime/storekeys.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration slotInterval = std::chrono::milliseconds(100);
constexpr Duration watchRetryDelay = std::chrono::milliseconds(200);
constexpr Duration leaseRetryDelay = std::chrono::milliseconds(100);
constexpr Duration peakRenewInterval = std::chrono::seconds(5);
constexpr Duration peakPollInterval = std::chrono::milliseconds(500);

//! Wait before a grant renewal that lost to another instance is repeated; the jitter keeps instances from colliding again.
constexpr int minPeakRetryMs = 20;
constexpr int peakRetryJitterMs = 50;

constexpr Duration recoveryRetryDelay = std::chrono::milliseconds(50);
constexpr Duration configFetchInterval = std::chrono::milliseconds(500);

//! Renewals in one lease length, so that single failed renewals do not let the lease expire.
constexpr int renewalsPerLease = 4;

//! Slots claimed in one transaction of the key-value service.
constexpr std::size_t maxClaimsPerTransaction = 25;

} // namespace

ClusterService::ClusterService(
    asio::io_context &context, const Dependencies &dependencies, const InstanceRecord &self, Duration leaseLength, std::vector<std::string> seeds)
    : context(context)
    , dependencies(dependencies)
    , self(self)
    , leaseLength(leaseLength)
    , seeds(std::move(seeds))
{
}

void ClusterService::setPeakCallbacks(PeakCallbacks callbacks)
{
    this->peakCallbacks = std::move(callbacks);
}

void ClusterService::start()
{
    const auto spawn = [this](asio::awaitable<void> loop) {
        asio::co_spawn(asio::make_strand(this->context), std::move(loop), asio::detached);
    };
    spawn(this->leaseLoop());
    spawn(this->watchLoop());
    spawn(this->slotLoop());
    spawn(this->peakGrantLoop());
    spawn(this->configFetchLoop());
}

void ClusterService::markLeaving()
{
    this->leaving = true;
}

asio::awaitable<bool> ClusterService::registerInstance()
{
    const Time sentAt = currentTime();
    Result<std::uint64_t> granted = co_await this->dependencies.service.grantLease(this->leaseLength);
    if (!granted) {
        co_return false;
    }
    InstanceRecord record = this->self;
    record.leaving = this->leaving;
    KvTransaction write;
    write.puts.push_back(KvPut{instanceKey(record.id), serializeInstance(record), granted.value()});
    const Result<KvTransactionReply> written = co_await this->dependencies.service.transact(std::move(write));
    if (!written || !written.value().succeeded) {
        co_return false;
    }
    this->lease = granted.value();
    this->dependencies.view.recordLeaseRenewal(sentAt);
    this->dependencies.view.recordServiceResponse(currentTime());
    this->dependencies.events.record(Step::LeaseRenew, {}, {}, "new lease");
    co_return true;
}

asio::awaitable<void> ClusterService::leaseLoop()
{
    bool leavingRegistered = false;
    while (!this->deregistering) {
        if (this->lease == 0 || (this->leaving && !leavingRegistered)) {
            const bool isLeaving = this->leaving;
            const bool registered = co_await this->registerInstance();
            leavingRegistered = registered && isLeaving;
            if (!registered) {
                co_await sleepFor(leaseRetryDelay);
                continue;
            }
        }
        co_await sleepFor(this->leaseLength / renewalsPerLease);
        const Time sentAt = currentTime();
        const Result<void> renewed = co_await this->dependencies.service.renewLease(this->lease);
        if (renewed) {
            this->dependencies.view.recordLeaseRenewal(sentAt);
            this->dependencies.view.recordServiceResponse(currentTime());
        } else if (renewed.error().code == ErrorCode::NotFound) {
            logRecord(LogLevel::Warning, "cluster", "this instance's lease has expired; registering again");
            this->dependencies.events.record(Step::LeaseRenew, {}, {}, "lapsed");
            this->lease = 0;
        } else {
            this->dependencies.metrics.count("oleandergate_lease_failures_total");
        }
    }
}

asio::awaitable<void> ClusterService::returnGrant()
{
    const Result<KvRange> range = co_await this->dependencies.service.range(peakKey);
    if (!range || range.value().pairs.empty()) {
        co_return;
    }
    const KvPair &stored = range.value().pairs.front();
    const Time now = currentTime();
    this->peakCallbacks.applyGrant(PeakGrant{});
    KvTransaction write;
    write.compares.push_back(KvCompare{peakKey, stored.revision});
    write.puts.push_back(
        KvPut{peakKey, serializePeakLedger(parsePeakLedger(stored.value).returned(this->self.id, this->peakCallbacks.buildRenewal(now).used, minuteOf(now)))});
    const Result<KvTransactionReply> written = co_await this->dependencies.service.transact(std::move(write));
    if (!written) {
        // The grant ends with its last minute anyway.
        logError("cluster", "cannot return the peak grant", written.error());
    }
}

asio::awaitable<void> ClusterService::deregister()
{
    this->deregistering = true;
    co_await this->returnGrant();
    KvTransaction write;
    write.deletes.push_back(KvDelete{instanceKey(this->self.id), false});
    const Result<KvTransactionReply> removed = co_await this->dependencies.service.transact(std::move(write));
    if (!removed) {
        // The record is removed when the lease expires.
        logError("cluster", "cannot delete the record of this instance", removed.error());
    }
}

asio::awaitable<void> ClusterService::watchLoop()
{
    while (!this->deregistering) {
        Result<KvRange> range = co_await this->dependencies.service.range(clusterPrefix);
        if (!range) {
            co_await sleepFor(watchRetryDelay);
            continue;
        }
        const Time now = currentTime();
        this->dependencies.view.recordServiceResponse(now);
        this->dependencies.view.load(range.value(), now);
        for (const KvPair &pair : range.value().pairs) {
            if (pair.key == configKey) {
                this->dependencies.config.activateStoredIfNewer(pair.value);
            }
        }
        const auto onEvent = [this](const KvEvent &event) {
            this->dependencies.view.apply(event, currentTime());
            if (event.pair.key == configKey && !event.deleted) {
                this->dependencies.config.activateStoredIfNewer(event.pair.value);
            }
        };
        const Error ended = co_await this->dependencies.service.watch(clusterPrefix, range.value().revision + 1, onEvent, []() {
            return true;
        });
        logError("cluster", "the watch of the cluster records ended", ended);
        co_await sleepFor(watchRetryDelay);
    }
}

asio::awaitable<void> ClusterService::slotLoop()
{
    while (!this->deregistering) {
        co_await sleepFor(slotInterval);
        const Time now = currentTime();
        const OperatingMode mode = this->dependencies.view.operatingMode(now);
        this->logModeChange(mode, now);
        if (mode != OperatingMode::Normal) {
            this->resumeCancelledReleases({}, mode);
            continue;
        }
        for (const SlotId slot : this->dependencies.view.lostAmong(this->dependencies.programs.ownedSlots())) {
            this->dependencies.events.record(Step::SlotHandOver, {}, {}, "lost slot " + std::to_string(slot));
            this->dependencies.programs.dropSlot(slot);
        }
        const std::vector<SlotMove> moves = this->dependencies.view.plan(now);
        this->resumeCancelledReleases(moves, mode);
        std::vector<SlotMove> claims;
        std::vector<SlotMove> due;
        for (const SlotMove &move : moves) {
            if (move.kind == SlotMove::Kind::Claim && !this->leaving) {
                claims.push_back(move);
            } else if (move.kind == SlotMove::Kind::Release) {
                due.push_back(move);
            }
        }
        co_await this->releaseSlots(std::move(due));
        co_await this->claimSlots(std::move(claims));
        // If the reply to a claim was lost, the watch still reports this instance as the owner.
        for (SlotId slot = 0; slot < this->dependencies.view.slotCount(); ++slot) {
            const SlotRecord record = this->dependencies.view.recordOf(slot);
            if (record.owner == this->self.id && !this->dependencies.programs.ownsSlot(slot) && !this->leaving) {
                co_await this->recoverSlot(slot, record);
            }
        }
    }
}

void ClusterService::logModeChange(OperatingMode mode, Time now)
{
    if (mode == this->loggedMode) {
        return;
    }
    const Connectivity connectivity = this->dependencies.view.connectivityAt(now);
    const auto age = [now](Time at) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count());
    };
    logRecord(LogLevel::Info,
              "cluster",
              "the operating mode changed",
              {{"from", std::string(nameIn(operatingModeNames, this->loggedMode))},
               {"to", std::string(nameIn(operatingModeNames, mode))},
               {"lease_age_ms", age(connectivity.leaseConfirmed)},
               {"service_age_ms", age(connectivity.lastServiceContact)},
               {"peer_service_age_ms", age(connectivity.lastPeerServiceContact)},
               {"known_peers", std::to_string(connectivity.knownPeers)},
               {"live_peers", std::to_string(connectivity.livePeers)}});
    this->loggedMode = mode;
}

void ClusterService::resumeCancelledReleases(const std::vector<SlotMove> &moves, OperatingMode mode)
{
    if (this->leaving && mode != OperatingMode::Normal) {
        return;
    }
    for (const SlotId slot : this->releases.takeCancelled(moves, mode)) {
        logRecord(LogLevel::Info,
                  "cluster",
                  "a slot admits calls again, its hand-over was cancelled",
                  {{"slot", std::to_string(slot)}, {"mode", std::string(nameIn(operatingModeNames, mode))}});
        this->dependencies.programs.resumeSlot(slot);
    }
}

asio::awaitable<void> ClusterService::claimSlots(std::vector<SlotMove> moves)
{
    while (!moves.empty()) {
        const std::size_t count = std::min(maxClaimsPerTransaction, moves.size());
        const std::vector<SlotMove> batch(moves.end() - static_cast<std::ptrdiff_t>(count), moves.end());
        moves.resize(moves.size() - count);
        const bool reached = co_await this->claimSlotBatch(batch);
        if (!reached) {
            co_return;
        }
    }
}

asio::awaitable<bool> ClusterService::claimSlotBatch(const std::vector<SlotMove> &moves)
{
    KvTransaction write;
    write.hasOwnValues = true; // By this instance's identifier and the epoch.
    for (const SlotMove &move : moves) {
        const std::string key = slotKey(move.slot);
        write.compares.push_back(KvCompare{key, move.expected.revision});
        if (!move.expected.owner.empty()) {
            // The previous owner's record must be gone: the key-value service deletes it when the owner's lease expires by the
            // service's own clock.
            write.compares.push_back(KvCompare{instanceKey(move.expected.owner), 0});
        }
        write.puts.push_back(KvPut{key, serializeSlot(SlotRecord{this->self.id, move.expected.epoch + 1})});
        write.elseKeys.push_back(key);
    }
    Result<KvTransactionReply> reply = co_await this->dependencies.service.transact(std::move(write));
    if (!reply) {
        logError("cluster", "cannot claim slots " + std::to_string(moves.front().slot) + " to " + std::to_string(moves.back().slot), reply.error());
        co_return false;
    }
    if (!reply.value().succeeded) {
        for (std::size_t index = 0; index < moves.size() && index < reply.value().found.size(); ++index) {
            this->dependencies.view.putSlot(moves[index].slot, parseSlot(reply.value().found[index]));
        }
        co_return true;
    }
    for (const SlotMove &move : moves) {
        const SlotRecord record{this->self.id, move.expected.epoch + 1, reply.value().revision};
        this->dependencies.view.putSlot(move.slot, record);
        this->dependencies.events.record(Step::SlotClaim, {}, {}, "slot " + std::to_string(move.slot) + " epoch " + std::to_string(record.epoch));
        co_await this->recoverSlot(move.slot, record);
    }
    co_return true;
}

asio::awaitable<void> ClusterService::recoverSlot(SlotId slot, SlotRecord record)
{
    constexpr int maxAttempts = 3;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        Result<RecoveredSlot> recovered = co_await this->dependencies.store.recover(slot, record.revision);
        if (recovered) {
            this->dependencies.events.record(
                Step::SlotRecover, {}, {}, "slot " + std::to_string(slot) + ", programs " + std::to_string(recovered.value().programs.size()));
            this->dependencies.programs.acquireSlot(slot, record.revision, std::move(recovered.value()));
            co_return;
        }
        if (recovered.error().code == ErrorCode::NotOwner) {
            co_return;
        }
        logError("cluster", "cannot recover a slot", recovered.error());
        co_await sleepFor(recoveryRetryDelay);
    }
}

asio::awaitable<void> ClusterService::releaseSlots(std::vector<SlotMove> moves)
{
    if (moves.empty()) {
        co_return;
    }
    // Slots are closed only behind an answer of the service, since those that wait for their record in an outage serve nobody.
    const Result<KvRange> answer = co_await this->dependencies.service.range(slotKey(moves.front().slot));
    if (!answer) {
        co_return;
    }
    for (SlotMove &move : moves) {
        const bool answered = co_await this->releaseSlot(std::move(move));
        if (!answered) {
            co_return;
        }
    }
}

asio::awaitable<bool> ClusterService::releaseSlot(SlotMove move)
{
    if (this->releases.begin(move.slot)) {
        logRecord(LogLevel::Info, "cluster", "a slot admits no more calls before its hand-over", {{"slot", std::to_string(move.slot)}});
        this->dependencies.programs.quiesceSlot(move.slot);
    }
    if (!this->dependencies.programs.isSlotIdle(move.slot)) {
        co_return true;
    }
    KvTransaction write;
    write.compares.push_back(KvCompare{slotKey(move.slot), move.expected.revision});
    write.puts.push_back(KvPut{slotKey(move.slot), serializeSlot(SlotRecord{{}, move.expected.epoch})});
    this->releases.onWriteSent(move.slot);
    const Result<KvTransactionReply> reply = co_await this->dependencies.service.transact(std::move(write));
    if (!reply) {
        logError("cluster", "cannot release slot " + std::to_string(move.slot), reply.error());
        co_return false;
    }
    this->releases.onWritten(move.slot);
    this->dependencies.programs.dropSlot(move.slot);
    if (reply.value().succeeded) {
        this->dependencies.view.putSlot(move.slot, SlotRecord{{}, move.expected.epoch, reply.value().revision});
    }
    this->dependencies.events.record(Step::SlotHandOver, {}, {}, "slot " + std::to_string(move.slot));
    co_return true;
}

asio::awaitable<void> ClusterService::peakGrantLoop()
{
    // Wait until the other instances are known, so that the first grant leaves their shares free.
    co_await sleepFor(peakPollInterval);
    Time renewedAt{};
    std::size_t lastMemberCount = 0;
    while (!this->deregistering) {
        const std::size_t memberCount = this->dependencies.view.instances().size();
        const bool due = currentTime() >= renewedAt + peakRenewInterval || memberCount != lastMemberCount;
        if (due && this->peakCallbacks.cap && this->peakCallbacks.cap() > 0) {
            const bool conflictFree = co_await this->renewPeak();
            if (!conflictFree) {
                co_await sleepFor(std::chrono::milliseconds(minPeakRetryMs + static_cast<int>(currentTime().time_since_epoch().count() % peakRetryJitterMs)));
                continue;
            }
            renewedAt = currentTime();
            lastMemberCount = memberCount;
        }
        co_await sleepFor(peakPollInterval);
    }
}

asio::awaitable<bool> ClusterService::renewPeak()
{
    Result<KvRange> range = co_await this->dependencies.service.range(peakKey);
    if (!range) {
        co_return true;
    }
    const KvPair stored = range.value().pairs.empty() ? KvPair{peakKey} : range.value().pairs.front();
    const PeakLedger ledger = parsePeakLedger(stored.value);
    const auto held = ledger.grants.find(this->self.id);
    if (held != ledger.grants.end()) {
        this->grant = held->second;
    }
    PeakRenewal renewal = this->peakCallbacks.buildRenewal(currentTime());
    renewal.self = this->self.id;
    renewal.live.insert(this->self.id);
    for (const InstanceRecord &instance : this->dependencies.view.instances()) {
        renewal.live.insert(instance.id);
    }
    const PeakLedger next = ledger.renewed(renewal);
    // Until the write is confirmed, only tokens that both the old and the new grant allow may be spent.
    this->peakCallbacks.applyGrant(this->grant.restrictedBy(next.grants.at(this->self.id)));
    KvTransaction write;
    write.compares.push_back(KvCompare{peakKey, stored.revision});
    write.puts.push_back(KvPut{peakKey, serializePeakLedger(next)});
    const Result<KvTransactionReply> reply = co_await this->dependencies.service.transact(std::move(write));
    if (!reply) {
        co_return true;
    }
    if (!reply.value().succeeded) {
        co_return false;
    }
    this->grant = next.grants.at(this->self.id);
    this->peakCallbacks.applyGrant(this->grant);
    this->dependencies.events.record(Step::PeakGrant, {}, {}, std::to_string(this->grant.perMinute) + " tokens a minute");
    co_return true;
}

asio::awaitable<void> ClusterService::configFetchLoop()
{
    // When the key-value service is down, a newly started instance gets the configuration from its peers.
    while (!this->deregistering) {
        co_await sleepFor(configFetchInterval);
        if (this->dependencies.config.active() != nullptr) {
            continue;
        }
        for (const std::string &seed : this->seeds) {
            Result<PeerMessage> reply = co_await this->dependencies.peers.send(seed, ConfigQuery());
            const auto *config = reply ? std::get_if<ConfigReply>(&reply.value()) : nullptr;
            if (config != nullptr && config->version > 0) {
                this->dependencies.config.activateIfNewer(ConfigVersion{config->version, config->author, {}, config->text});
                break;
            }
        }
    }
}

} // namespace oleandergate
