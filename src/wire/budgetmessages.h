#ifndef OLEANDERGATE_WIRE_BUDGETMESSAGES_H
#define OLEANDERGATE_WIRE_BUDGETMESSAGES_H

#include "decision/tokenledger.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Set tokens aside for one turn, at the keeper of the program's slot. Asking twice with the same identifier asks once.
//! Answered by one BudgetReply.
struct BudgetAsk
{
    std::string id{}; //!< Unique for each turn.
    TurnRequest request{};
};

enum class BudgetVerdict : std::uint8_t { Granted, Exhausted, Unavailable, NotKeeper };

inline constexpr std::array<NamedValue<BudgetVerdict>, 4> budgetVerdictNames{{
    {BudgetVerdict::Granted, "granted"},
    {BudgetVerdict::Exhausted, "exhausted"},
    {BudgetVerdict::Unavailable, "unavailable"},
    {BudgetVerdict::NotKeeper, "not-keeper"},
}};

struct BudgetReply
{
    BudgetVerdict verdict = BudgetVerdict::Unavailable;
};

//! Ends a turn. Answered by one BudgetReply.
struct BudgetSettle
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
struct HandedSlot
{
    SlotId slot = 0;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; //!< Of the slot's record.
    std::int64_t freeShareIn = 0; //!< Microseconds until the keeper may give out the free share of unknown programs.
};

//! Gives slots with all that is known of their programs to another instance. Answered by one BudgetReply.
struct BudgetHandover
{
    std::vector<HandedSlot> slots{};
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
