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

CommitId ProgramOwner::commit(SlotId slot, Pending pending, std::vector<JournalEntry> entries, Time dueAt, Actions &actions)
{
    const CommitId ticket = this->nextTicket;
    this->nextTicket += 1;
    this->pendings.emplace(ticket, std::move(pending));
    actions.emplace_back(CommitAction{ticket, slot, std::move(entries)});
    this->watch(dueAt, 0, ticket, {});
    return ticket;
}

Actions ProgramOwner::onCommitted(CommitId ticket, Time now)
{
    Actions actions;
    const auto found = this->pendings.find(ticket);
    if (found == this->pendings.end()) {
        return actions;
    }
    const Pending pending = std::move(found->second);
    this->pendings.erase(found);
    const auto program = this->programs.find(pending.program);
    if (program == this->programs.end()) {
        return actions;
    }
    program->second.usable += pending.draw;
    switch (pending.purpose) {
    case Pending::Purpose::Create:
        program->second.durable = true;
        [[fallthrough]];
    case Pending::Purpose::End:
        if (!pending.delivered) {
            for (const CallId call : pending.calls) {
                actions.emplace_back(DeliverAction{call, CallAnswer{200}});
            }
        }
        break;
    case Pending::Purpose::BeforeSend: {
        const CallId callId = pending.calls.front();
        const auto call = this->calls.find(callId);
        if (call == this->calls.end()) {
            break;
        }
        if (!call->second.abandoned) {
            this->makeReady(call->second, now, actions);
            break;
        }
        this->voidIntent(call->second, now, actions);
        this->finish(callId, now, actions);
        break;
    }
    case Pending::Purpose::Outcome: {
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
    case Pending::Purpose::Void:
        break;
    }
    return actions;
}

Actions ProgramOwner::onCommitLost(CommitId ticket)
{
    const auto found = this->pendings.find(ticket);
    return found == this->pendings.end() ? Actions{} : this->dropSlot(found->second.slot);
}

void ProgramOwner::deliverOutcome(LiveCall &call, Actions &actions)
{
    if (call.answer) {
        this->deliver(call, *call.answer, actions);
        return;
    }
    const Error unknown{
        ErrorCode::OutcomeUnknown, Step::Stream, call.endpoint, Executed::Unknown, std::nullopt, "the request was sent and its answer never came"};
    this->deliver(call, unknown, actions);
}

void ProgramOwner::markEnded(Program &program, ProgramPhase phase, Time now, std::vector<CallId> answerTo, Actions &actions)
{
    const ProgramId id = program.state.spec.id;
    const JournalEntry ended = ProgramEnded{id, phase, now};
    program.state.apply(ended);
    std::vector<CallId> underWay;
    for (const auto &[request, call] : program.calls) {
        underWay.push_back(call);
    }
    std::sort(underWay.begin(), underWay.end());
    const ErrorCode code = phase == ProgramPhase::Expired ? ErrorCode::ProgramExpired : ErrorCode::Cancelled;
    for (const CallId callId : underWay) {
        const auto call = this->calls.find(callId);
        const bool mustFinish = call != this->calls.end() && call->second.phase == CallPhase::Sent && !call->second.request.repeatable;
        if (call != this->calls.end() && call->second.phase != CallPhase::Settling && !mustFinish) {
            this->giveUp(call->second, code, Step::ProgramEnd, "the program ended", now, actions);
        }
    }
    const SlotId slot = slotOf(id, this->limits.slotCount);
    this->commit(slot, Pending{Pending::Purpose::End, slot, id, std::move(answerTo)}, {ended}, now + this->limits.outcomePatience, actions);
    this->watch(now + this->limits.endedRetention, 0, 0, id);
    actions.emplace_back(ReleaseAction{id, program.endpoints});
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
    this->commit(slot, Pending{Pending::Purpose::Void, slot, call.request.program}, {voided}, now + this->limits.intentPatience, actions);
}

void ProgramOwner::closeIntents(Program &program, Time now, Actions &actions)
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
        turn.ran = Executed::Unknown;
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
        this->commit(slot, Pending{Pending::Purpose::Void, slot, id}, std::move(entries), now + this->limits.outcomePatience, actions);
    }
}

void ProgramOwner::askOutcomes(const ProgramState &state, Actions &actions)
{
    for (const TurnRecord &turn : state.turns) {
        if (turn.kind == CallKind::Service && state.answerOf(turn) == nullptr) {
            actions.emplace_back(AskOutcomeAction{state.spec.id, turn.requestId, turn.target});
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
        this->commit(slot, Pending{Pending::Purpose::Void, slot, programId}, {entry}, now + this->limits.outcomePatience, actions);
    }
    return actions;
}

std::uint64_t ProgramOwner::nextSequenceOf(const Program &program, const std::string &branch)
{
    const auto state = program.state.branches.find(branch);
    return state == program.state.branches.end() ? 1 : state->second.nextSequence;
}

void ProgramOwner::watch(Time at, CallId call, CommitId ticket, const ProgramId &program)
{
    this->dues.push(Due{at, call, ticket, program});
}

std::optional<Time> ProgramOwner::nextTick() const
{
    return this->dues.empty() ? std::nullopt : std::optional(this->dues.top().at);
}

Actions ProgramOwner::tick(OperatingMode posture, Time now)
{
    this->latestPosture = posture;
    Actions actions;
    while (!this->dues.empty() && this->dues.top().at <= now) {
        const Due due = this->dues.top();
        this->dues.pop();
        if (due.call != 0) {
            this->tickCall(due.call, now, actions);
        } else if (due.ticket != 0) {
            this->tickTicket(due.ticket, now, actions);
        } else {
            this->tickProgram(due.program, now, actions);
        }
    }
    return actions;
}

void ProgramOwner::tickCall(CallId callId, Time now, Actions &actions)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end()) {
        return;
    }
    LiveCall &call = found->second;
    if (call.abandoned) {
        return;
    }
    if (call.request.deadline <= now && call.phase != CallPhase::Settling) {
        const bool unknown = call.phase == CallPhase::Sent && !call.request.repeatable;
        this->giveUp(call, unknown ? ErrorCode::OutcomeUnknown : ErrorCode::DeadlineExceeded, Step::Deliver, "the call's deadline has passed", now, actions);
        return;
    }
    if (call.phase != CallPhase::Waiting || now < call.phaseSince + this->limits.orderPatience) {
        return;
    }
    const Program *program = this->programOfCall(call);
    if (program->branches.at(call.request.branch).running != 0) {
        this->watch(now + this->limits.orderPatience, callId, 0, {});
        return;
    }
    this->giveUp(call, ErrorCode::SequenceGap, Step::Order, "an earlier call of the branch is missing", now, actions);
}

void ProgramOwner::tickTicket(CommitId ticket, Time now, Actions &actions)
{
    const auto found = this->pendings.find(ticket);
    if (found == this->pendings.end() || found->second.delivered) {
        return;
    }
    Pending &pending = found->second;
    switch (pending.purpose) {
    case Pending::Purpose::Create:
    case Pending::Purpose::End:
        pending.delivered = true;
        for (const CallId call : pending.calls) {
            Error error{ErrorCode::ServiceUnavailable, Step::ProgramCreate, {}, Executed::Unknown, this->limits.retryAfter, "the journal does not answer"};
            actions.emplace_back(DeliverAction{call, std::move(error)});
        }
        break;
    case Pending::Purpose::BeforeSend: {
        const auto call = this->calls.find(pending.calls.front());
        if (call != this->calls.end() && !call->second.abandoned) {
            this->giveUp(call->second, ErrorCode::ServiceUnavailable, Step::JournalIntent, "the journal does not answer", now, actions);
        }
        break;
    }
    case Pending::Purpose::Outcome: {
        if (this->latestPosture == OperatingMode::Normal) {
            // The journal is slow but in reach; the answer waits for it, or for the lease to lapse.
            this->watch(now + this->limits.outcomeRecheck, 0, ticket, {});
            break;
        }
        const CallId callId = pending.calls.front();
        pending.delivered = true;
        this->unconfirmedTurns += 1;
        const auto call = this->calls.find(callId);
        if (call == this->calls.end()) {
            break;
        }
        if (this->latestPosture == OperatingMode::Isolated && call->second.request.repeatable) {
            // A successor's history may go on without this turn, so its answer must not be given.
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
    case Pending::Purpose::Void:
        break;
    }
}

void ProgramOwner::tickProgram(const ProgramId &programId, Time now, Actions &actions)
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
        this->forget(programId, now);
    }
}

void ProgramOwner::forget(const ProgramId &programId, Time now)
{
    const auto found = this->programs.find(programId);
    if (found == this->programs.end() || !found->second.calls.empty()) {
        this->watch(now + this->limits.endedRetention, 0, 0, programId);
        return;
    }
    const auto slot = this->slots.find(slotOf(programId, this->limits.slotCount));
    if (slot != this->slots.end()) {
        slot->second.programs.erase(programId);
    }
    this->programs.erase(found);
}

} // namespace oleandergate
