#include "decision/programstate.h"

#include "decision/hash.h"

namespace oleandergate {

ProgramState::ProgramState(const ProgramSpec &spec)
    : spec(spec)
{
}

bool ProgramState::apply(const JournalEntry &entry)
{
    if (programOf(entry) != this->spec.id) {
        return false;
    }
    return std::visit(
        [this](const auto &typed) {
            using Entry = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Entry, ProgramCreated>) {
                return this->applyCreated(typed);
            } else if constexpr (std::is_same_v<Entry, BudgetDrawn>) {
                return this->applyDrawn(typed);
            } else if constexpr (std::is_same_v<Entry, CallIntent>) {
                return this->applyIntent(typed);
            } else if constexpr (std::is_same_v<Entry, IntentVoided>) {
                return this->applyVoided(typed);
            } else if constexpr (std::is_same_v<Entry, CallOutcome>) {
                return this->applyOutcome(typed);
            } else if constexpr (std::is_same_v<Entry, OutcomeFound>) {
                return this->applyFound(typed);
            } else {
                return this->applyEnded(typed);
            }
        },
        entry);
}

bool ProgramState::applyCreated(const ProgramCreated &entry)
{
    return entry.spec == this->spec;
}

bool ProgramState::applyDrawn(const BudgetDrawn &entry)
{
    if (entry.total <= this->drawn || entry.total > this->spec.budget) {
        return false;
    }
    this->drawn = entry.total;
    return true;
}

bool ProgramState::applyIntent(const CallIntent &entry)
{
    if (this->findTurn(entry.requestId) != nullptr) {
        return false;
    }
    return this->openIntents.emplace(entry.requestId, entry).second;
}

bool ProgramState::applyVoided(const IntentVoided &entry)
{
    return this->openIntents.erase(entry.requestId) == 1;
}

bool ProgramState::applyOutcome(const CallOutcome &entry)
{
    const TurnRecord &turn = entry.turn;
    BranchState &branch = this->branches[turn.branch];
    if (turn.sequence != branch.nextSequence || turn.chain != chainOf(turn, this->chain)) {
        return false;
    }
    if (turn.kind == CallKind::Model && turn.keptMessages > branch.messageHashes.size()) {
        return false;
    }
    branch.nextSequence += 1;
    if (turn.kind == CallKind::Model) {
        branch.messageHashes.resize(turn.keptMessages);
        for (const std::string &message : turn.newMessages) {
            branch.messageHashes.push_back(hashOf(message));
        }
        branch.lastEndpoint = turn.answer.endpoint;
    }
    this->openIntents.erase(turn.requestId);
    this->spent += turn.answer.cost;
    this->chain = turn.chain;
    this->turnIndex.emplace(turn.requestId, this->turns.size());
    this->turns.push_back(turn);
    return true;
}

bool ProgramState::applyEnded(const ProgramEnded &entry)
{
    if (this->phase != ProgramPhase::Running) {
        return false;
    }
    this->phase = entry.phase;
    this->endedAt = entry.at;
    return true;
}

bool ProgramState::applyFound(const OutcomeFound &entry)
{
    const TurnRecord *turn = this->findTurn(entry.requestId);
    return turn != nullptr && turn->executed == Executed::Unknown && this->foundOutcomes.emplace(entry.requestId, entry.answer).second;
}

const CallAnswer *ProgramState::answerOf(const TurnRecord &turn) const
{
    if (turn.executed == Executed::Yes) {
        return &turn.answer;
    }
    const auto found = this->foundOutcomes.find(turn.requestId);
    return found == this->foundOutcomes.end() ? nullptr : &found->second;
}

const TurnRecord *ProgramState::findTurn(const RequestId &requestId) const
{
    const auto found = this->turnIndex.find(requestId);
    return found == this->turnIndex.end() ? nullptr : &this->turns[found->second];
}

std::vector<std::string> ProgramState::conversationOf(const TurnRecord &turn) const
{
    std::vector<std::string> conversation;
    for (const TurnRecord &earlier : this->turns) {
        if (earlier.branch != turn.branch || earlier.kind != CallKind::Model) {
            continue;
        }
        conversation.resize(earlier.keptMessages);
        conversation.insert(conversation.end(), earlier.newMessages.begin(), earlier.newMessages.end());
        if (earlier.requestId == turn.requestId) {
            break;
        }
    }
    return conversation;
}

bool ProgramState::isChainIntact() const
{
    std::uint64_t previous = 0;
    for (const TurnRecord &turn : this->turns) {
        if (turn.chain != chainOf(turn, previous)) {
            return false;
        }
        previous = turn.chain;
    }
    return previous == this->chain;
}

TurnRecord ProgramState::makeTurn(TurnRecord turn, const std::vector<std::string> &messages) const
{
    std::size_t kept = 0;
    const auto branch = this->branches.find(turn.branch);
    if (turn.kind == CallKind::Model && branch != this->branches.end()) {
        const std::vector<std::uint64_t> &hashes = branch->second.messageHashes;
        while (kept < hashes.size() && kept < messages.size() && hashes[kept] == hashOf(messages[kept])) {
            kept += 1;
        }
    }
    turn.keptMessages = kept;
    turn.newMessages.assign(messages.begin() + static_cast<std::ptrdiff_t>(kept), messages.end());
    turn.chain = chainOf(turn, this->chain);
    return turn;
}

void ProgramState::rebuildIndex()
{
    this->turnIndex.clear();
    for (std::size_t index = 0; index < this->turns.size(); ++index) {
        this->turnIndex.emplace(this->turns[index].requestId, index);
    }
}

} // namespace oleandergate
