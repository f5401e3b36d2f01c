#ifndef OLEANDERGATE_GATEWAY_BUDGETCOORDINATOR_H
#define OLEANDERGATE_GATEWAY_BUDGETCOORDINATOR_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/budgetslots.h"
#include "decision/tokenledger.h"
#include "gateway/interfaces/tokenbudgetservice.h"
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
class BudgetCoordinator : public TokenBudgetService
{
public:
    struct Parts
    {
        boost::asio::io_context &context; //!< Of the key-value service and the peers.
        KeyValueService &service;
        PeerClient &peers;
        Metrics &metrics;
        std::function<bool(Time)> hasPeerServiceContactAfter{};
    };

    BudgetCoordinator(const Parts &parts, const InstanceRecord &self, Duration retention);

    //! Starts the loops that keep this instance's slots.
    void start();

    boost::asio::awaitable<Result<void>> reserve(ProgramContext program, Tokens tokens, std::string id) override;
    void settle(const ProgramContext &program, std::string id, Tokens used) override;

    //! Answers a peer's BudgetAsk, BudgetSettle or BudgetHandover; nothing for other messages.
    boost::asio::awaitable<std::optional<PeerMessage>> serve(const PeerMessage &message);

    //! Takes the instances that are alive and the peer addresses of the slots' keepers among them.
    void onMembers(const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &slotOwners, Time now);

    //! Hands all slots to other instances. Returns once that is done or \p limit has passed.
    boost::asio::awaitable<void> handOverAll(Time limit);

    //! Returns when the slots' records were last read.
    Time recordsReadAt() const;

    std::set<SlotId> ownedSlots() const;

private:
    //! A grant that was not settled yet.
    struct UnsettledGrant
    {
        OpenGrant grant{};
        Time grantedAt{};
    };

    boost::asio::awaitable<void> maintainSlots();
    boost::asio::awaitable<void> claimDueSlots();

    //! Returns false when the service did not answer.
    boost::asio::awaitable<bool> claim(std::vector<SlotMove> moves);
    std::vector<SlotMove> planClaims(Time now) const;
    boost::asio::awaitable<void> awaitOwner(SlotId slot);

    //! Gives what was drawn here for programs that have a keeper now to that keeper.
    boost::asio::awaitable<void> returnUnusedTokens();
    std::map<std::string, BudgetReturn> takeUnusedTokens();
    void acceptReturn(const BudgetReturn &returned, Time now);
    boost::asio::awaitable<void> handOver(InstanceRecord successor, std::vector<SlotMove> moves);
    boost::asio::awaitable<void> release(const std::vector<SlotMove> &moves);
    //! Reads the records of all slots.
    boost::asio::awaitable<void> readSlotRecords();
    void dropExpired(Time now);
    void onServiceFailed(const Error &error);
    boost::asio::awaitable<BudgetVerdict> acceptHandover(BudgetHandover handover);
    boost::asio::awaitable<BudgetVerdict> grantAsOwner(BudgetAsk ask);
    std::map<InstanceId, std::vector<SlotMove>> planHandovers(Time now) const;
    void acquireSlots(const BudgetHandover &handover, std::uint64_t revision, Time now);
    boost::asio::awaitable<BudgetVerdict> drawAndGrant(BudgetAsk ask);
    boost::asio::awaitable<bool> recordDraw(TurnRequest request, BlockDraw draw);
    boost::asio::awaitable<BudgetVerdict> askOwner(std::string address, BudgetAsk ask);
    LedgerAnswer tryGrant(const BudgetAsk &ask, Time now);
    void credit(const std::string &id, Tokens used);
    bool ownsSlotOf(const ProgramId &program) const;
    void applySlotRecord(const KvPair &pair, Time now);
    void applySlotRecords(const std::vector<KvPair> &pairs, Time now);
    boost::asio::awaitable<std::uint64_t> leaseForRecords();

    Parts parts;
    InstanceRecord self;
    Duration retention;
    std::array<Counter *, budgetVerdictNames.size()> verdictCounters; //!< Turns asked for, by verdict.
    Counter &drawCounter;
    mutable std::mutex mutex;
    BudgetSlots slots; //!< Guarded by the mutex, as what follows.
    TokenLedger ledger;
    std::map<std::string, UnsettledGrant> grants;
    std::vector<InstanceRecord> members;
    std::map<std::string, Time> acceptedReturns; //!< Identifiers of returns that were taken, with when.
    std::uint64_t returnCount = 0;
    std::map<std::string, std::string> grantedBy; //!< Asks that a keeper granted, with its address.
    std::map<std::string, Time> unresponsiveOwners; //!< Keepers that did not answer in time, with when to ask them again.
    std::uint64_t lease = 0;
    Time leaseRenewAt{};
    Time serviceRetryAt{}; //!< Until then nobody waits for the key-value service.
    std::map<SlotId, std::string> slotOwners; //!< Peer addresses.
    std::atomic<bool> leaving{false};
};

} // namespace oleandergate

#endif
