#ifndef OLEANDERGATE_WIRE_BUDGETMESSAGES_H
#define OLEANDERGATE_WIRE_BUDGETMESSAGES_H

#include "decision/tokenledger.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Set tokens aside for one turn, at the keeper of the program's slot. Asking twice with the same identifier asks once.
//! Answered by one BudgetReply.
struct BudgetRequest
{
    std::string id{}; //!< Unique for each turn.
    TurnRequest request{};
};

enum class BudgetDecision : std::uint8_t { Granted, Exhausted, Unavailable, NotOwner };

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

//! Ends a turn. Answered by one BudgetReply.
struct BudgetSettlement
{
    std::string id{}; //!< Of the ask.
    ProgramId program{};
    Tokens used = 0; //!< Tokens handed to the caller.
};

//! Tokens set aside for a turn that has not ended.
struct OpenGrant
{
    std::string id{};
    ProgramId program{};
    Tokens tokens = 0;
};

//! A slot that changes hands.
struct HandoverSlot
{
    SlotId slot = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; //!< Of the slot's record.
    std::int64_t unrecordedShareDelay = 0; //!< Microseconds until the keeper may give out the free share of unknown programs.
};

//! Gives slots with all that is known of their programs to another instance. Answered by one BudgetReply.
struct BudgetHandover
{
    std::vector<HandoverSlot> slots{};
    std::vector<LedgerEntry> entries{};
    std::vector<OpenGrant> grants{};
};

//! Gives a keeper what was drawn for its programs while it was not there. Sending it twice with the same identifier gives
//! it once. Answered by one BudgetReply.
struct BudgetReturn
{
    std::string id{}; //!< Unique for each return.
    std::vector<LedgerEntry> entries{};
};

} // namespace oleandergate

#endif
