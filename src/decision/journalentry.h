#ifndef OLEANDERGATE_DECISION_JOURNALENTRY_H
#define OLEANDERGATE_DECISION_JOURNALENTRY_H

#include "decision/programphase.h"
#include "decision/programspec.h"
#include "decision/turnrecord.h"

#include <variant>

namespace oleandergate {

//! A program was created.
struct ProgramCreated
{
    ProgramSpec spec{};
};

//! A block of the budget was drawn for use by the owner. A new owner counts the whole block as spent.
struct BudgetDrawn
{
    ProgramId program{};
    MicroUnits total = 0; //!< Drawn so far, including this block, so that applying the entry twice is harmless.
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

//! An intent was withdrawn before the call was sent.
struct IntentVoided
{
    ProgramId program{};
    RequestId requestId{};
};

//! A call ended, with an answer or with its outcome unknown.
struct CallOutcome
{
    ProgramId program{};
    TurnRecord turn{};
};

//! The service reported the outcome of a call that had ended as unknown.
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

//! One entry of a slot's journal. Applying an entry that a checkpoint already includes changes nothing.
using JournalEntry = std::variant<ProgramCreated, BudgetDrawn, CallIntent, IntentVoided, CallOutcome, ProgramEnded, OutcomeFound>;

//! Returns the program that \p entry belongs to.
const ProgramId &programOf(const JournalEntry &entry);

} // namespace oleandergate

#endif
