#ifndef OLEANDERGATE_GATEWAY_BUDGETCOORDINATOR_H
#define OLEANDERGATE_GATEWAY_BUDGETCOORDINATOR_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/budgetslots.h"
#include "decision/programretention.h"
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

//! Enforces the token budgets of programs across all instances.
//!
//! Programs are hashed to slots, and the instance that owns a slot counts the tokens of its programs in memory. What exceeds
//! a budget's unrecorded share (see TokenLedger) is recorded in the key-value service before it is spent. An instance that
//! cannot reach the owner of a program's slot draws from the recorded share itself.
class BudgetCoordinator : public TokenBudgetService
{
public:
    struct Parts
    {
        boost::asio::io_context &context; //!< Runs the calls to the key-value service and the peers.
        KeyValueService &service;
        PeerClient &peers;
        Metrics &metrics;
        std::function<bool(Time, Time)> mayPeersReachServiceAfter{}; //!< Returns whether other instances may have reached the key-value service after the
                                                                     //!< first time, by what is known at the second one.
    };

    //! \p minRetention as in ProgramRetention.
    BudgetCoordinator(const Parts &parts, const InstanceRecord &self, Duration minRetention);

    //! Starts the loop that claims slots and rereads their records.
    void start();

    boost::asio::awaitable<Result<void>> reserve(ProgramContext program, Tokens tokens, std::string id) override;
    boost::asio::awaitable<void> settle(ProgramContext program, std::string id, Tokens used) override;

    //! Answers a peer's BudgetRequest, BudgetSettlement, BudgetReturn or BudgetHandover; returns nothing for other messages.
    boost::asio::awaitable<std::optional<PeerMessage>> serve(const PeerMessage &message);

    //! Sets the live instances and, among them, the peer addresses of the slots' owners.
    void onMembers(const std::vector<InstanceRecord> &live, const std::map<SlotId, std::string> &slotOwners, Time now);

    //! Sets how long programs may be idle and return by the configuration that comes into force; nothing if it names no time.
    void onConfiguration(std::optional<Duration> programRetention, Time now);

    //! Hands all slots over to other instances. Returns when that is done or \p limit has passed.
    boost::asio::awaitable<void> handOverAll(Time limit);

    //! Returns when the records of all slots were last read.
    Time recordsReadAt() const;

    std::set<SlotId> ownedSlots() const;

private:
    //! A grant whose turn has not been settled.
    struct UnsettledGrant
    {
        OpenGrant grant{};
        Time grantedAt{};
    };

    boost::asio::awaitable<void> maintainSlots();
    boost::asio::awaitable<void> claimDueSlots();

    //! Writes slot records and applies those that the key-value service has afterwards. Fails when it did not answer.
    boost::asio::awaitable<Result<KvTransactionReply>> writeSlotRecords(KvTransaction write);

    //! Writes claims of slots. Returns false when the key-value service did not answer.
    boost::asio::awaitable<bool> claim(std::vector<SlotMove> moves);
    std::vector<SlotMove> planClaims(Time now) const;

    //! Writes that unused slots of this instance are used, as many as fit in a transaction, from \p first on in the order of their numbers
    //! and from the lowest on after the highest. Returns false when the key-value service did not answer.
    boost::asio::awaitable<bool> markSlotsUsed(SlotId first);

    //! Returns true when the slot of \p ask has to be marked as used before the unrecorded share of the program is granted.
    bool mustMarkUsed(const BudgetRequest &ask, Time now) const;
    boost::asio::awaitable<void> awaitOwner(SlotId slot);

    //! Returns the tokens that this instance drew and did not use to the owners of the programs' slots.
    boost::asio::awaitable<void> returnUnusedTokens();
    std::map<std::string, BudgetReturn> takeUnusedTokens(Time now);
    void acceptReturn(const BudgetReturn &returned, Time now);
    boost::asio::awaitable<void> handOver(InstanceRecord successor, std::vector<SlotMove> moves);
    boost::asio::awaitable<void> release(const std::vector<SlotMove> &moves);

    //! Reads the records of all slots.
    boost::asio::awaitable<void> readSlotRecords();

    void dropExpired(Time now);
    void onServiceFailed(const Error &error);
    boost::asio::awaitable<BudgetDecision> acceptHandover(BudgetHandover handover);
    boost::asio::awaitable<BudgetDecision> grantAsOwner(BudgetRequest ask);
    std::map<InstanceId, std::vector<SlotMove>> planHandovers(Time now) const;
    void acquireSlots(const BudgetHandover &handover, std::uint64_t revision, Time now);
    boost::asio::awaitable<BudgetDecision> drawAndGrant(BudgetRequest ask);
    boost::asio::awaitable<bool> recordDraw(TurnRequest request, BlockDraw draw);
    boost::asio::awaitable<BudgetDecision> askOwner(std::string address, BudgetRequest ask);

    //! Waits, no longer than until \p limit, while this instance owns the slot of \p ask and only tokens of unsettled turns could cover it.
    boost::asio::awaitable<void> awaitSettlements(BudgetRequest ask, Time limit);
    bool waitsForSettlement(const BudgetRequest &ask) const;
    LedgerAnswer tryGrant(const BudgetRequest &ask, Time now);
    void credit(const std::string &id, Tokens used);

    //! Logs why a turn is not granted, or why a program starts without its unrecorded share, with what the answer rests on.
    void logLedger(const std::string &what, const BudgetRequest &ask, Time now) const;
    bool ownsSlotOf(const ProgramId &program) const;
    void applySlotRecord(const KvPair &pair, Time now);
    void applySlotRecords(const std::vector<KvPair> &pairs, Time now);
    boost::asio::awaitable<std::uint64_t> leaseForRecords();

    //! Renews the leases of the records of programs that the ledger still has: such a program may live for longer than a lease.
    boost::asio::awaitable<void> renewLeases(Time now);

    Parts parts;
    InstanceRecord self;
    std::array<Counter *, budgetDecisionNames.size()> verdictCounters; //!< Requested reservations by verdict.
    Counter &drawCounter;
    mutable std::mutex mutex;
    BudgetSlots slots; //!< Guarded by the mutex, like the following members except the lease and leaving.
    ProgramRetention retention;
    TokenLedger ledger;
    std::map<std::string, UnsettledGrant> grants;
    std::vector<InstanceRecord> members;
    std::map<std::string, Time> acceptedReturns; //!< Identifiers of accepted BudgetReturn messages, with the time of acceptance.
    std::uint64_t returnCount = 0;
    std::map<std::string, std::string> grantedBy; //!< Peer address of the owner that granted a reservation, by the reservation's identifier.
    std::map<std::string, Time> unresponsiveOwners; //!< Peer addresses of owners that did not answer in time, with the time to ask them again.
    std::atomic<int> marksUnderWay{0}; //!< Calls of markSlotsUsed() that wait for the key-value service.
    std::uint64_t lease = 0; //!< Of the programs' records. Used only on the context's thread, as is leaseRenewAt.
    Time leaseRenewAt{};
    std::map<std::uint64_t, Time> leaseRenewals; //!< Leases that records were written under, with the time to renew them. Used like the lease.
    Time serviceRetryAt{}; //!< Draws fail and slots are not maintained until then, so that nothing waits for a failing service.
    std::map<SlotId, std::string> slotOwners; //!< Peer addresses of the slots' owners.
    std::atomic<bool> leaving{false};
};

} // namespace oleandergate

#endif
