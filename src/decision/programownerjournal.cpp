#include "decision/hash.h"
#include "decision/programowner.h"

#include <algorithm>

namespace oleandergate {

ProgramOwner::Program *ProgramOwner::programFor(const ProgramId &program, const OrganisationId &organisation)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end() || found->second.state.spec.organisation != organisation) {
        return nullptr;
    }
    return &found->second;
}

ProgramOwner::Program *ProgramOwner::programOfCall(const LiveCall &call)
{
    return &this->programs.at(call.request.program);
}

CommitId ProgramOwner::commit(SlotId slot, PendingCommit pending, std::vector<JournalEntry> entries, Time timeoutAt, Actions &actions)
{
    const CommitId commitId = this->nextCommitId;
    this->nextCommitId += 1;
    this->pendingCommits.emplace(commitId, std::move(pending));
    actions.emplace_back(CommitAction{commitId, slot, std::move(entries)});
    this->startTimer(timeoutAt, 0, commitId, {});
    return commitId;
}

Actions ProgramOwner::onCommitted(CommitId commitId, Time now)
{
    Actions actions;
    const auto found = this->pendingCommits.find(commitId);
    if (found == this->pendingCommits.end()) {
        return actions;
    }
    const PendingCommit pending = std::move(found->second);
    this->pendingCommits.erase(found);
    const auto program = this->programs.find(pending.program);
    if (program == this->programs.end()) {
        return actions;
    }
    program->second.usableBudget += pending.drawnSurplus;
    switch (pending.purpose) {
    case PendingCommit::Purpose::Create:
        program->second.durable = true;
        [[fallthrough]];
    case PendingCommit::Purpose::End:
        if (!pending.delivered) {
            for (const CallId call : pending.calls) {
                actions.emplace_back(DeliverAction{call, CallAnswer{200}});
            }
        }
        break;
    case PendingCommit::Purpose::BeforeSend: {
        const CallId callId = pending.calls.front();
        const auto call = this->calls.find(callId);
        if (call == this->calls.end()) {
            break;
        }
        if (!call->second.callerAnswered) {
            this->makeReady(call->second, now, actions);
            break;
        }
        this->voidIntent(call->second, now, actions);
        this->finish(callId, now, actions);
        break;
    }
    case PendingCommit::Purpose::Outcome: {
        program->second.unconfirmed.erase(pending.request);
        if (pending.delivered) {
            this->unconfirmedTurns -= 1;
            break;
        }
        const CallId callId = pending.calls.front();
        const auto call = this->calls.find(callId);
        if (call == this->calls.end()) {
            break;
        }
        this->deliverOutcome(call->second, actions);
        this->finish(callId, now, actions);
        break;
    }
    case PendingCommit::Purpose::NoWaiter:
        break;
    }
    return actions;
}

Actions ProgramOwner::onCommitLost(CommitId commitId)
{
    const auto found = this->pendingCommits.find(commitId);
    return found == this->pendingCommits.end() ? Actions{} : this->dropSlot(found->second.slot);
}

void ProgramOwner::deliverOutcome(LiveCall &call, Actions &actions)
{
    if (call.answer) {
        this->deliver(call, *call.answer, actions);
        return;
    }
    const Error unknown{
        ErrorCode::OutcomeUnknown, Step::Stream, call.endpoint, Executed::Unknown, std::nullopt, "the request was sent, but no answer was received"};
    this->deliver(call, unknown, actions);
}

void ProgramOwner::markEnded(Program &program, ProgramPhase phase, Time now, std::vector<CallId> callsToAnswer, Actions &actions)
{
    const ProgramId id = program.state.spec.id;
    const JournalEntry ended = ProgramEnded{id, phase, now};
    program.state.apply(ended);
    std::vector<CallId> callsInProgress;
    for (const auto &[request, call] : program.calls) {
        callsInProgress.push_back(call);
    }
    std::sort(callsInProgress.begin(), callsInProgress.end());
    const ErrorCode code = phase == ProgramPhase::Expired ? ErrorCode::ProgramExpired : ErrorCode::Cancelled;
    for (const CallId callId : callsInProgress) {
        const auto call = this->calls.find(callId);
        const bool outcomePending = call != this->calls.end() && call->second.phase == CallPhase::Sent && !call->second.request.repeatable;
        if (call != this->calls.end() && call->second.phase != CallPhase::JournallingOutcome && !outcomePending) {
            this->failCall(call->second, code, Step::ProgramEnd, "the program ended", now, actions);
        }
    }
    const SlotId slot = slotOf(id, this->limits.slotCount);
    this->commit(slot, PendingCommit{PendingCommit::Purpose::End, slot, id, std::move(callsToAnswer)}, {ended}, now + this->limits.outcomeTimeout, actions);
    this->startTimer(now + this->limits.endedRetention, 0, 0, id);
    actions.emplace_back(ReleaseCacheAction{id, program.endpoints});
}

void ProgramOwner::voidIntent(LiveCall &call, Time now, Actions &actions)
{
    if (!call.intentWritten || call.attempts > 0) {
        return;
    }
    call.intentWritten = false;
    const JournalEntry voided = IntentVoided{call.request.program, call.request.requestId};
    this->programOfCall(call)->state.apply(voided);
    const SlotId slot = slotOf(call.request.program, this->limits.slotCount);
    this->commit(slot, PendingCommit{PendingCommit::Purpose::NoWaiter, slot, call.request.program}, {voided}, now + this->limits.intentTimeout, actions);
}

void ProgramOwner::closeOpenIntents(Program &program, Time now, Actions &actions)
{
    const std::map<RequestId, CallIntent> intents = program.state.openIntents;
    std::vector<JournalEntry> entries;
    for (const auto &[requestId, intent] : intents) {
        TurnRecord turn;
        turn.requestId = requestId;
        turn.branch = intent.branch;
        turn.sequence = intent.sequence;
        turn.digest = intent.digest;
        turn.kind = CallKind::Service;
        turn.target = intent.target;
        turn.executed = Executed::Unknown;
        turn.answer.cost = intent.reserve;
        turn = program.state.makeTurn(std::move(turn), {});
        const JournalEntry outcome = CallOutcome{intent.program, std::move(turn)};
        if (program.state.apply(outcome)) {
            entries.push_back(outcome);
        }
    }
    if (!entries.empty()) {
        const ProgramId id = program.state.spec.id;
        const SlotId slot = slotOf(id, this->limits.slotCount);
        this->commit(slot, PendingCommit{PendingCommit::Purpose::NoWaiter, slot, id}, std::move(entries), now + this->limits.outcomeTimeout, actions);
    }
}

void ProgramOwner::queryOutcomes(const ProgramState &state, Actions &actions)
{
    for (const TurnRecord &turn : state.turns) {
        if (turn.kind == CallKind::Service && state.answerOf(turn) == nullptr) {
            actions.emplace_back(QueryOutcomeAction{state.spec.id, turn.requestId, turn.target});
        }
    }
}

Actions ProgramOwner::onOutcomeFound(const ProgramId &programId, const RequestId &requestId, CallAnswer answer, Time now)
{
    Actions actions;
    const auto found = this->programs.find(programId);
    if (found == this->programs.end()) {
        return actions;
    }
    const JournalEntry entry = OutcomeFound{programId, requestId, std::move(answer)};
    if (found->second.state.apply(entry)) {
        const SlotId slot = slotOf(programId, this->limits.slotCount);
        this->commit(slot, PendingCommit{PendingCommit::Purpose::NoWaiter, slot, programId}, {entry}, now + this->limits.outcomeTimeout, actions);
    }
    return actions;
}

std::uint64_t ProgramOwner::nextSequenceOf(const Program &program, const std::string &branch)
{
    const auto state = program.state.branches.find(branch);
    return state == program.state.branches.end() ? 1 : state->second.nextSequence;
}

void ProgramOwner::startTimer(Time at, CallId call, CommitId commitId, const ProgramId &program)
{
    this->timers.push(Timer{at, call, commitId, program});
}

std::optional<Time> ProgramOwner::nextTick() const
{
    return this->timers.empty() ? std::nullopt : std::optional(this->timers.top().at);
}

Actions ProgramOwner::tick(OperatingMode mode, Time now)
{
    this->latestMode = mode;
    Actions actions;
    while (!this->timers.empty() && this->timers.top().at <= now) {
        const Timer timer = this->timers.top();
        this->timers.pop();
        if (timer.call != 0) {
            this->onCallTimer(timer.call, now, actions);
        } else if (timer.commitId != 0) {
            this->onCommitTimer(timer.commitId, now, actions);
        } else {
            this->onProgramTimer(timer.program, now, actions);
        }
    }
    return actions;
}

void ProgramOwner::onCallTimer(CallId callId, Time now, Actions &actions)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end()) {
        return;
    }
    LiveCall &call = found->second;
    if (call.callerAnswered) {
        return;
    }
    if (call.request.deadline <= now && call.phase != CallPhase::JournallingOutcome) {
        const bool unknown = call.phase == CallPhase::Sent && !call.request.repeatable;
        this->failCall(call, unknown ? ErrorCode::OutcomeUnknown : ErrorCode::DeadlineExceeded, Step::Deliver, "the call's deadline has passed", now, actions);
        return;
    }
    if (call.phase != CallPhase::Waiting || now < call.phaseSince + this->limits.orderTimeout) {
        return;
    }
    const Program *program = this->programOfCall(call);
    if (program->branches.at(call.request.branch).running != 0) {
        this->startTimer(now + this->limits.orderTimeout, callId, 0, {});
        return;
    }
    this->failCall(call, ErrorCode::SequenceGap, Step::Order, "an earlier call of the branch did not arrive in time", now, actions);
}

void ProgramOwner::onCommitTimer(CommitId commitId, Time now, Actions &actions)
{
    const auto found = this->pendingCommits.find(commitId);
    if (found == this->pendingCommits.end() || found->second.delivered) {
        return;
    }
    PendingCommit &pending = found->second;
    switch (pending.purpose) {
    case PendingCommit::Purpose::Create:
    case PendingCommit::Purpose::End:
        pending.delivered = true;
        for (const CallId call : pending.calls) {
            Error error{ErrorCode::ServiceUnavailable,
                        Step::ProgramCreate,
                        {},
                        Executed::Unknown,
                        this->limits.retryAfter,
                        "the journal did not confirm the entry in time"};
            actions.emplace_back(DeliverAction{call, std::move(error)});
        }
        break;
    case PendingCommit::Purpose::BeforeSend: {
        const auto call = this->calls.find(pending.calls.front());
        if (call != this->calls.end() && !call->second.callerAnswered) {
            this->failCall(call->second, ErrorCode::ServiceUnavailable, Step::JournalIntent, "the journal did not confirm the entry in time", now, actions);
        }
        break;
    }
    case PendingCommit::Purpose::Outcome: {
        if (this->latestMode == OperatingMode::Normal) {
            // The journal is slow but reachable, so the answer waits for it or for the lease to expire.
            this->startTimer(now + this->limits.outcomePollInterval, 0, commitId, {});
            break;
        }
        const CallId callId = pending.calls.front();
        pending.delivered = true;
        this->unconfirmedTurns += 1;
        const auto call = this->calls.find(callId);
        if (call == this->calls.end()) {
            break;
        }
        if (this->latestMode == OperatingMode::Isolated && call->second.request.repeatable) {
            // A new owner may continue the history without this turn, so the answer must not be delivered.
            this->deliver(call->second,
                          Error{ErrorCode::NotOwner,
                                Step::JournalOutcome,
                                {},
                                Executed::Unknown,
                                this->limits.retryAfter,
                                "this instance cannot act as the program's owner"},
                          actions);
            this->finish(callId, now, actions);
            break;
        }
        if (call->second.answer) {
            call->second.answer->historyPending = true;
        }
        this->deliverOutcome(call->second, actions);
        this->finish(callId, now, actions);
        break;
    }
    case PendingCommit::Purpose::NoWaiter:
        break;
    }
}

void ProgramOwner::onProgramTimer(const ProgramId &programId, Time now, Actions &actions)
{
    const auto found = this->programs.find(programId);
    if (found == this->programs.end()) {
        return;
    }
    Program &program = found->second;
    if (program.state.phase == ProgramPhase::Running) {
        if (program.state.spec.deadline <= now) {
            this->markEnded(program, ProgramPhase::Expired, now, {}, actions);
        }
        return;
    }
    if (program.state.endedAt + this->limits.endedRetention <= now) {
        this->removeProgram(programId, now);
    }
}

void ProgramOwner::removeProgram(const ProgramId &programId, Time now)
{
    const auto found = this->programs.find(programId);
    if (found == this->programs.end() || !found->second.calls.empty()) {
        this->startTimer(now + this->limits.endedRetention, 0, 0, programId);
        return;
    }
    const auto slot = this->slots.find(slotOf(programId, this->limits.slotCount));
    if (slot != this->slots.end()) {
        slot->second.programs.erase(programId);
    }
    this->programs.erase(found);
}

} // namespace oleandergate
