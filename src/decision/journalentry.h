#ifndef OLEANDERGATE_DECISION_JOURNALENTRY_H
#define OLEANDERGATE_DECISION_JOURNALENTRY_H

#include "decision/programphase.h"
#include "decision/programspec.h"
#include "decision/turnrecord.h"

#include <variant>

namespace oleandergate {

//! A program came into being.
struct ProgramCreated
{
    ProgramSpec spec{};
};

//! A block of the budget was drawn. A successor counts the whole block as spent.
struct BudgetDrawn
{
    ProgramId program{};
    MicroUnits total = 0; //!< All that was drawn so far, this block included, so that applying it twice is harmless.
};

//! A call that is not idempotent is about to be sent.
struct CallIntent
{
    ProgramId program{};
    RequestId requestId{};
    std::string branch{};
    std::uint64_t sequence = 0;
    std::uint64_t digest = 0;
    std::string target{};
    MicroUnits reserve = 0;
};

//! An intent was given up before it was sent.
struct IntentVoided
{
    ProgramId program{};
    RequestId requestId{};
};

//! A call ended.
struct CallOutcome
{
    ProgramId program{};
    TurnRecord turn{};
};

//! The service told the outcome of a call that had ended as unknown.
struct OutcomeFound
{
    ProgramId program{};
    RequestId requestId{};
    CallAnswer answer{};
};

//! A program left the Running phase.
struct ProgramEnded
{
    ProgramId program{};
    ProgramPhase phase = ProgramPhase::Ended;
    Time at{};
};

//! One entry of a slot's journal. Applying an entry again behind a checkpoint that holds it changes nothing.
using JournalEntry = std::variant<ProgramCreated, BudgetDrawn, CallIntent, IntentVoided, CallOutcome, ProgramEnded, OutcomeFound>;

//! Returns the program that \p entry belongs to.
const ProgramId &programOf(const JournalEntry &entry);

} // namespace oleandergate

#endif
