#include "gateway/budgetcoordinator.h"

#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"
#include "runtime/clock.h"
#include "runtime/jsonaccess.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/pendingresult.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *programsPrefix = "oleandergate/budget/programs/";

//! Enough slots to spread evenly over a few dozen instances. Fixed for the life of a deployment, as all instances must agree.
constexpr SlotId slotCount = 128;

//! How long an owner may grant unrecorded shares without rereading its slots' records while other instances read them.
constexpr Duration recordReadTimeout = std::chrono::seconds(20);

//! How long an instance without contact to any peer waits before it claims slots.
constexpr Duration isolationDelay = std::chrono::seconds(4);

//! Several rounds of load reports in a cluster of a few dozen instances.
constexpr Duration membershipSettleTime = std::chrono::milliseconds(1500);

//! An owner in another failure domain answers within a few milliseconds; waiting longer would delay the turn too much.
constexpr Duration ownerReplyTimeout = std::chrono::milliseconds(150);

//! How long a turn waits until its program's slot has an owner.
constexpr Duration ownerWaitTimeout = std::chrono::milliseconds(500);
constexpr Duration ownerPollInterval = std::chrono::milliseconds(20);
constexpr Duration ownerRetryDelay = std::chrono::milliseconds(1000);

//! How much later such an owner, if it is still a member, gets unused tokens back. What is sent to one that has ended is lost.
constexpr Duration ownerReturnDelay = std::chrono::milliseconds(4000);
constexpr Duration serviceRetryDelay = std::chrono::milliseconds(300);

//! How long a turn that the budget does not cover waits for settlements of turns that may have ended. Leaves an owner time to answer within ownerReplyTimeout.
constexpr Duration settlementWaitTimeout = std::chrono::milliseconds(60);
constexpr Duration settlementPollInterval = std::chrono::milliseconds(5);

//! How long the end of an answer waits until the owner has confirmed the turn's settlement.
constexpr Duration settlementConfirmTimeout = std::chrono::milliseconds(5);

//! Retry-After while neither the slot's owner nor the key-value service answers.
constexpr Duration unavailableRetryAfter = std::chrono::milliseconds(400);

//! The records of programs expire with a lease of this length, much longer than a program may be idle.
constexpr Duration recordLeaseDuration = std::chrono::minutes(10);
constexpr Duration recordLeaseRenewalInterval = std::chrono::minutes(4);

//! A grant whose turn is not settled within this time is forgotten; its tokens stay spent.
constexpr Duration grantLifetime = std::chrono::minutes(2);

constexpr int maxDrawsPerTurn = 3;

constexpr int microsecondsPerMillisecond = 1000;

Error refusal(ErrorCode code, const std::string &detail)
{
    Error error{code, Step::Reserve, {}, Executed::No, std::nullopt, detail};
    if (code != ErrorCode::BudgetExhausted) {
        error.retryAfter = unavailableRetryAfter;
    }
    return error;
}

std::string programKeyOf(const ProgramId &program)
{
    constexpr std::size_t maxPlainLength = 100;
    constexpr const char *plainCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    const bool isPlain = program.size() <= maxPlainLength && program.find_first_not_of(plainCharacters) == std::string::npos;
    return programsPrefix + (isPlain ? program : "hash/" + std::to_string(hashOf(program)));
}

asio::awaitable<void> sendAndSet(PeerClient &peers, std::string address, PeerMessage message, std::shared_ptr<PendingResult<Result<PeerMessage>>> pending)
{
    Result<PeerMessage> reply = co_await peers.send(std::move(address), std::move(message));
    pending->set(std::move(reply));
}

} // namespace

BudgetCoordinator::BudgetCoordinator(const Parts &parts, const InstanceRecord &self, Duration minRetention)
    : parts(parts)
    , self(self)
    , verdictCounters(parts.metrics.counters("oleandergate_budget_asks_total", "verdict", budgetDecisionNames))
    , drawCounter(parts.metrics.counter("oleandergate_budget_draws_total"))
    , slots(self.id, BudgetSlots::Limits{slotCount, recordReadTimeout, minRetention, isolationDelay, membershipSettleTime})
    , retention(minRetention)
{
}

void BudgetCoordinator::start()
{
    spawnLoop(this->parts.context.get_executor(), "budget slots", [this]() {
        return this->maintainSlots();
    });
}

void BudgetCoordinator::onMembers(const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &newSlotOwners, Time now)
{
    std::vector<InstanceRecord> all = live;
    all.push_back(this->self);
    all.back().leaving = this->leaving;
    const std::lock_guard lock(this->mutex);
    this->slots.onMembers(all, now);
    this->members = std::move(all);
    this->slotOwners = newSlotOwners;
}

void BudgetCoordinator::onConfiguration(std::optional<Duration> programRetention, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->retention.onVersion(programRetention, now);
    this->slots.setProgramRetention(this->retention.at(now), now);
}

void BudgetCoordinator::onServiceFailed(const Error &error)
{
    logError("budget", "a call to the key-value service failed", error);
    const std::lock_guard lock(this->mutex);
    this->serviceRetryAt = currentTime() + serviceRetryDelay;
}

std::map<std::string, BudgetReturn> BudgetCoordinator::takeUnusedTokens(Time now)
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, BudgetReturn> found;
    std::set<ProgramId> programsWithGrants;
    for (const auto &[id, unsettled] : this->grants) {
        programsWithGrants.insert(unsettled.grant.program);
    }
    for (const auto &[slot, owner] : this->slotOwners) {
        const auto unresponsive = this->unresponsiveOwners.find(owner);
        const bool mayHaveEnded = unresponsive != this->unresponsiveOwners.end() && now < unresponsive->second + ownerReturnDelay;
        if (this->slots.ownsSlot(slot) || owner == this->self.peerAddress || mayHaveEnded) {
            continue;
        }
        const std::vector<LedgerEntry> entries = this->ledger.take([this, &programsWithGrants, slot = slot](const ProgramId &program) {
            return this->slots.slotOf(program) == slot && !programsWithGrants.contains(program);
        });
        for (const LedgerEntry &entry : entries) {
            if (entry.left > 0) {
                found[owner].entries.push_back(entry);
            }
        }
    }
    for (auto &[owner, returned] : found) {
        returned.id = this->self.id + "/" + std::to_string(++this->returnCount);
    }
    return found;
}

asio::awaitable<void> BudgetCoordinator::returnUnusedTokens()
{
    const std::map<std::string, BudgetReturn> unused = this->takeUnusedTokens(currentTime());
    for (const auto &[owner, returned] : unused) {
        const Result<PeerMessage> reply = co_await this->parts.peers.send(owner, returned);
        logRecord(LogLevel::Info,
                  "budget",
                  reply ? "returned unused tokens" : "failed to return unused tokens",
                  {{"peer", owner}, {"programs", std::to_string(returned.entries.size())}});
    }
}

void BudgetCoordinator::acceptReturn(const BudgetReturn &returned, Time now)
{
    const std::lock_guard lock(this->mutex);
    const auto [entry, isNew] = this->acceptedReturns.emplace(returned.id, now);
    if (isNew) {
        this->ledger.put(returned.entries, now);
    }
}

void BudgetCoordinator::dropExpired(Time now)
{
    const Duration idleTime = this->retention.at(now);
    this->slots.setProgramRetention(idleTime, now);
    // A turn may last for long behind its last use of the ledger.
    this->ledger.forgetIdle(now - 2 * idleTime);
    std::erase_if(this->grants, [now](const auto &entry) {
        return now - entry.second.grantedAt > grantLifetime;
    });
    std::erase_if(this->acceptedReturns, [now](const auto &entry) {
        return now - entry.second > grantLifetime;
    });
}

void BudgetCoordinator::logLedger(const std::string &what, const BudgetRequest &ask, Time now) const
{
    const SlotId slot = this->slots.slotOf(ask.request.program);
    const SlotRecord &record = this->slots.recordOf(slot);
    const LedgerEntry entry = this->ledger.entryOf(ask.request.program).value_or(LedgerEntry());
    const auto known = this->slotOwners.find(slot);
    logRecord(LogLevel::Info,
              "budget",
              what,
              {{"request", ask.id},
               {"program", ask.request.program},
               {"slot", std::to_string(slot)},
               {"owns", this->slots.ownsSlot(slot) ? "true" : "false"},
               {"epoch", std::to_string(record.epoch)},
               {"record_owner", record.owner},
               {"told_owner", known == this->slotOwners.end() ? std::string() : known->second},
               {"members", std::to_string(this->members.size())},
               {"budget", std::to_string(ask.request.budget)},
               {"turn_tokens", std::to_string(ask.request.turnTokens)},
               {"left", std::to_string(entry.left)},
               {"recorded", std::to_string(entry.recorded)},
               {"saw_all_turns", entry.sawAllTurns ? "true" : "false"},
               {"retention_ms", std::to_string(this->retention.at(now).count() / microsecondsPerMillisecond)},
               {"records_read_ms_ago", std::to_string((now - this->slots.recordsReadAt()).count() / microsecondsPerMillisecond)}});
}

LedgerAnswer BudgetCoordinator::tryGrant(const BudgetRequest &ask, Time now)
{
    if (this->grants.contains(ask.id)) {
        return LedgerAnswer::Granted;
    }
    const SlotId slot = this->slots.slotOf(ask.request.program);
    const bool mayGrantUnrecordedShare
        = this->slots.mayGrantUnrecordedShare(slot, this->parts.mayPeersReachServiceAfter(this->slots.recordsReadAt(), now), now);
    const bool startsWithoutShare = !mayGrantUnrecordedShare && !this->ledger.entryOf(ask.request.program);
    const LedgerAnswer answer = this->ledger.reserve(ask.request, mayGrantUnrecordedShare, now);
    if (startsWithoutShare) {
        this->logLedger("a program starts without its unrecorded share", ask, now);
    }
    if (answer == LedgerAnswer::Exhausted) {
        this->logLedger("the budget does not cover a turn", ask, now);
    }
    if (answer == LedgerAnswer::Granted) {
        this->grants[ask.id] = UnsettledGrant{OpenGrant{ask.id, ask.request.program, ask.request.turnTokens}, now};
    }
    return answer;
}

asio::awaitable<std::uint64_t> BudgetCoordinator::leaseForRecords()
{
    const Time now = currentTime();
    if (now < this->leaseRenewAt) {
        co_return this->lease;
    }
    // Until the new lease is granted, records are written under the previous one, or under none.
    this->leaseRenewAt = now + recordLeaseRenewalInterval;
    const Result<std::uint64_t> granted = co_await this->parts.service.grantLease(recordLeaseDuration);
    if (!granted) {
        this->leaseRenewAt = Time{};
        // A record without a lease outlives its program, but its content stays correct.
        this->onServiceFailed(granted.error());
        co_return 0;
    }
    this->lease = granted.value();
    this->leaseRenewals[this->lease] = now + recordLeaseRenewalInterval;
    co_return this->lease;
}

asio::awaitable<void> BudgetCoordinator::renewLeases(Time now)
{
    std::set<std::uint64_t> used;
    const bool isDue = std::any_of(this->leaseRenewals.begin(), this->leaseRenewals.end(), [now](const auto &entry) {
        return now >= entry.second;
    });
    if (isDue) {
        const std::lock_guard lock(this->mutex);
        used = this->ledger.leases();
    }
    std::vector<std::uint64_t> due;
    for (const auto &[known, renewAt] : this->leaseRenewals) {
        if (now >= renewAt) {
            due.push_back(known);
        }
    }
    for (const std::uint64_t known : due) {
        if (!used.contains(known)) {
            this->leaseRenewals.erase(known);
            continue;
        }
        const Result<void> renewed = co_await this->parts.service.renewLease(known);
        if (!renewed && renewed.error().code == ErrorCode::NotFound) {
            logError("budget", "a lease of programs' records has ended", renewed.error());
            this->leaseRenewals.erase(known);
            continue;
        }
        this->leaseRenewals[known] = renewed ? now + recordLeaseRenewalInterval : now + serviceRetryDelay;
    }
}

asio::awaitable<bool> BudgetCoordinator::recordDraw(TurnRequest request, BlockDraw draw)
{
    const std::string key = programKeyOf(request.program);
    std::uint64_t leaseId = co_await this->leaseForRecords();
    KvTransaction write;
    write.compares.push_back(KvCompare{key, draw.expectedRevision});
    write.puts.push_back(KvPut{key, json::serialize(json::object{{"recorded", draw.recorded}}), leaseId});
    write.elseKeys.push_back(key);
    KvTransaction attempt = write;
    Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(attempt));
    if (!reply && reply.error().code == ErrorCode::NotFound && leaseId != 0) {
        // The service no longer knows the lease, which may have ended in an outage. Another call may have replaced it meanwhile.
        logError("budget", "the lease of programs' records has ended", reply.error());
        if (leaseId == this->lease) {
            this->lease = 0;
            this->leaseRenewAt = Time{};
        }
        leaseId = co_await this->leaseForRecords();
        write.puts.front().lease = leaseId;
        reply = co_await this->parts.service.transact(std::move(write));
    }
    if (!reply) {
        this->onServiceFailed(reply.error());
        co_return false;
    }
    const Time now = currentTime();
    const std::lock_guard lock(this->mutex);
    if (reply.value().succeeded) {
        this->ledger.onRecorded(request, draw, reply.value().revision, leaseId);
    } else if (!reply.value().found.empty()) {
        const KvPair &found = reply.value().found.front();
        if (found.revision == 0) {
            this->ledger.onRecordMissing(request.program);
        } else {
            this->ledger.onRecordRead(request.program, jsonNumber(parseJsonObject(found.value), "recorded"), found.revision, now);
        }
    }
    co_return true;
}

asio::awaitable<BudgetDecision> BudgetCoordinator::drawAndGrant(BudgetRequest ask)
{
    const SlotId slot = this->slots.slotOf(ask.request.program);
    bool mark = false;
    {
        const Time now = currentTime();
        const std::lock_guard lock(this->mutex);
        mark = this->mustMarkUsed(ask, now);
        if (mark && (this->leaving || now < this->serviceRetryAt)) {
            co_return BudgetDecision::Unavailable;
        }
    }
    if (mark && !co_await this->markSlotsUsed(slot)) {
        co_return BudgetDecision::Unavailable;
    }
    const Time settlementLimit = currentTime() + settlementWaitTimeout;
    for (int draws = 0; draws <= maxDrawsPerTurn; ++draws) {
        co_await this->awaitSettlements(ask, settlementLimit);
        std::optional<BlockDraw> draw;
        {
            const Time now = currentTime();
            const std::lock_guard lock(this->mutex);
            if (this->mustMarkUsed(ask, now)) {
                co_return BudgetDecision::Unavailable;
            }
            const LedgerAnswer answer = this->tryGrant(ask, now);
            if (answer != LedgerAnswer::NeedsBlock) {
                co_return answer == LedgerAnswer::Granted ? BudgetDecision::Granted : BudgetDecision::Exhausted;
            }
            draw = this->ledger.planDraw(ask.request);
            if (!draw || now < this->serviceRetryAt) {
                co_return BudgetDecision::Unavailable;
            }
        }
        this->drawCounter.add();
        const bool reached = co_await this->recordDraw(ask.request, *draw);
        if (!reached) {
            co_return BudgetDecision::Unavailable;
        }
    }
    co_return BudgetDecision::Unavailable;
}

asio::awaitable<BudgetDecision> BudgetCoordinator::grantAsOwner(BudgetRequest ask)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->slots.ownsSlot(this->slots.slotOf(ask.request.program))) {
            co_return BudgetDecision::NotOwner;
        }
    }
    co_return co_await this->drawAndGrant(std::move(ask));
}

asio::awaitable<std::optional<PeerMessage>> BudgetCoordinator::serve(const PeerMessage &message)
{
    BudgetReply reply;
    if (const auto *ask = std::get_if<BudgetRequest>(&message)) {
        reply.decision = co_await this->grantAsOwner(*ask);
    } else if (const auto *settle = std::get_if<BudgetSettlement>(&message)) {
        this->credit(settle->id, settle->used);
        reply.decision = BudgetDecision::Granted;
    } else if (const auto *returned = std::get_if<BudgetReturn>(&message)) {
        this->acceptReturn(*returned, currentTime());
        reply.decision = BudgetDecision::Granted;
    } else if (const auto *handover = std::get_if<BudgetHandover>(&message)) {
        reply.decision = co_await this->acceptHandover(*handover);
    } else {
        co_return std::nullopt;
    }
    co_return reply;
}

asio::awaitable<BudgetDecision> BudgetCoordinator::askOwner(std::string address, BudgetRequest ask)
{
    const auto pending = std::make_shared<PendingResult<Result<PeerMessage>>>();
    asio::co_spawn(this->parts.context, sendAndSet(this->parts.peers, address, std::move(ask), pending), asio::detached);
    const std::optional<Result<PeerMessage>> answer = co_await pending->wait(ownerReplyTimeout);
    const auto *reply = answer && *answer ? std::get_if<BudgetReply>(&answer->value()) : nullptr;
    if (reply != nullptr) {
        co_return reply->decision;
    }
    logRecord(LogLevel::Warning, "budget", "the slot owner did not answer in time", {{"peer", address}});
    const std::lock_guard lock(this->mutex);
    this->unresponsiveOwners[address] = currentTime() + ownerRetryDelay;
    co_return BudgetDecision::Unavailable;
}

asio::awaitable<void> BudgetCoordinator::awaitOwner(SlotId slot)
{
    const Time until = currentTime() + ownerWaitTimeout;
    while (currentTime() < until) {
        {
            const std::lock_guard lock(this->mutex);
            const bool alone = this->members.size() <= 1;
            if (alone || this->leaving || this->slots.ownsSlot(slot) || this->slotOwners.contains(slot)) {
                co_return;
            }
        }
        co_await sleepFor(ownerPollInterval);
    }
}

bool BudgetCoordinator::waitsForSettlement(const BudgetRequest &ask) const
{
    const std::lock_guard lock(this->mutex);
    if (!this->slots.ownsSlot(this->slots.slotOf(ask.request.program)) || this->grants.contains(ask.id)) {
        return false;
    }
    Tokens unsettled = 0;
    for (const auto &[id, open] : this->grants) {
        unsettled += open.grant.program == ask.request.program ? open.grant.tokens : 0;
    }
    return this->ledger.waitsForSettlement(ask.request, unsettled);
}

asio::awaitable<void> BudgetCoordinator::awaitSettlements(BudgetRequest ask, Time limit)
{
    while (currentTime() < limit && this->waitsForSettlement(ask)) {
        co_await sleepFor(settlementPollInterval);
    }
}

asio::awaitable<Result<void>> BudgetCoordinator::reserve(ProgramContext program, Tokens tokens, std::string id)
{
    // A slot without an owner gets one within moments. A draw in the meantime would reduce what the new owner can grant.
    co_await this->awaitOwner(this->slots.slotOf(program.program));
    const BudgetRequest ask{std::move(id), TurnRequest{program.program, program.tokenBudget.value_or(0), tokens}};
    co_await this->awaitSettlements(ask, currentTime() + settlementWaitTimeout);
    std::string owner;
    bool asksOwner = false;
    {
        const Time now = currentTime();
        const std::lock_guard lock(this->mutex);
        const SlotId slot = this->slots.slotOf(program.program);
        const bool decidesLocally = this->slots.ownsSlot(slot) || this->ledger.covers(program.program, tokens);
        const LedgerAnswer answer = decidesLocally && !this->mustMarkUsed(ask, now) ? this->tryGrant(ask, now) : LedgerAnswer::NeedsBlock;
        if (answer == LedgerAnswer::Granted) {
            co_return boost::outcome_v2::success();
        }
        if (answer == LedgerAnswer::Exhausted) {
            co_return refusal(ErrorCode::BudgetExhausted, "what is left of the program's token budget does not cover this turn");
        }
        const auto known = this->slotOwners.find(slot);
        owner = known == this->slotOwners.end() ? std::string() : known->second;
        const auto unresponsive = this->unresponsiveOwners.find(owner);
        asksOwner = !decidesLocally && !owner.empty() && owner != this->self.peerAddress
            && (unresponsive == this->unresponsiveOwners.end() || unresponsive->second <= now);
    }
    BudgetDecision verdict = BudgetDecision::NotOwner;
    if (asksOwner) {
        verdict = co_await this->askOwner(owner, ask);
        if (verdict == BudgetDecision::Granted) {
            const std::lock_guard lock(this->mutex);
            this->grantedBy[ask.id] = owner;
        }
    }
    if (verdict == BudgetDecision::NotOwner || verdict == BudgetDecision::Unavailable) {
        const bool ownsSlot = verdict == BudgetDecision::NotOwner && !asksOwner && this->ownsSlotOf(program.program);
        verdict = co_await asio::co_spawn(this->parts.context, this->drawAndGrant(ask), asio::use_awaitable);
        if (verdict == BudgetDecision::Exhausted && !ownsSlot) {
            // Other instances may still return unused blocks to the owner, so only the owner can tell that the budget is exhausted.
            verdict = BudgetDecision::Unavailable;
        }
    }
    this->verdictCounters.at(static_cast<std::size_t>(verdict))->add();
    if (verdict == BudgetDecision::Granted) {
        co_return boost::outcome_v2::success();
    }
    logRecord(LogLevel::Info,
              "budget",
              "refused a turn",
              {{"request", ask.id},
               {"program", program.program},
               {"slot", std::to_string(this->slots.slotOf(program.program))},
               {"keeper", owner},
               {"asked", asksOwner ? "true" : "false"},
               {"verdict", std::string(nameIn(budgetDecisionNames, verdict))},
               {"records_read_ms_ago", std::to_string((currentTime() - this->recordsReadAt()).count() / microsecondsPerMillisecond)}});
    if (verdict == BudgetDecision::Exhausted) {
        co_return refusal(ErrorCode::BudgetExhausted, "what is left of the program's token budget does not cover this turn");
    }
    co_return refusal(ErrorCode::ServiceUnavailable, "neither the owner of the program's budget slot nor the key-value service answered");
}

bool BudgetCoordinator::ownsSlotOf(const ProgramId &program) const
{
    const std::lock_guard lock(this->mutex);
    return this->slots.ownsSlot(this->slots.slotOf(program));
}

void BudgetCoordinator::credit(const std::string &id, Tokens used)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->grants.find(id);
    if (found == this->grants.end()) {
        return;
    }
    const OpenGrant &grant = found->second.grant;
    this->ledger.credit(grant.program, std::max<Tokens>(0, grant.tokens - used));
    this->grants.erase(found);
}

asio::awaitable<void> BudgetCoordinator::settle(ProgramContext program, std::string id, Tokens used)
{
    std::string owner;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->grantedBy.find(id);
        if (found != this->grantedBy.end()) {
            const auto current = this->slotOwners.find(this->slots.slotOf(program.program));
            owner = current == this->slotOwners.end() ? found->second : current->second;
            this->grantedBy.erase(found);
        }
    }
    if (owner.empty() || owner == this->self.peerAddress) {
        this->credit(id, used);
        co_return;
    }
    const auto confirmed = std::make_shared<PendingResult<bool>>();
    BudgetSettlement settle{std::move(id), program.program, used};
    asio::co_spawn(
        this->parts.context,
        [this, owner, confirmed, settle = std::move(settle)]() -> asio::awaitable<void> {
            const Result<PeerMessage> reply = co_await this->parts.peers.send(owner, settle);
            if (!reply) {
                // The tokens that the turn did not use stay spent, so that the budget is not exceeded.
                logError("budget", "failed to settle a turn at " + owner, reply.error());
            }
            confirmed->set(reply.has_value());
        },
        asio::detached);
    co_await confirmed->wait(settlementConfirmTimeout);
}

Time BudgetCoordinator::recordsReadAt() const
{
    const std::lock_guard lock(this->mutex);
    return this->slots.recordsReadAt();
}

std::set<SlotId> BudgetCoordinator::ownedSlots() const
{
    const std::lock_guard lock(this->mutex);
    return this->slots.ownedSlots();
}

} // namespace oleandergate
