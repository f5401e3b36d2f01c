#ifndef OLEANDERGATE_GATEWAY_BUDGETKEEPER_H
#define OLEANDERGATE_GATEWAY_BUDGETKEEPER_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/budgetslots.h"
#include "decision/tokenledger.h"
#include "gateway/interfaces/turnbudget.h"
#include "wire/peermessage.h"

#include <array>
#include <atomic>
#include <functional>
#include <mutex>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class Counter;
class Metrics;
class PeerClient;

//! Keeps programs within their token budgets over all instances. Each slot of programs has one keeper, which counts in
//! memory; what goes beyond a budget's free share is recorded in the key-value service before it is spent. An instance that
//! does not reach a program's keeper draws from the recorded share by itself.
class BudgetKeeper : public TurnBudget
{
public:
    struct Parts
    {
        boost::asio::io_context &context; //!< Of the key-value service and the peers.
        KeyValueService &service;
        PeerClient &peers;
        Metrics &metrics;
        std::function<bool(Time)> peerReachedServiceAfter{};
    };

    BudgetKeeper(const Parts &parts, const InstanceRecord &self, Duration retention);

    //! Starts the loops that keep this instance's slots.
    void start();

    boost::asio::awaitable<Result<void>> reserve(ProgramMark program, Tokens tokens, std::string id) override;
    void settle(const ProgramMark &program, std::string id, Tokens used) override;

    //! Answers a peer's BudgetRequest, BudgetSettlement or BudgetHandover; nothing for other messages.
    boost::asio::awaitable<std::optional<PeerMessage>> serve(const PeerMessage &message);

    //! Takes the instances that are alive and the peer addresses of the slots' keepers among them.
    void onMembers(const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &keepers, Time now);

    //! Hands all slots to other instances. Returns once that is done or \p limit has passed.
    boost::asio::awaitable<void> handOverAll(Time limit);

    //! Returns when the slots' records were last read.
    Time confirmedAt() const;

    std::set<SlotId> keptSlots() const;

private:
    //! A grant that was not settled yet.
    struct HeldGrant
    {
        OpenGrant grant{};
        Time since{};
    };

    boost::asio::awaitable<void> keepSlots();
    boost::asio::awaitable<void> claimDue();

    //! Returns false when the service did not answer.
    boost::asio::awaitable<bool> claim(std::vector<SlotMove> moves);
    std::vector<SlotMove> planClaims(Time now) const;
    boost::asio::awaitable<void> awaitKeeper(SlotId slot);

    //! Gives what was drawn here for programs that have a keeper now to that keeper.
    boost::asio::awaitable<void> returnLeftovers();
    std::map<std::string, BudgetReturn> takeLeftovers();
    void takeBack(const BudgetReturn &returned, Time now);
    boost::asio::awaitable<void> handOver(InstanceRecord successor, std::vector<SlotMove> moves);
    boost::asio::awaitable<void> release(const std::vector<SlotMove> &moves);
    //! Reads the records of all slots.
    boost::asio::awaitable<void> confirm();
    void forgetOld(Time now);
    void onServiceFailed(const Error &error);
    boost::asio::awaitable<BudgetDecision> receive(BudgetHandover handover);
    boost::asio::awaitable<BudgetDecision> decide(BudgetRequest ask);
    std::map<InstanceId, std::vector<SlotMove>> planHandovers(Time now) const;
    void adopt(const BudgetHandover &handover, std::uint64_t revision, Time now);
    boost::asio::awaitable<BudgetDecision> drawAndGrant(BudgetRequest ask);
    boost::asio::awaitable<bool> record(TurnRequest request, BlockDraw draw);
    boost::asio::awaitable<BudgetDecision> askKeeper(std::string address, BudgetRequest ask);
    LedgerAnswer tryGrant(const BudgetRequest &ask, Time now);
    void credit(const std::string &id, Tokens used);
    bool keepsSlotOf(const ProgramId &program) const;
    void takeRecord(const KvPair &pair, Time now);
    void takeRecords(const std::vector<KvPair> &pairs, Time now);
    boost::asio::awaitable<std::uint64_t> recordLease();

    Parts parts;
    InstanceRecord self;
    Duration retention;
    std::array<Counter *, budgetDecisionNames.size()> verdicts; //!< Turns asked for, by verdict.
    Counter &draws;
    mutable std::mutex mutex;
    BudgetSlots slots; //!< Guarded by the mutex, as what follows.
    TokenLedger ledger;
    std::map<std::string, HeldGrant> grants;
    std::vector<InstanceRecord> members;
    std::map<std::string, Time> returns; //!< Identifiers of returns that were taken, with when.
    std::uint64_t returnCount = 0;
    std::map<std::string, std::string> grantedBy; //!< Asks that a keeper granted, with its address.
    std::map<std::string, Time> silentKeepers; //!< Keepers that did not answer in time, with when to ask them again.
    std::uint64_t lease = 0;
    Time leaseUntil{};
    Time serviceDownUntil{}; //!< Until then nobody waits for the key-value service.
    std::map<SlotId, std::string> keepers; //!< Peer addresses.
    std::atomic<bool> leaving{false};
};

} // namespace oleandergate

#endif
