#ifndef OLEANDERGATE_DECISION_PROGRAMSTATE_H
#define OLEANDERGATE_DECISION_PROGRAMSTATE_H

#include "decision/branchstate.h"
#include "decision/journalentry.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! State of one program, rebuilt from its journal entries in order.
class ProgramState
{
public:
    ProgramState() = default;
    explicit ProgramState(const ProgramSpec &spec);

    //! Applies \p entry. Returns false, and changes nothing, when the entry does not fit the state.
    bool apply(const JournalEntry &entry);

    //! Returns the ended call with \p requestId, or nullptr.
    const TurnRecord *findTurn(const RequestId &requestId) const;

    //! Returns the answer to \p turn, if it ran and its answer is known, or nullptr.
    const CallAnswer *answerOf(const TurnRecord &turn) const;

    //! Returns the messages of \p turn in full, kept and new.
    std::vector<std::string> conversationOf(const TurnRecord &turn) const;

    //! Returns true when every turn's chain value follows from the one before.
    bool isChainIntact() const;

    //! Returns the record of a turn that answers \p requestId, with its message delta and chain value filled in.
    TurnRecord makeTurn(TurnRecord turn, const std::vector<std::string> &messages) const;

    //! Rebuilds the index by request id, after the turns were filled in from storage.
    void rebuildIndex();

    ProgramSpec spec{};
    ProgramPhase phase = ProgramPhase::Running;
    Time endedAt{};
    MicroUnits drawn = 0; //!< Budget drawn so far; never above the budget.
    MicroUnits spent = 0; //!< Price of ended calls.
    std::uint64_t chain = 0;
    std::vector<TurnRecord> turns{};
    std::map<std::string, BranchState> branches{};
    std::map<RequestId, CallIntent> openIntents{};
    std::map<RequestId, CallAnswer> foundOutcomes{}; //!< Answers that came to light after their turn ended as unknown.

private:
    bool applyCreated(const ProgramCreated &entry);
    bool applyDrawn(const BudgetDrawn &entry);
    bool applyIntent(const CallIntent &entry);
    bool applyVoided(const IntentVoided &entry);
    bool applyOutcome(const CallOutcome &entry);
    bool applyEnded(const ProgramEnded &entry);
    bool applyFound(const OutcomeFound &entry);

    std::unordered_map<RequestId, std::size_t> turnIndex;
};

} // namespace oleandergate

#endif
