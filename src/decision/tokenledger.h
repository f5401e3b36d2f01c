#ifndef OLEANDERGATE_DECISION_TOKENLEDGER_H
#define OLEANDERGATE_DECISION_TOKENLEDGER_H

#include "decision/ids.h"
#include "decision/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! What one turn asks of its program's budget.
struct TurnRequest
{
    ProgramId program{};
    Tokens budget = 0; //!< Of the whole program.
    Tokens turnTokens = 0; //!< Most tokens that this turn generates.
};

enum class LedgerAnswer : std::uint8_t {
    Granted, //!< The tokens are set aside.
    NeedsBlock, //!< A block has to be recorded first, as planDraw() says.
    Exhausted //!< The budget does not hold the turn.
};

//! A block to record in the key-value service before any of it is spent.
struct BlockDraw
{
    Tokens recorded = 0; //!< Total of all blocks of the program, this one included.
    Tokens block = 0;
    std::uint64_t expectedRevision = 0; //!< Of the program's record; 0 when it must not exist yet.
};

//! One program's allowance, as it is handed to another instance.
struct LedgerEntry
{
    ProgramId program{};
    Tokens left = 0;
    Tokens recorded = 0;
    std::uint64_t revision = 0;
    bool sawAllTurns = false; //!< The ledgers that held it saw all turns of the program.
};

//! What this instance may still hand out for each program.
//!
//! A budget has two shares. The free share needs no record: just one instance, the keeper of the program's slot, may ever
//! give it out. The recorded share is drawn in blocks by conditional writes, by any instance. A keeper that knows a program
//! from its start draws no more than the budget; one that took over without the former keeper's book takes the free share
//! as spent and may draw one turn more, so that short programs still end. The total never passes the budget by more than
//! one turn, whatever instances believe of each other.
class TokenLedger
{
public:
    //! \p mayGrantUnrecordedShare tells whether this instance may give out the free share of a program it does not know yet.
    LedgerAnswer reserve(const TurnRequest &request, bool mayGrantUnrecordedShare, Time now);

    //! Returns the block to record for \p request; nothing when the recorded share is used up.
    std::optional<BlockDraw> planDraw(const TurnRequest &request) const;

    //! The block of \p draw was recorded at \p revision.
    void onRecorded(const TurnRequest &request, const BlockDraw &draw, std::uint64_t revision);

    //! The program's record was read as \p recorded at \p revision.
    void onRecordRead(const ProgramId &program, Tokens recorded, std::uint64_t revision, Time now);

    //! Gives back what a turn set aside and did not use.
    void credit(const ProgramId &program, Tokens tokens);

    //! Returns true when the program's allowance here covers \p tokens.
    bool covers(const ProgramId &program, Tokens tokens) const;

    //! Takes the entries of the programs that \p selected names out of the ledger.
    std::vector<LedgerEntry> take(const std::function<bool(const ProgramId &)> &selected);

    //! Adds entries that another instance handed over.
    void put(const std::vector<LedgerEntry> &entries, Time now);

    //! Forgets programs without a turn since \p before.
    void forgetIdle(Time before);

    std::size_t size() const;

private:
    struct Allowance
    {
        Tokens left = 0;
        Tokens recorded = 0;
        std::uint64_t revision = 0;
        bool sawAllTurns = false; //!< This ledger or those before it have seen all turns.
        Time usedAt{};
    };

    std::map<ProgramId, Allowance> programs;
};

//! Returns the part of a budget that needs no record.
Tokens unrecordedShareOf(const TurnRequest &request);

} // namespace oleandergate

#endif
