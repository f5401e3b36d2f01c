#include "runtime/clusterservice.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/configkeeper.h"
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

constexpr Duration slotStep = std::chrono::milliseconds(100);
constexpr Duration watchPause = std::chrono::milliseconds(200);
constexpr Duration renewPause = std::chrono::milliseconds(100);
constexpr Duration peakStep = std::chrono::seconds(5);
constexpr Duration peakDelay = std::chrono::milliseconds(500);
constexpr Duration recoverPause = std::chrono::milliseconds(50);
constexpr Duration configFetchStep = std::chrono::milliseconds(500);

//! A lease is renewed this many times before it would lapse.
constexpr int renewalsPerLease = 4;

//! Slots claimed in one transaction.
constexpr std::size_t maxClaims = 25;

} // namespace

ClusterService::ClusterService(asio::io_context &context, const Parts &parts, const InstanceRecord &self, Duration leaseLength, std::vector<std::string> seeds)
    : context(context)
    , parts(parts)
    , self(self)
    , leaseLength(leaseLength)
    , seeds(std::move(seeds))
{
}

void ClusterService::setPeakPort(PeakPort port)
{
    this->peak = std::move(port);
}

void ClusterService::start()
{
    const auto spawn = [this](asio::awaitable<void> loop) {
        asio::co_spawn(asio::make_strand(this->context), std::move(loop), asio::detached);
    };
    spawn(this->keepLease());
    spawn(this->watchRecords());
    spawn(this->keepSlots());
    spawn(this->keepPeak());
    spawn(this->fetchConfigFromPeers());
}

void ClusterService::leave()
{
    this->leaving = true;
}

asio::awaitable<bool> ClusterService::announce()
{
    const Time sentAt = currentTime();
    Result<std::uint64_t> granted = co_await this->parts.service.grantLease(this->leaseLength);
    if (!granted) {
        co_return false;
    }
    InstanceRecord record = this->self;
    record.leaving = this->leaving;
    KvTransaction write;
    write.puts.push_back(KvPut{instanceKey(record.id), showInstance(record), granted.value()});
    const Result<KvTransactionReply> written = co_await this->parts.service.transact(std::move(write));
    if (!written || !written.value().succeeded) {
        co_return false;
    }
    this->lease = granted.value();
    this->parts.view.noteLease(sentAt);
    this->parts.view.noteService(currentTime());
    this->parts.events.note(Step::LeaseRenew, {}, {}, "new lease");
    co_return true;
}

asio::awaitable<void> ClusterService::keepLease()
{
    bool announcedLeaving = false;
    while (!this->departed) {
        if (this->lease == 0 || (this->leaving && !announcedLeaving)) {
            const bool nowLeaving = this->leaving;
            const bool done = co_await this->announce();
            announcedLeaving = done && nowLeaving;
            if (!done) {
                co_await sleepFor(renewPause);
                continue;
            }
        }
        co_await sleepFor(this->leaseLength / renewalsPerLease);
        const Time sentAt = currentTime();
        const Result<void> renewed = co_await this->parts.service.renewLease(this->lease);
        if (renewed) {
            this->parts.view.noteLease(sentAt);
            this->parts.view.noteService(currentTime());
        } else if (renewed.error().code == ErrorCode::NotFound) {
            logRecord(LogLevel::Warning, "cluster", "the lease has lapsed");
            this->parts.events.note(Step::LeaseRenew, {}, {}, "lapsed");
            this->lease = 0;
        } else {
            this->parts.metrics.count("oleandergate_lease_failures_total");
        }
    }
}

asio::awaitable<void> ClusterService::returnGrant()
{
    const Result<KvRange> range = co_await this->parts.service.range(peakKey);
    if (!range || range.value().pairs.empty()) {
        co_return;
    }
    const KvPair &stored = range.value().pairs.front();
    const Time now = currentTime();
    this->peak.grant(PeakGrant{});
    KvTransaction write;
    write.compares.push_back(KvCompare{peakKey, stored.revision});
    write.puts.push_back(KvPut{peakKey, showPeakLedger(readPeakLedger(stored.value).returned(this->self.id, this->peak.renewal(now).used, minuteOf(now)))});
    const Result<KvTransactionReply> written = co_await this->parts.service.transact(std::move(write));
    if (!written) {
        // The grant runs out by itself.
        logError("cluster", "could not give the grant back", written.error());
    }
}

asio::awaitable<void> ClusterService::depart()
{
    this->departed = true;
    co_await this->returnGrant();
    KvTransaction write;
    write.deletes.push_back(KvDelete{instanceKey(this->self.id), false});
    const Result<KvTransactionReply> removed = co_await this->parts.service.transact(std::move(write));
    if (!removed) {
        // The lease lapses by itself.
        logError("cluster", "could not sign off", removed.error());
    }
}

asio::awaitable<void> ClusterService::watchRecords()
{
    while (!this->departed) {
        Result<KvRange> range = co_await this->parts.service.range(clusterPrefix);
        if (!range) {
            co_await sleepFor(watchPause);
            continue;
        }
        const Time now = currentTime();
        this->parts.view.noteService(now);
        this->parts.view.load(range.value(), now);
        for (const KvPair &pair : range.value().pairs) {
            if (pair.key == configKey) {
                this->parts.config.offerStored(pair.value);
            }
        }
        const auto onEvent = [this](const KvEvent &event) {
            this->parts.view.apply(event, currentTime());
            if (event.pair.key == configKey && !event.deleted) {
                this->parts.config.offerStored(event.pair.value);
            }
        };
        const Error ended = co_await this->parts.service.watch(clusterPrefix, range.value().revision + 1, onEvent, []() {
            return true;
        });
        logError("cluster", "the watch broke", ended);
        co_await sleepFor(watchPause);
    }
}

asio::awaitable<void> ClusterService::keepSlots()
{
    while (!this->departed) {
        co_await sleepFor(slotStep);
        const Time now = currentTime();
        if (this->parts.view.posture(now) != OperatingMode::Normal) {
            continue;
        }
        for (const SlotId slot : this->parts.view.lostAmong(this->parts.programs.ownedSlots())) {
            this->parts.events.note(Step::SlotHandOver, {}, {}, "lost slot " + std::to_string(slot));
            this->parts.programs.dropSlot(slot);
        }
        const std::vector<SlotMove> moves = this->parts.view.plan(now);
        this->resumeKept(moves);
        std::vector<SlotMove> claims;
        for (const SlotMove &move : moves) {
            if (move.kind == SlotMove::Kind::Claim && !this->leaving) {
                claims.push_back(move);
            } else if (move.kind == SlotMove::Kind::Release) {
                co_await this->release(move);
            }
        }
        co_await this->claim(std::move(claims));
        // A claim whose answer was lost shows in the watch as a record of this instance's own.
        for (SlotId slot = 0; slot < this->parts.view.slotCount(); ++slot) {
            const SlotRecord record = this->parts.view.recordOf(slot);
            if (record.owner == this->self.id && !this->parts.programs.ownsSlot(slot) && !this->leaving) {
                co_await this->adopt(slot, record);
            }
        }
    }
}

void ClusterService::resumeKept(const std::vector<SlotMove> &moves)
{
    // The instance that a slot was to go to may have left meanwhile.
    for (auto entry = this->releasing.begin(); entry != this->releasing.end();) {
        const SlotId slot = entry->first;
        const bool stillMoving = std::any_of(moves.begin(), moves.end(), [slot](const SlotMove &move) {
            return move.kind == SlotMove::Kind::Release && move.slot == slot;
        });
        if (stillMoving) {
            ++entry;
            continue;
        }
        this->parts.programs.resumeSlot(slot);
        entry = this->releasing.erase(entry);
    }
}

asio::awaitable<void> ClusterService::claim(std::vector<SlotMove> moves)
{
    while (!moves.empty()) {
        const std::size_t count = std::min(maxClaims, moves.size());
        const std::vector<SlotMove> batch(moves.end() - static_cast<std::ptrdiff_t>(count), moves.end());
        moves.resize(moves.size() - count);
        const bool reached = co_await this->claimBatch(batch);
        if (!reached) {
            co_return;
        }
    }
}

asio::awaitable<bool> ClusterService::claimBatch(const std::vector<SlotMove> &moves)
{
    KvTransaction write;
    for (const SlotMove &move : moves) {
        const std::string key = slotKey(move.slot);
        write.compares.push_back(KvCompare{key, move.expected.revision});
        if (!move.expected.owner.empty()) {
            // The former owner's record vanishes with its lease, by the service's own clock.
            write.compares.push_back(KvCompare{instanceKey(move.expected.owner), 0});
        }
        write.puts.push_back(KvPut{key, showSlot(SlotRecord{this->self.id, move.expected.epoch + 1})});
        write.elseKeys.push_back(key);
    }
    Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        co_return false;
    }
    if (!reply.value().succeeded) {
        for (std::size_t index = 0; index < moves.size() && index < reply.value().found.size(); ++index) {
            this->parts.view.putSlot(moves[index].slot, readSlot(reply.value().found[index]));
        }
        co_return true;
    }
    for (const SlotMove &move : moves) {
        const SlotRecord record{this->self.id, move.expected.epoch + 1, reply.value().revision};
        this->parts.view.putSlot(move.slot, record);
        this->parts.events.note(Step::SlotClaim, {}, {}, "slot " + std::to_string(move.slot) + " epoch " + std::to_string(record.epoch));
        co_await this->adopt(move.slot, record);
    }
    co_return true;
}

asio::awaitable<void> ClusterService::adopt(SlotId slot, SlotRecord record)
{
    constexpr int maxTries = 3;
    for (int tried = 0; tried < maxTries; ++tried) {
        Result<RecoveredSlot> recovered = co_await this->parts.store.recover(slot, record.revision);
        if (recovered) {
            this->parts.events.note(
                Step::SlotRecover, {}, {}, "slot " + std::to_string(slot) + ", programs " + std::to_string(recovered.value().programs.size()));
            this->parts.programs.acquireSlot(slot, record.revision, std::move(recovered.value()));
            co_return;
        }
        if (recovered.error().code == ErrorCode::NotOwner) {
            co_return;
        }
        logError("cluster", "a slot could not be recovered", recovered.error());
        co_await sleepFor(recoverPause);
    }
}

asio::awaitable<void> ClusterService::release(SlotMove move)
{
    const auto [entry, first] = this->releasing.emplace(move.slot, currentTime());
    if (first) {
        this->parts.programs.quiesceSlot(move.slot);
    }
    if (!this->parts.programs.isSlotIdle(move.slot)) {
        co_return;
    }
    KvTransaction write;
    write.compares.push_back(KvCompare{slotKey(move.slot), move.expected.revision});
    write.puts.push_back(KvPut{slotKey(move.slot), showSlot(SlotRecord{{}, move.expected.epoch})});
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        co_return;
    }
    this->releasing.erase(move.slot);
    this->parts.programs.dropSlot(move.slot);
    if (reply.value().succeeded) {
        this->parts.view.putSlot(move.slot, SlotRecord{{}, move.expected.epoch, reply.value().revision});
    }
    this->parts.events.note(Step::SlotHandOver, {}, {}, "slot " + std::to_string(move.slot));
}

asio::awaitable<void> ClusterService::keepPeak()
{
    // The view of the other instances comes first, so that the first grant leaves room for theirs.
    co_await sleepFor(peakDelay);
    Time renewedAt{};
    std::size_t members = 0;
    while (!this->departed) {
        const std::size_t seen = this->parts.view.instances().size();
        const bool due = currentTime() >= renewedAt + peakStep || seen != members;
        if (due && this->peak.cap && this->peak.cap() > 0) {
            const bool settled = co_await this->renewPeak();
            if (!settled) {
                co_await sleepFor(std::chrono::milliseconds(20 + static_cast<int>(currentTime().time_since_epoch().count() % 50)));
                continue;
            }
            renewedAt = currentTime();
            members = seen;
        }
        co_await sleepFor(peakDelay);
    }
}

asio::awaitable<bool> ClusterService::renewPeak()
{
    Result<KvRange> range = co_await this->parts.service.range(peakKey);
    if (!range) {
        co_return true;
    }
    const KvPair stored = range.value().pairs.empty() ? KvPair{peakKey} : range.value().pairs.front();
    const PeakLedger ledger = readPeakLedger(stored.value);
    const auto held = ledger.grants.find(this->self.id);
    if (held != ledger.grants.end()) {
        this->grant = held->second;
    }
    PeakRenewal renewal = this->peak.renewal(currentTime());
    renewal.self = this->self.id;
    renewal.live.insert(this->self.id);
    for (const InstanceRecord &instance : this->parts.view.instances()) {
        renewal.live.insert(instance.id);
    }
    const PeakLedger next = ledger.renewed(renewal);
    // Until the write is confirmed, only what both the old and the new grant allow may be spent.
    this->peak.grant(this->grant.restrictedBy(next.grants.at(this->self.id)));
    KvTransaction write;
    write.compares.push_back(KvCompare{peakKey, stored.revision});
    write.puts.push_back(KvPut{peakKey, showPeakLedger(next)});
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        co_return true;
    }
    if (!reply.value().succeeded) {
        co_return false;
    }
    this->grant = next.grants.at(this->self.id);
    this->peak.grant(this->grant);
    this->parts.events.note(Step::PeakGrant, {}, {}, std::to_string(this->grant.perMinute) + " tokens a minute");
    co_return true;
}

asio::awaitable<void> ClusterService::fetchConfigFromPeers()
{
    // Without the key-value service a fresh instance learns the configuration from its peers.
    while (!this->departed) {
        co_await sleepFor(configFetchStep);
        if (this->parts.config.active() != nullptr) {
            continue;
        }
        for (const std::string &seed : this->seeds) {
            Result<PeerMessage> reply = co_await this->parts.peers.send(seed, ConfigQuery());
            const auto *config = reply ? std::get_if<ConfigReply>(&reply.value()) : nullptr;
            if (config != nullptr && config->version > 0) {
                this->parts.config.offer(ConfigVersion{config->version, config->author, {}, config->text});
                break;
            }
        }
    }
}

} // namespace oleandergate
