//! The part of BudgetKeeper that claims slots, hands them over and receives them.

#include "gateway/budgetkeeper.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/jsonaccess.h"
#include "runtime/log.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *slotsPrefix = "oleandergate/budget/slots/";

//! Slots written at once: each takes a condition and a value, and the smallest service in use takes 32 of both together.
constexpr std::size_t rowsPerWrite = 16;

//! How often the records of kept slots are read again; well within their confirmation.
constexpr Duration confirmStep = std::chrono::seconds(12);

//! Records read longer ago are read again before slots are claimed.
constexpr Duration freshRecords = std::chrono::seconds(1);

constexpr Duration keepStep = std::chrono::milliseconds(200);

std::string slotKeyOf(SlotId slot)
{
    return slotsPrefix + std::to_string(slot);
}

std::string showRecord(const InstanceRecord &keeper, std::uint64_t epoch)
{
    return json::serialize(json::object{{"owner", keeper.id}, {"epoch", epoch}});
}

} // namespace

void BudgetKeeper::takeRecord(const KvPair &pair, Time now)
{
    const std::string number = pair.key.substr(std::min(pair.key.size(), std::string_view(slotsPrefix).size()));
    if (number.empty() || number.find_first_not_of("0123456789") != std::string::npos || pair.revision == 0) {
        return;
    }
    const json::object object = parseJsonObject(pair.value);
    const SlotRecord record{jsonText(object, "owner"), static_cast<std::uint64_t>(jsonNumber(object, "epoch")), pair.revision};
    this->slots.onRecord(static_cast<SlotId>(std::stoul(number)), record, now);
}

void BudgetKeeper::takeRecords(const std::vector<KvPair> &pairs, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const KvPair &pair : pairs) {
        this->takeRecord(pair, now);
    }
}

asio::awaitable<void> BudgetKeeper::keepSlots()
{
    while (true) {
        co_await sleepFor(keepStep);
        const Time now = currentTime();
        bool confirmationDue = false;
        {
            const std::lock_guard lock(this->mutex);
            this->forgetOld(now);
            if (this->leaving || now < this->serviceDownUntil) {
                continue;
            }
            const bool keeping = !this->slots.keptSlots().empty() || this->slots.confirmedAt() == Time{};
            confirmationDue = keeping && now - this->slots.confirmedAt() > confirmStep;
        }
        if (confirmationDue) {
            co_await this->confirm();
        }
        co_await this->claimDue();
        co_await this->returnLeftovers();
    }
}

std::vector<SlotMove> BudgetKeeper::planClaims(Time now) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<SlotMove> claims = this->slots.plan(now);
    std::erase_if(claims, [](const SlotMove &move) {
        return move.kind != SlotMove::Kind::Claim;
    });
    return claims;
}

asio::awaitable<void> BudgetKeeper::claimDue()
{
    if (this->planClaims(currentTime()).empty()) {
        co_return;
    }
    // Other instances may have claimed slots since the records were read.
    if (currentTime() - this->confirmedAt() > freshRecords) {
        co_await this->confirm();
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

asio::awaitable<void> BudgetKeeper::confirm()
{
    const Time askedAt = currentTime();
    const Result<KvRange> range = co_await this->parts.service.range(slotsPrefix);
    if (!range) {
        this->onServiceFailed(range.error());
        co_return;
    }
    this->takeRecords(range.value().pairs, currentTime());
    const std::lock_guard lock(this->mutex);
    this->slots.onConfirmed(askedAt);
}

asio::awaitable<bool> BudgetKeeper::claim(std::vector<SlotMove> moves)
{
    moves.resize(std::min(moves.size(), rowsPerWrite));
    KvTransaction write;
    for (const SlotMove &move : moves) {
        const std::string key = slotKeyOf(move.slot);
        write.compares.push_back(KvCompare{key, move.seen.revision});
        write.puts.push_back(KvPut{key, showRecord(this->self, move.seen.epoch + 1)});
        write.elseKeys.push_back(key);
    }
    const std::vector<KvPut> puts = write.puts;
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->onServiceFailed(reply.error());
        co_return false;
    }
    std::vector<KvPair> records = reply.value().found;
    if (reply.value().succeeded) {
        for (const KvPut &put : puts) {
            records.push_back(KvPair{put.key, put.value, reply.value().revision});
        }
    }
    this->takeRecords(records, currentTime());
    logRecord(LogLevel::Info,
              "budget",
              reply.value().succeeded ? "claimed slots" : "other instances claimed slots first",
              {{"count", std::to_string(moves.size())}, {"first", std::to_string(moves.front().slot)}, {"revision", std::to_string(reply.value().revision)}});
    co_return true;
}

std::map<InstanceId, std::vector<SlotMove>> BudgetKeeper::planHandovers(Time now) const
{
    const std::lock_guard lock(this->mutex);
    std::map<InstanceId, std::vector<SlotMove>> handovers;
    for (const SlotMove &move : this->slots.plan(now)) {
        const InstanceId successor = this->slots.successorOf(move.slot);
        if (move.kind == SlotMove::Kind::Release && !successor.empty() && handovers[successor].size() < rowsPerWrite) {
            handovers[successor].push_back(move);
        }
    }
    return handovers;
}

asio::awaitable<void> BudgetKeeper::handOverAll(Time limit)
{
    this->leaving = true;
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
            const auto successor = std::find_if(this->members.begin(), this->members.end(), [&id = id](const InstanceRecord &record) {
                return record.id == id;
            });
            if (successor != this->members.end()) {
                co_await this->handOver(*successor, moves);
            }
        }
    }
}

asio::awaitable<void> BudgetKeeper::handOver(InstanceRecord successor, std::vector<SlotMove> moves)
{
    BudgetHandover handover;
    {
        const Time now = currentTime();
        const std::lock_guard lock(this->mutex);
        std::set<SlotId> given;
        for (const SlotMove &move : moves) {
            const Duration freeShareIn = std::max(Duration::zero(), this->slots.freeShareFrom(move.slot) - now);
            handover.slots.push_back(HandoverSlot{move.slot, move.seen.epoch, move.seen.revision, freeShareIn.count()});
            this->slots.onGivenAway(move.slot);
            given.insert(move.slot);
        }
        const auto isGiven = [this, &given](const ProgramId &program) {
            return given.contains(this->slots.slotOf(program));
        };
        handover.entries = this->ledger.take(isGiven);
        for (auto grant = this->grants.begin(); grant != this->grants.end();) {
            const bool moves = isGiven(grant->second.grant.program);
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
              taken ? "handed slots over" : "could not hand slots over",
              {{"peer", successor.id}, {"slots", std::to_string(moves.size())}, {"programs", std::to_string(programs)}});
    if (!taken) {
        co_await this->release(moves);
    }
}

asio::awaitable<void> BudgetKeeper::release(const std::vector<SlotMove> &moves)
{
    // A late claim of the successor fails on the changed record, so that nobody takes the slot to come with its book.
    KvTransaction write;
    for (const SlotMove &move : moves) {
        write.compares.push_back(KvCompare{slotKeyOf(move.slot), move.seen.revision});
        write.puts.push_back(KvPut{slotKeyOf(move.slot), showRecord(InstanceRecord(), move.seen.epoch + 1)});
    }
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->onServiceFailed(reply.error());
    }
}

void BudgetKeeper::adopt(const BudgetHandover &handover, std::uint64_t revision, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const HandoverSlot &handed : handover.slots) {
        this->slots.onReceived(handed.slot, now + Duration(handed.unrecordedShareDelay));
        this->slots.onRecord(handed.slot, SlotRecord{this->self.id, handed.epoch + 1, revision}, now);
    }
    this->ledger.put(handover.entries, now);
    for (const OpenGrant &grant : handover.grants) {
        this->grants[grant.id] = HeldGrant{grant, now};
    }
}

asio::awaitable<BudgetDecision> BudgetKeeper::receive(BudgetHandover handover)
{
    if (this->leaving || handover.slots.empty()) {
        co_return BudgetDecision::Unavailable;
    }
    KvTransaction write;
    for (const HandoverSlot &handed : handover.slots) {
        write.compares.push_back(KvCompare{slotKeyOf(handed.slot), handed.revision});
        write.puts.push_back(KvPut{slotKeyOf(handed.slot), showRecord(this->self, handed.epoch + 1)});
    }
    const Result<KvTransactionReply> reply = co_await this->parts.service.transact(std::move(write));
    if (!reply) {
        this->onServiceFailed(reply.error());
        co_return BudgetDecision::Unavailable;
    }
    if (!reply.value().succeeded) {
        co_return BudgetDecision::NotOwner;
    }
    this->adopt(handover, reply.value().revision, currentTime());
    logRecord(
        LogLevel::Info, "budget", "received slots", {{"slots", std::to_string(handover.slots.size())}, {"programs", std::to_string(handover.entries.size())}});
    co_return BudgetDecision::Granted;
}

} // namespace oleandergate
