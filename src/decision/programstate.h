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

    //! Returns all messages of the branch up to \p turn, those kept from earlier turns included.
    std::vector<std::string> conversationOf(const TurnRecord &turn) const;

    //! Returns true when the hash chain over all turns is consistent.
    bool isChainIntact() const;

    //! Returns \p turn with its chain value and with \p messages as difference to the branch's previous model turn filled in.
    TurnRecord makeTurn(TurnRecord turn, const std::vector<std::string> &messages) const;

    //! Rebuilds the index by request identifier after the turns were loaded from storage.
    void rebuildIndex();

    ProgramSpec spec{};
    ProgramPhase phase = ProgramPhase::Running;
    Time endedAt{};
    MicroUnits drawn = 0; //!< Budget drawn so far; never above the budget.
    MicroUnits spent = 0; //!< Total cost of ended calls.
    std::uint64_t chain = 0; //!< Chain value of the latest turn.
    std::vector<TurnRecord> turns{};
    std::map<std::string, BranchState> branches{};
    std::map<RequestId, CallIntent> openIntents{};
    std::map<RequestId, CallAnswer> foundOutcomes{}; //!< Answers that services reported after the turn had ended as unknown.

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
