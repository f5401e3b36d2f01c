//! The part of BudgetCoordinator that claims, hands over and receives slots.

#include "gateway/budgetcoordinator.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/jsonaccess.h"
#include "runtime/log.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *slotsPrefix = "oleandergate/budget/slots/";

//! Each slot takes one condition and one write; the smallest limit of the services in use is 32 of both together.
constexpr std::size_t maxSlotsPerTransaction = 16;

//! How often an owner of slots rereads their records; well within the confirmation timeout.
constexpr Duration recordReadInterval = std::chrono::seconds(12);

//! Records that were read longer ago are reread before slots are claimed.
constexpr Duration maxRecordAge = std::chrono::seconds(1);

constexpr Duration maintenanceInterval = std::chrono::milliseconds(200);

//! How often a hand-over looks whether the marks under way have ended.
constexpr Duration markPollInterval = std::chrono::milliseconds(5);

//! Longest time that a hand-over waits for marks: a service that hangs must not use up the time for the hand-over.
constexpr Duration maxMarkWait = std::chrono::milliseconds(300);

std::string slotKeyOf(SlotId slot)
{
    return slotsPrefix + std::to_string(slot);
}

//! Returns the slots of \p moves with the epochs that they have once the moves are made.
std::string formatMoves(const std::vector<SlotMove> &moves)
{
    std::string text;
    for (const SlotMove &move : moves) {
        text += (text.empty() ? "" : " ") + std::to_string(move.slot) + ":" + std::to_string(move.expected.epoch + 1);
    }
    return text;
}

std::string formatSlotRecord(const InstanceId &owner, std::uint64_t epoch, bool unused)
{
    json::object record{{"owner", owner}, {"epoch", epoch}};
    // Written only while it holds: a record without it, such as one of a build that does not know it, counts as used.
    if (unused) {
        record["unused"] = true;
    }
    return json::serialize(record);
}

} // namespace

void BudgetCoordinator::applySlotRecord(const KvPair &pair, Time now)
{
    const std::string number = pair.key.substr(std::min(pair.key.size(), std::string_view(slotsPrefix).size()));
    SlotId slot = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), slot);
    if (error != std::errc() || end != number.data() + number.size() || pair.revision == 0) {
        return;
    }
    const json::object object = parseJsonObject(pair.value);
    const SlotRecord record{jsonText(object, "owner"), static_cast<std::uint64_t>(jsonNumber(object, "epoch")), pair.revision, jsonFlag(object, "unused")};
    this->slots.onRecord(slot, record, now);
}

void BudgetCoordinator::applySlotRecords(const std::vector<KvPair> &pairs, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const KvPair &pair : pairs) {
        this->applySlotRecord(pair, now);
    }
}

asio::awaitable<void> BudgetCoordinator::maintainSlots()
{
    while (true) {
        co_await sleepFor(maintenanceInterval);
        const Time now = currentTime();
        bool readDue = false;
        {
            const std::lock_guard lock(this->mutex);
            this->dropExpired(now);
            if (this->leaving || now < this->serviceRetryAt) {
                continue;
            }
            const bool needsRecords = !this->slots.ownedSlots().empty() || this->slots.recordsReadAt() == Time{};
            readDue = needsRecords && now - this->slots.recordsReadAt() > recordReadInterval;
        }
        if (readDue) {
            co_await this->readSlotRecords();
            // Slots that were kept for an interval are marked before their first turn, so that programs can begin in them
            // while the service fails.
            co_await this->markSlotsUsed(0);
        }
        co_await this->renewLeases(now);
        co_await this->claimDueSlots();
        co_await this->returnUnusedTokens();
    }
}

std::vector<SlotMove> BudgetCoordinator::planClaims(Time now) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<SlotMove> claims = this->slots.plan(now);
    std::erase_if(claims, [](const SlotMove &move) {
        return move.kind != SlotMove::Kind::Claim;
    });
    return claims;
}

asio::awaitable<void> BudgetCoordinator::claimDueSlots()
{
    if (this->planClaims(currentTime()).empty()) {
        co_return;
    }
    // Other instances may have claimed slots since the records were read.
    if (currentTime() - this->recordsReadAt() > maxRecordAge) {
        co_await this->readSlotRecords();
    }
    std::vector<SlotMove> claims = this->planClaims(currentTime());
    while (!claims.empty()) {
        const bool reached = co_await this->claim(claims);
        std::vector<SlotMove> left = this->planClaims(currentTime());
        if (!reached || left.size() >= claims.size()) {
            co_return;
        }
        claims = std::move(left);
    }
}

asio::awaitable<void> BudgetCoordinator::readSlotRecords()
{
    const Time askedAt = currentTime();
    const Result<KvRange> range = co_await this->parts.service.range(slotsPrefix);
    if (!range) {
        this->onServiceFailed(range.error());
        co_return;
    }
    this->applySlotRecords(range.value().pairs, currentTime());
    const std::lock_guard lock(this->mutex);
    this->slots.onRecordsRead(askedAt);
}

asio::awaitable<Result<KvTransactionReply>> BudgetCoordinator::writeSlotRecords(KvTransaction write)
{
    const std::vector<KvPut> puts = write.puts;
    Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->onServiceFailed(reply.error());
        co_return reply;
    }
    std::vector<KvPair> records = reply.value().found;
    if (reply.value().succeeded) {
        for (const KvPut &put : puts) {
            records.push_back(KvPair{put.key, put.value, reply.value().revision});
        }
    }
    this->applySlotRecords(records, currentTime());
    co_return reply;
}

asio::awaitable<bool> BudgetCoordinator::claim(std::vector<SlotMove> moves)
{
    moves.resize(std::min(moves.size(), maxSlotsPerTransaction));
    KvTransaction write;
    for (const SlotMove &move : moves) {
        const std::string key = slotKeyOf(move.slot);
        write.compares.push_back(KvCompare{key, move.expected.revision});
        const bool unused = move.expected.revision == 0 || move.expected.unused;
        write.puts.push_back(KvPut{key, formatSlotRecord(this->self.id, move.expected.epoch + 1, unused)});
        write.elseKeys.push_back(key);
    }
    const Result<KvTransactionReply> reply = co_await this->writeSlotRecords(std::move(write));
    if (!reply) {
        co_return false;
    }
    logRecord(LogLevel::Info,
              "budget",
              reply.value().succeeded ? "claimed slots" : "other instances claimed slots first",
              {{"count", std::to_string(moves.size())}, {"slots", formatMoves(moves)}, {"revision", std::to_string(reply.value().revision)}});
    co_return true;
}

bool BudgetCoordinator::mustMarkUsed(const BudgetRequest &ask, Time now) const
{
    const SlotId slot = this->slots.slotOf(ask.request.program);
    return !this->ledger.entryOf(ask.request.program)
        && this->slots.mustMarkUsed(slot, this->parts.mayPeersReachServiceAfter(this->slots.recordsReadAt(), now), now);
}

asio::awaitable<bool> BudgetCoordinator::markSlotsUsed(SlotId first)
{
    std::map<SlotId, SlotRecord> unused;
    {
        const std::lock_guard lock(this->mutex);
        if (this->leaving) {
            co_return false;
        }
        unused = this->slots.unusedSlots();
    }
    if (unused.empty()) {
        co_return true;
    }
    const auto firstUnused = unused.lower_bound(first);
    KvTransaction write;
    for (auto next = firstUnused == unused.end() ? unused.begin() : firstUnused; write.puts.size() < std::min(unused.size(), maxSlotsPerTransaction);) {
        const auto &[slot, record] = *next;
        write.compares.push_back(KvCompare{slotKeyOf(slot), record.revision});
        write.puts.push_back(KvPut{slotKeyOf(slot), formatSlotRecord(this->self.id, record.epoch, false)});
        write.elseKeys.push_back(slotKeyOf(slot));
        next = std::next(next) == unused.end() ? unused.begin() : std::next(next);
    }
    const std::size_t count = write.puts.size();
    ++this->marksUnderWay;
    const Result<KvTransactionReply> reply = co_await this->writeSlotRecords(std::move(write));
    --this->marksUnderWay;
    if (!reply) {
        co_return false;
    }
    logRecord(LogLevel::Info,
              "budget",
              reply.value().succeeded ? "marked slots as used" : "failed to mark slots as used, as a record changed",
              {{"slots", std::to_string(count)}, {"first", std::to_string(first)}, {"revision", std::to_string(reply.value().revision)}});
    co_return true;
}

std::map<InstanceId, std::vector<SlotMove>> BudgetCoordinator::planHandovers(Time now) const
{
    const std::lock_guard lock(this->mutex);
    std::map<InstanceId, std::vector<SlotMove>> handovers;
    for (const SlotMove &move : this->slots.plan(now)) {
        const InstanceId successor = this->slots.successorOf(move.slot);
        if (move.kind == SlotMove::Kind::Release && !successor.empty() && handovers[successor].size() < maxSlotsPerTransaction) {
            handovers[successor].push_back(move);
        }
    }
    return handovers;
}

asio::awaitable<void> BudgetCoordinator::handOverAll(Time limit)
{
    this->leaving = true;
    // A mark that is confirmed during the hand-over would change the records that the hand-over expects.
    const Time marksLimit = std::min(limit, currentTime() + maxMarkWait);
    while (this->marksUnderWay > 0 && currentTime() < marksLimit) {
        co_await sleepFor(markPollInterval);
    }
    while (currentTime() < limit) {
        {
            const std::lock_guard lock(this->mutex);
            for (InstanceRecord &member : this->members) {
                member.leaving = member.leaving || member.id == this->self.id;
            }
            this->slots.onMembers(this->members, currentTime());
        }
        const std::map<InstanceId, std::vector<SlotMove>> handovers = this->planHandovers(currentTime());
        if (handovers.empty()) {
            co_return;
        }
        for (const auto &[id, moves] : handovers) {
            const auto successor = std::find_if(this->members.begin(), this->members.end(), [&id = id](const InstanceRecord &member) {
                return member.id == id;
            });
            if (successor != this->members.end()) {
                co_await this->handOver(*successor, moves);
            }
        }
    }
}

asio::awaitable<void> BudgetCoordinator::handOver(InstanceRecord successor, std::vector<SlotMove> moves)
{
    BudgetHandover handover;
    {
        const Time now = currentTime();
        const std::lock_guard lock(this->mutex);
        std::set<SlotId> handedOver;
        for (const SlotMove &move : moves) {
            const Duration freeShareIn = std::max(Duration::zero(), this->slots.unrecordedShareFrom(move.slot) - now);
            handover.slots.push_back(HandoverSlot{move.slot, move.expected.epoch, move.expected.revision, freeShareIn.count()});
            this->slots.onReleased(move.slot);
            handedOver.insert(move.slot);
        }
        const auto isHandedOver = [this, &handedOver](const ProgramId &program) {
            return handedOver.contains(this->slots.slotOf(program));
        };
        handover.entries = this->ledger.take(isHandedOver);
        for (auto grant = this->grants.begin(); grant != this->grants.end();) {
            const bool moves = isHandedOver(grant->second.grant.program);
            if (moves) {
                handover.grants.push_back(grant->second.grant);
                this->grantedBy[grant->first] = successor.peerAddress;
            }
            grant = moves ? this->grants.erase(grant) : std::next(grant);
        }
    }
    const std::size_t programs = handover.entries.size();
    const Result<PeerMessage> reply = co_await this->parts.peers.send(successor.peerAddress, std::move(handover));
    const auto *verdict = reply ? std::get_if<BudgetReply>(&reply.value()) : nullptr;
    const bool taken = verdict != nullptr && verdict->decision == BudgetDecision::Granted;
    logRecord(LogLevel::Info,
              "budget",
              taken ? "handed over slots" : "failed to hand over slots",
              {{"peer", successor.id}, {"slots", formatMoves(moves)}, {"programs", std::to_string(programs)}});
    if (!taken) {
        co_await this->release(moves);
    }
}

asio::awaitable<void> BudgetCoordinator::release(const std::vector<SlotMove> &moves)
{
    // Changes the records, so that a late acceptance by the successor fails and no instance assumes that it got the slots with
    // their ledger entries.
    KvTransaction write;
    for (const SlotMove &move : moves) {
        write.compares.push_back(KvCompare{slotKeyOf(move.slot), move.expected.revision});
        write.puts.push_back(KvPut{slotKeyOf(move.slot), formatSlotRecord(InstanceId(), move.expected.epoch + 1, move.expected.unused)});
    }
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->onServiceFailed(reply.error());
    }
}

void BudgetCoordinator::acquireSlots(const BudgetHandover &handover, std::uint64_t revision, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const HandoverSlot &handed : handover.slots) {
        this->slots.onHandoverReceived(handed.slot, now + Duration(handed.unrecordedShareDelay));
        this->slots.onRecord(handed.slot, SlotRecord{this->self.id, handed.epoch + 1, revision}, now);
    }
    this->ledger.put(handover.entries, now);
    for (const OpenGrant &grant : handover.grants) {
        this->grants[grant.id] = UnsettledGrant{grant, now};
    }
}

asio::awaitable<BudgetDecision> BudgetCoordinator::acceptHandover(BudgetHandover handover)
{
    if (this->leaving || handover.slots.empty()) {
        co_return BudgetDecision::Unavailable;
    }
    KvTransaction write;
    for (const HandoverSlot &handed : handover.slots) {
        write.compares.push_back(KvCompare{slotKeyOf(handed.slot), handed.revision});
        write.puts.push_back(KvPut{slotKeyOf(handed.slot), formatSlotRecord(this->self.id, handed.epoch + 1, false)});
    }
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->onServiceFailed(reply.error());
        co_return BudgetDecision::Unavailable;
    }
    if (!reply.value().succeeded) {
        co_return BudgetDecision::NotOwner;
    }
    this->acquireSlots(handover, reply.value().revision, currentTime());
    logRecord(
        LogLevel::Info, "budget", "received slots", {{"slots", std::to_string(handover.slots.size())}, {"programs", std::to_string(handover.entries.size())}});
    co_return BudgetDecision::Granted;
}

} // namespace oleandergate
