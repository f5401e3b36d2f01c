#ifndef OLEANDERGATE_WIRE_BUDGETMESSAGES_H
#define OLEANDERGATE_WIRE_BUDGETMESSAGES_H

#include "decision/tokenledger.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Reserves tokens for one turn at the owner of the program's budget slot. Idempotent: a repeated request with the same identifier
//! reserves once. Answered by one BudgetReply.
struct BudgetRequest
{
    std::string id{}; //!< Unique per turn.
    TurnRequest request{};
};

enum class BudgetDecision : std::uint8_t {
    Granted, //!< The tokens are reserved, or the message is processed.
    Exhausted, //!< The rest of the program's budget does not cover the turn.
    Unavailable, //!< No decision, because the key-value service or the slot owner cannot be reached.
    NotOwner //!< The instance does not own the slot.
};

inline constexpr std::array<NamedValue<BudgetDecision>, 4> budgetDecisionNames{{
    {BudgetDecision::Granted, "granted"},
    {BudgetDecision::Exhausted, "exhausted"},
    {BudgetDecision::Unavailable, "unavailable"},
    {BudgetDecision::NotOwner, "not-keeper"},
}};

struct BudgetReply
{
    BudgetDecision decision = BudgetDecision::Unavailable;
};

//! Ends a turn and releases the tokens that it reserved and did not use. Answered by one BudgetReply.
struct BudgetSettlement
{
    std::string id{}; //!< Identifier of the turn's BudgetRequest.
    ProgramId program{};
    Tokens used = 0; //!< Tokens delivered to the caller.
};

//! Tokens reserved for a turn that has not ended.
struct OpenGrant
{
    std::string id{};
    ProgramId program{};
    Tokens tokens = 0;
};

//! A budget slot whose ownership moves to another instance.
struct HandoverSlot
{
    SlotId slot = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; //!< Revision of the slot's record in the key-value service.
    std::int64_t unrecordedShareDelay = 0; //!< Microseconds until the new owner may grant the unrecorded share of unknown programs.
};

//! Hands budget slots over to another instance, with the ledger entries and open grants of their programs. Answered by one BudgetReply.
struct BudgetHandover
{
    std::vector<HandoverSlot> slots{};
    std::vector<LedgerEntry> entries{};
    std::vector<OpenGrant> grants{};
};

//! Transfers to the slot owner the unspent allowances that another instance drew for the slot's programs while the owner could not serve
//! them. Idempotent: a repeated message with the same identifier is applied once. Answered by one BudgetReply.
struct BudgetReturn
{
    std::string id{}; //!< Unique per transfer.
    std::vector<LedgerEntry> entries{};
};

} // namespace oleandergate

#endif
