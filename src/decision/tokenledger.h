#ifndef OLEANDERGATE_DECISION_TOKENLEDGER_H
#define OLEANDERGATE_DECISION_TOKENLEDGER_H

#include "decision/ids.h"
#include "decision/time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergate {

//! Tokens that one turn needs from its program's budget.
struct TurnRequest
{
    ProgramId program{};
    Tokens budget = 0; //!< Of the whole program.
    Tokens turnTokens = 0; //!< Most tokens that this turn generates.
};

//! Result of TokenLedger::reserve().
enum class LedgerAnswer : std::uint8_t {
    Granted, //!< The tokens are reserved.
    NeedsBlock, //!< The block that planDraw() returns has to be recorded first.
    Exhausted //!< The remaining budget does not cover the turn.
};

//! A block to record in the key-value service before any of it is spent.
struct BlockDraw
{
    Tokens recorded = 0; //!< Total of all blocks of the program, this one included.
    Tokens block = 0;
    std::uint64_t expectedRevision = 0; //!< Of the program's record; 0 when it must not exist yet.
};

//! One program's allowance in the form that is handed over to another instance.
struct LedgerEntry
{
    ProgramId program{};
    Tokens left = 0; //!< May still be granted.
    Tokens recorded = 0; //!< Total of all blocks of the program.
    std::uint64_t revision = 0; //!< Of the program's record when it was last read or written.
    bool sawAllTurns = false; //!< The ledgers that held this entry counted all turns of the program.
};

//! Tracks how many tokens this instance may still grant to each program.
//!
//! A budget has two shares. The unrecorded share needs no record in the key-value service: only one instance, the owner of the
//! program's slot, may ever grant it. Any instance may draw the recorded share, in blocks, by conditional writes. An owner whose
//! ledger counted all turns of a program draws no more than the budget. An owner that took over without the previous owner's
//! ledger entries counts the unrecorded share as spent and may draw one turn more, so that short programs can still finish.
//! The total never exceeds the budget by more than one turn, even when instances disagree about the owner.
class TokenLedger
{
public:
    //! Reserves the tokens of a turn. \p mayGrantUnrecordedShare tells whether this instance may grant the unrecorded share of a
    //! program without an entry in this ledger.
    LedgerAnswer reserve(const TurnRequest &request, bool mayGrantUnrecordedShare, Time now);

    //! Returns true when \p request is not covered now, but would be if all of the \p unsettled tokens, which turns of the program have reserved, came back.
    bool waitsForSettlement(const TurnRequest &request, Tokens unsettled) const;

    //! Returns the block to record for \p request; nothing when the recorded share does not cover it.
    std::optional<BlockDraw> planDraw(const TurnRequest &request) const;

    //! Adds the block of \p draw, which was recorded at \p revision under \p lease; 0 for none.
    void onRecorded(const TurnRequest &request, const BlockDraw &draw, std::uint64_t revision, std::uint64_t lease = 0);

    //! Notes that the program's record no longer exists, as its lease has ended. The next draw writes it anew, with all blocks that are known.
    void onRecordMissing(const ProgramId &program);

    //! Sets the total of all blocks to \p recorded, as read from the program's record at \p revision. An older reading is ignored.
    void onRecordRead(const ProgramId &program, Tokens recorded, std::uint64_t revision, Time now);

    //! Gives back tokens that a turn reserved and did not use. Ignored for a program without an entry.
    void credit(const ProgramId &program, Tokens tokens);

    //! Returns true when the program's allowance here covers \p tokens.
    bool covers(const ProgramId &program, Tokens tokens) const;

    //! Returns the entry of \p program; nothing when this ledger has none.
    std::optional<LedgerEntry> entryOf(const ProgramId &program) const;

    //! Removes and returns the entries of the programs for which \p selected returns true.
    std::vector<LedgerEntry> take(const std::function<bool(const ProgramId &)> &selected);

    //! Adds entries that another instance handed over.
    void put(const std::vector<LedgerEntry> &entries, Time now);

    //! Removes programs without a turn since \p before.
    void forgetIdle(Time before);

    std::size_t size() const;

    //! Returns the leases of the records that this ledger wrote last for its programs.
    std::set<std::uint64_t> leases() const;

private:
    struct Allowance
    {
        Tokens left = 0; //!< May still be granted.
        Tokens recorded = 0; //!< Total of all blocks of the program.
        std::uint64_t revision = 0; //!< Of the program's record when it was last read or written.
        std::uint64_t lease = 0; //!< Of the program's record, if this ledger wrote it; 0 for none.
        bool sawAllTurns = false; //!< This ledger and its predecessors counted all turns of the program.
        Time usedAt{};
    };

    //! Returns the most tokens that all blocks of a program may have together.
    static Tokens boundOfDraws(const TurnRequest &request, const Allowance &allowance);

    std::map<ProgramId, Allowance> programs;
};

//! Returns the part of a budget that needs no record: half of the budget, but at least one turn.
Tokens unrecordedShareOf(const TurnRequest &request);

} // namespace oleandergate

#endif
