#include "decision/hash.h"
#include "decision/programowner.h"

#include <algorithm>

namespace oleandergate {

Actions ProgramOwner::submit(CallId callId, const CallRequest &request, OperatingMode mode, Time now)
{
    this->latestMode = mode;
    Actions actions;
    const auto slot = this->slots.find(slotOf(request.program, this->limits.slotCount));
    if (slot == this->slots.end() || mode == OperatingMode::Isolated) {
        Error error{ErrorCode::NotOwner, Step::Admit, {}, Executed::Unknown, this->limits.retryAfter, "this instance cannot act as the program's owner"};
        actions.emplace_back(DeliverAction{callId, std::move(error)});
        return actions;
    }
    Program *program = this->programFor(request.program, request.organisation);
    if (program == nullptr) {
        const Executed executed = isSoleOwner(mode) ? Executed::No : Executed::Unknown;
        Error error{ErrorCode::NotFound, Step::Admit, {}, executed, std::nullopt, "no such program"};
        actions.emplace_back(DeliverAction{callId, std::move(error)});
        return actions;
    }
    if (this->replay(*program, callId, request, actions)) {
        return actions;
    }
    LiveCall &call = this->calls[callId];
    call.id = callId;
    call.request = request;
    call.phaseSince = now;
    call.sequence = request.sequence;
    call.autoSequence = request.sequence == 0;
    program->calls[request.requestId] = callId;
    if (slot->second.quiesced) {
        this->refuse(call,
                     this->errorFor(*program, call, ErrorCode::SlotMoving, Step::Admit, this->limits.retryAfter, "the slot is moving to another instance"),
                     actions);
        return actions;
    }
    if (std::optional<Error> error = this->checkProgram(*program, call, now)) {
        this->refuse(call, std::move(*error), actions);
        return actions;
    }
    this->startTimer(request.deadline, callId, 0, {});
    if (this->placeInOrder(*program, call, now, actions)) {
        this->admit(*program, call, now, actions);
    }
    return actions;
}

bool ProgramOwner::replay(Program &program, CallId callId, const CallRequest &request, Actions &actions)
{
    const auto conflict = [&]() {
        Error error{ErrorCode::KeyReused, Step::Admit, {}, Executed::No, std::nullopt, "the idempotency key was already used for a different request"};
        actions.emplace_back(DeliverAction{callId, std::move(error)});
        return true;
    };
    const auto unknown = [&]() {
        Error error{ErrorCode::OutcomeUnknown, Step::Admit, {}, Executed::Unknown, std::nullopt, "the request may have run, but no answer was received"};
        actions.emplace_back(DeliverAction{callId, std::move(error)});
        return true;
    };
    const auto live = program.calls.find(request.requestId);
    if (live != program.calls.end()) {
        LiveCall &original = this->calls.at(live->second);
        if (original.request.digest != request.digest) {
            return conflict();
        }
        if (original.callerAnswered) {
            Error error = this->errorFor(program,
                                         original,
                                         ErrorCode::ServiceUnavailable,
                                         Step::Admit,
                                         this->limits.retryAfter,
                                         "an earlier submission of the request is not finished yet");
            // OutcomeUnknown is final for the caller. A call that only waits for the journal stays retryable, even when another owner may exist.
            error.code = this->mayHaveRun(program, original) ? ErrorCode::OutcomeUnknown : ErrorCode::ServiceUnavailable;
            actions.emplace_back(DeliverAction{callId, std::move(error)});
            return true;
        }
        original.duplicates.push_back(callId);
        return true;
    }
    if (const TurnRecord *turn = program.state.findTurn(request.requestId)) {
        if (turn->digest != request.digest) {
            return conflict();
        }
        const CallAnswer *known = program.state.answerOf(*turn);
        if (known == nullptr) {
            return unknown();
        }
        CallAnswer answer = *known;
        answer.replayed = true;
        answer.historyPending = program.unconfirmed.contains(request.requestId);
        actions.emplace_back(DeliverAction{callId, std::move(answer)});
        return true;
    }
    const auto intent = program.state.openIntents.find(request.requestId);
    if (intent == program.state.openIntents.end()) {
        return false;
    }
    return intent->second.digest != request.digest ? conflict() : unknown();
}

std::optional<Error> ProgramOwner::checkProgram(const Program &program, const LiveCall &call, Time now) const
{
    const auto error = [&](ErrorCode code, std::optional<Duration> retryAfter, const char *detail) {
        return this->errorFor(program, call, code, Step::Admit, retryAfter, detail);
    };
    if (program.state.phase == ProgramPhase::Expired || program.state.spec.deadline <= now) {
        return error(ErrorCode::ProgramExpired, std::nullopt, "the program's deadline has passed");
    }
    if (program.state.phase != ProgramPhase::Running) {
        return error(ErrorCode::ProgramEnded, std::nullopt, "the program has ended");
    }
    if (!program.durable) {
        return error(ErrorCode::ServiceUnavailable, this->limits.retryAfter, "the program's creation is not durable yet");
    }
    if (program.state.turns.size() + program.calls.size() > program.state.spec.maxTurns) {
        return error(ErrorCode::TurnLimit, std::nullopt, "the program has reached its limit of turns");
    }
    if (call.request.deadline <= now) {
        return error(ErrorCode::DeadlineExceeded, std::nullopt, "the call's deadline has passed");
    }
    if (this->latestMode != OperatingMode::Normal && this->unconfirmedTurns >= this->limits.maxUnconfirmedTurns) {
        return error(ErrorCode::ServiceUnavailable, this->limits.retryAfter, "too many delivered turns are not durable yet");
    }
    if (program.calls.size() > this->limits.maxLiveCallsPerProgram) {
        return error(ErrorCode::Overloaded, this->limits.retryAfter, "the program has too many calls in progress");
    }
    return std::nullopt;
}

bool ProgramOwner::placeInOrder(Program &program, LiveCall &call, Time now, Actions &actions)
{
    Branch &branch = program.branches[call.request.branch];
    const std::uint64_t next = nextSequenceOf(program, call.request.branch);
    if (call.autoSequence) {
        call.sequence = next + (branch.running != 0 ? 1 : 0);
        if (!branch.waiting.empty()) {
            call.sequence = std::max(call.sequence, branch.waiting.rbegin()->first + 1);
        }
    }
    if (call.sequence < next) {
        this->refuse(
            call,
            this->errorFor(program, call, ErrorCode::SequenceUsed, Step::Order, std::nullopt, "another request already has this sequence number in the branch"),
            actions);
        return false;
    }
    if (call.sequence == next && branch.running == 0) {
        return true;
    }
    if ((call.sequence == next && branch.running != 0) || !branch.waiting.emplace(call.sequence, call.id).second) {
        this->refuse(
            call,
            this->errorFor(
                program, call, ErrorCode::SequenceUsed, Step::Order, std::nullopt, "another request with this sequence number is in progress in the branch"),
            actions);
        return false;
    }
    this->startTimer(now + this->limits.orderTimeout, call.id, 0, {});
    return false;
}

bool ProgramOwner::reserveBudget(Program &program, LiveCall &call, std::vector<JournalEntry> &entries, MicroUnits &surplus)
{
    const MicroUnits need = call.request.reserve;
    if (program.usableBudget >= need) {
        program.usableBudget -= need;
        call.reserved += need;
        return true;
    }
    const MicroUnits shortage = need - program.usableBudget;
    const MicroUnits left = program.state.spec.budget - program.state.drawn;
    if (shortage > left) {
        return false;
    }
    const MicroUnits block = std::clamp(program.state.spec.budget / this->limits.blocksPerBudget, shortage, left);
    entries.emplace_back(BudgetDrawn{program.state.spec.id, program.state.drawn + block});
    program.state.apply(entries.back());
    program.usableBudget = 0;
    call.reserved += need;
    surplus = block - shortage;
    return true;
}

void ProgramOwner::admit(Program &program, LiveCall &call, Time now, Actions &actions)
{
    program.branches[call.request.branch].running = call.id;
    if (this->latestMode != OperatingMode::Normal && (!call.request.repeatable || program.usableBudget < call.request.reserve)) {
        this->refuse(call,
                     this->errorFor(program,
                                    call,
                                    ErrorCode::ServiceUnavailable,
                                    Step::JournalIntent,
                                    this->limits.retryAfter,
                                    "the call needs a journal entry, and the journal is unavailable"),
                     actions);
        this->finish(call.id, now, actions);
        return;
    }
    std::vector<JournalEntry> entries;
    MicroUnits surplus = 0;
    if (!this->reserveBudget(program, call, entries, surplus)) {
        this->refuse(call,
                     this->errorFor(program, call, ErrorCode::BudgetExhausted, Step::Reserve, std::nullopt, "the program's budget does not cover the call"),
                     actions);
        this->finish(call.id, now, actions);
        return;
    }
    if (!call.request.repeatable) {
        entries.emplace_back(CallIntent{
            call.request.program, call.request.requestId, call.request.branch, call.sequence, call.request.digest, call.request.target, call.reserved});
    }
    if (entries.empty()) {
        this->makeReady(call, now, actions);
        return;
    }
    if (!call.request.repeatable) {
        program.state.apply(entries.back());
        call.intentWritten = true;
    }
    call.phase = CallPhase::JournallingBeforeSend;
    call.phaseSince = now;
    PendingCommit pending{PendingCommit::Purpose::BeforeSend, slotOf(call.request.program, this->limits.slotCount), call.request.program, {call.id}, surplus};
    call.commitId = this->commit(pending.slot, pending, std::move(entries), now + this->limits.intentTimeout, actions);
}

void ProgramOwner::makeReady(LiveCall &call, Time now, Actions &actions)
{
    call.phase = CallPhase::Ready;
    call.phaseSince = now;
    actions.emplace_back(ReadyAction{call.id});
}

Result<void> ProgramOwner::beginSend(CallId callId, const EndpointId &endpoint, OperatingMode mode, Time now)
{
    this->latestMode = mode;
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Ready) {
        return Error{ErrorCode::Cancelled, Step::Send, endpoint, Executed::Unknown, std::nullopt, "the call is no longer waiting to be sent"};
    }
    LiveCall &call = found->second;
    if (mode == OperatingMode::Isolated) {
        return Error{ErrorCode::NotOwner, Step::Send, endpoint, Executed::Unknown, this->limits.retryAfter, "this instance cannot act as the program's owner"};
    }
    call.phase = CallPhase::Sent;
    call.phaseSince = now;
    call.attempts += 1;
    call.endpoint = endpoint;
    call.triedEndpoints.insert(endpoint);
    Program *program = this->programOfCall(call);
    call.firstMaybeSent = program->maybeSent.insert(call.request.requestId).second || call.firstMaybeSent;
    program->endpoints.insert(endpoint);
    return boost::outcome_v2::success();
}

bool ProgramOwner::mayStillSend(CallId callId, OperatingMode mode, Time now)
{
    this->latestMode = mode;
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Sent || mode == OperatingMode::Isolated) {
        return false;
    }
    return now <= found->second.phaseSince + this->limits.maxSendDelay;
}

Actions ProgramOwner::onAnswer(CallId callId, CallAnswer answer, Time now)
{
    Actions actions;
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Sent) {
        return actions;
    }
    LiveCall &call = found->second;
    TurnRecord turn;
    turn.executed = Executed::Yes;
    turn.answer = std::move(answer);
    Program *program = this->programOfCall(call);
    this->journalOutcome(*program, call, std::move(turn), now, actions);
    return actions;
}

Actions ProgramOwner::onAttemptFailed(CallId callId, const AttemptFailure &failure, Time now)
{
    Actions actions;
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Sent) {
        return actions;
    }
    LiveCall &call = found->second;
    Program *program = this->programOfCall(call);
    if (failure.provablyNotSent) {
        call.attempts -= 1;
        if (call.attempts == 0 && call.firstMaybeSent) {
            call.firstMaybeSent = false;
            program->maybeSent.erase(call.request.requestId);
        }
    }
    const bool attemptsLeft = call.triedEndpoints.size() < this->limits.maxAttempts;
    const bool safe = failure.provablyNotSent || (call.request.repeatable && !failure.answerStarted);
    if (safe && attemptsLeft && failure.mayRetry && !call.callerAnswered) {
        // A failed attempt that may have run is charged, so the next one needs its own reserve.
        const MicroUnits extra = failure.provablyNotSent ? 0 : call.request.reserve;
        if (program->usableBudget >= extra) {
            program->usableBudget -= extra;
            call.reserved += extra;
            call.chargedAttempts += failure.provablyNotSent ? 0 : 1;
            this->makeReady(call, now, actions);
            return actions;
        }
    }
    if (call.attempts == 0) {
        Error error = this->errorFor(*program, call, failure.error.code, failure.error.step, this->limits.retryAfter, failure.error.detail);
        error.peer = failure.error.peer;
        this->voidIntent(call, now, actions);
        this->refuse(call, std::move(error), actions);
        this->finish(callId, now, actions);
        return actions;
    }
    if (call.request.repeatable) {
        Error error = failure.error;
        error.executed = Executed::Unknown;
        error.retryAfter = this->limits.retryAfter;
        this->releaseReserve(*program, call, call.reserved);
        this->refuse(call, std::move(error), actions);
        this->finish(callId, now, actions);
        return actions;
    }
    TurnRecord turn;
    turn.executed = Executed::Unknown;
    turn.answer.endpoint = call.endpoint;
    turn.answer.cost = call.reserved;
    this->journalOutcome(*program, call, std::move(turn), now, actions);
    return actions;
}

void ProgramOwner::journalOutcome(Program &program, LiveCall &call, TurnRecord turn, Time now, Actions &actions)
{
    turn.requestId = call.request.requestId;
    turn.branch = call.request.branch;
    turn.sequence = call.sequence;
    turn.digest = call.request.digest;
    turn.kind = call.request.kind;
    turn.target = call.request.target;
    if (turn.executed == Executed::Yes) {
        // Earlier attempts that may have run are charged at their full reserve.
        turn.answer.cost += call.request.reserve * call.chargedAttempts;
    }
    const std::vector<std::string> body{call.request.body};
    turn = program.state.makeTurn(std::move(turn), call.request.kind == CallKind::Model ? call.request.messages : body);
    this->releaseReserve(program, call, turn.answer.cost);
    call.answer = turn.answer;
    const bool executed = turn.executed == Executed::Yes;
    const JournalEntry entry = CallOutcome{call.request.program, std::move(turn)};
    program.state.apply(entry);
    program.unconfirmed.insert(call.request.requestId);
    call.phase = CallPhase::JournallingOutcome;
    call.phaseSince = now;
    if (!executed) {
        call.answer.reset();
    }
    PendingCommit pending{PendingCommit::Purpose::Outcome, slotOf(call.request.program, this->limits.slotCount), call.request.program, {call.id}};
    pending.request = call.request.requestId;
    const Time timeoutAt = this->latestMode == OperatingMode::Normal ? now + this->limits.outcomeTimeout : now;
    call.commitId = this->commit(pending.slot, pending, {entry}, timeoutAt, actions);
}

void ProgramOwner::releaseReserve(Program &program, LiveCall &call, MicroUnits cost)
{
    const MicroUnits unused = std::max<MicroUnits>(0, call.reserved - cost);
    call.reserved = 0;
    if (call.phase == CallPhase::JournallingBeforeSend) {
        const auto pending = this->pendingCommits.find(call.commitId);
        if (pending != this->pendingCommits.end()) {
            pending->second.drawnSurplus += unused;
        }
        return;
    }
    program.usableBudget += unused;
}

bool ProgramOwner::beginInterrupt(CallId callId)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Sent || found->second.callerAnswered) {
        return false;
    }
    LiveCall &call = found->second;
    Program *program = this->programOfCall(call);
    if (!call.request.repeatable || program->usableBudget < call.request.reserve) {
        return false;
    }
    program->usableBudget -= call.request.reserve;
    call.reserved += call.request.reserve;
    return true;
}

bool ProgramOwner::onInterrupted(CallId callId, Time now)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Sent) {
        return false;
    }
    found->second.phase = CallPhase::Ready;
    found->second.phaseSince = now;
    return true;
}

Actions ProgramOwner::refuseReady(CallId callId, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail, Time now)
{
    Actions actions;
    const auto found = this->calls.find(callId);
    if (found == this->calls.end() || found->second.phase != CallPhase::Ready) {
        return actions;
    }
    Program *program = this->programOfCall(found->second);
    this->voidIntent(found->second, now, actions);
    this->refuse(found->second, this->errorFor(*program, found->second, code, step, retryAfter, std::move(detail)), actions);
    this->finish(callId, now, actions);
    return actions;
}

bool ProgramOwner::mayHaveRun(const Program &program, const LiveCall &call) const
{
    if (call.attempts > 0 || program.maybeSent.contains(call.request.requestId)) {
        return true;
    }
    // A call that is not idempotent is sent only after its intent is durable, and this request has no intent of an earlier owner.
    if (!call.request.repeatable || !program.recovered) {
        return false;
    }
    // The previous owner journalled each outcome before the branch's next call, so it may have sent only the first call without one.
    const auto branch = program.branches.find(call.request.branch);
    const std::uint64_t recoveredNextSequence
        = branch == program.branches.end() || branch->second.recoveredNextSequence == 0 ? 1 : branch->second.recoveredNextSequence;
    const std::uint64_t next = nextSequenceOf(program, call.request.branch);
    const std::uint64_t sequence = call.sequence == 0 ? next : call.sequence;
    const bool closed = next > recoveredNextSequence;
    return !closed && sequence >= recoveredNextSequence;
}

Executed ProgramOwner::executedIfRefused(const Program &program, const LiveCall &call) const
{
    return !isSoleOwner(this->latestMode) || this->mayHaveRun(program, call) ? Executed::Unknown : Executed::No;
}

Error ProgramOwner::errorFor(
    const Program &program, const LiveCall &call, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail) const
{
    return Error{code, step, {}, this->executedIfRefused(program, call), retryAfter, std::move(detail)};
}

void ProgramOwner::deliver(LiveCall &call, const Result<CallAnswer> &outcome, Actions &actions)
{
    if (!call.callerAnswered) {
        actions.emplace_back(DeliverAction{call.id, outcome});
    }
    for (const CallId duplicate : call.duplicates) {
        actions.emplace_back(DeliverAction{duplicate, outcome});
    }
    call.duplicates.clear();
    call.callerAnswered = true;
}

void ProgramOwner::refuse(LiveCall &call, Error error, Actions &actions)
{
    this->deliver(call, error, actions);
    Program *program = this->programOfCall(call);
    // A ready call holds the reserve of its next attempt; the reserves of earlier attempts that may have run stay spent.
    const MicroUnits spent = call.phase == CallPhase::Ready ? std::max<MicroUnits>(0, call.reserved - call.request.reserve) : 0;
    this->releaseReserve(*program, call, spent);
    const Branch &branch = program->branches[call.request.branch];
    if (branch.running != call.id) {
        program->calls.erase(call.request.requestId);
        const CallId id = call.id;
        const std::string branchName = call.request.branch;
        Branch &refusedBranch = program->branches[branchName];
        std::erase_if(refusedBranch.waiting, [id](const auto &entry) {
            return entry.second == id;
        });
        if (refusedBranch.running == 0 && refusedBranch.waiting.empty() && refusedBranch.recoveredNextSequence == 0) {
            program->branches.erase(branchName);
        }
        this->calls.erase(id);
    }
}

void ProgramOwner::finish(CallId callId, Time now, Actions &actions)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end()) {
        return;
    }
    const ProgramId programId = found->second.request.program;
    const std::string branchName = found->second.request.branch;
    Program &program = this->programs.at(programId);
    program.calls.erase(found->second.request.requestId);
    this->calls.erase(found);
    Branch &branch = program.branches[branchName];
    if (branch.running == callId) {
        branch.running = 0;
    }
    this->startNextCall(program, branchName, now, actions);
}

void ProgramOwner::startNextCall(Program &program, const std::string &branchName, Time now, Actions &actions)
{
    Branch &branch = program.branches[branchName];
    if (branch.running != 0 || branch.waiting.empty()) {
        return;
    }
    const std::uint64_t next = nextSequenceOf(program, branchName);
    const auto first = branch.waiting.begin();
    LiveCall &call = this->calls.at(first->second);
    if (call.autoSequence) {
        call.sequence = next;
    }
    if (call.sequence > next) {
        return;
    }
    branch.waiting.erase(first);
    std::optional<Error> error;
    if (call.sequence < next) {
        error = this->errorFor(
            program, call, ErrorCode::SequenceUsed, Step::Order, std::nullopt, "another request already has this sequence number in the branch");
    } else {
        error = this->checkProgram(program, call, now);
    }
    if (error) {
        this->refuse(call, std::move(*error), actions);
        this->startNextCall(program, branchName, now, actions);
        return;
    }
    this->admit(program, call, now, actions);
}

void ProgramOwner::failCall(LiveCall &call, ErrorCode code, Step step, const std::string &detail, Time now, Actions &actions)
{
    Program *program = this->programOfCall(call);
    const bool retryable = code == ErrorCode::SlotMoving || code == ErrorCode::ServiceUnavailable || code == ErrorCode::SequenceGap;
    Error error = this->errorFor(*program, call, code, step, retryable ? std::optional(this->limits.retryAfter) : std::nullopt, detail);
    error.peer = call.phase == CallPhase::Sent ? call.endpoint : EndpointId{};
    switch (call.phase) {
    case CallPhase::Waiting:
        this->refuse(call, std::move(error), actions);
        break;
    case CallPhase::JournallingBeforeSend:
        // The commit may still succeed. The caller is answered now and the call is removed once the result is known.
        this->deliver(call, error, actions);
        this->releaseReserve(*program, call, 0);
        break;
    case CallPhase::Ready: {
        actions.emplace_back(AbortAction{call.id});
        this->voidIntent(call, now, actions);
        const CallId id = call.id;
        this->refuse(call, std::move(error), actions);
        this->finish(id, now, actions);
        break;
    }
    case CallPhase::Sent: {
        if (!call.request.repeatable) {
            this->deliver(call, error, actions);
            break;
        }
        actions.emplace_back(AbortAction{call.id});
        const CallId id = call.id;
        this->releaseReserve(*program, call, call.reserved);
        this->refuse(call, std::move(error), actions);
        this->finish(id, now, actions);
        break;
    }
    case CallPhase::JournallingOutcome:
        break;
    }
}

} // namespace oleandergate
