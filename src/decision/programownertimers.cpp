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

Ran ProgramOwner::ranIfRefused(const Program &program, const LiveCall &call) const
{
    if (this->latestPosture == Posture::Isolated || call.attempts > 0 || program.maybeRan.contains(call.request.requestId)) {
        return Ran::Unknown;
    }
    if (!call.request.repeatable) {
        // Every attempt at such a call stands behind a durable intent, and this request has none but its own.
        return Ran::No;
    }
    if (!program.recovered) {
        return Ran::No;
    }
    // A predecessor journals each outcome before the next call of the branch, so it may have sent just the first unjournalled one.
    const auto branch = program.branches.find(call.request.branch);
    const std::uint64_t recoveredNext = branch == program.branches.end() || branch->second.recoveredNext == 0 ? 1 : branch->second.recoveredNext;
    const std::uint64_t next = nextSequenceOf(program, call.request.branch);
    const std::uint64_t sequence = call.sequence == 0 ? next : call.sequence;
    const bool closed = next > recoveredNext;
    return !closed && sequence >= recoveredNext ? Ran::Unknown : Ran::No;
}

Error ProgramOwner::errorFor(
    const Program &program, const LiveCall &call, ErrorCode code, Step step, std::optional<Duration> retryAfter, std::string detail) const
{
    return Error{code, step, {}, this->ranIfRefused(program, call), retryAfter, std::move(detail)};
}

void ProgramOwner::deliver(LiveCall &call, const Result<CallAnswer> &outcome, Actions &actions)
{
    if (!call.abandoned) {
        actions.emplace_back(DeliverAction{call.id, outcome});
    }
    for (const CallId follower : call.followers) {
        actions.emplace_back(DeliverAction{follower, outcome});
    }
    call.followers.clear();
    call.abandoned = true;
}

void ProgramOwner::refuse(LiveCall &call, Error error, Actions &actions)
{
    this->deliver(call, error, actions);
    Program *program = this->programOfCall(call);
    // A waiting call holds the reserve of its next attempt; what earlier attempts may have cost stays spent.
    const MicroUnits spent = call.phase == CallPhase::Ready ? std::max<MicroUnits>(0, call.reserved - call.request.reserve) : 0;
    this->releaseReserve(*program, call, spent);
    const Branch &branch = program->branches[call.request.branch];
    if (branch.running != call.id) {
        program->calls.erase(call.request.requestId);
        const CallId id = call.id;
        const std::string branchName = call.request.branch;
        Branch &own = program->branches[branchName];
        std::erase_if(own.waiting, [id](const auto &entry) {
            return entry.second == id;
        });
        if (own.running == 0 && own.waiting.empty() && own.recoveredNext == 0) {
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
    this->pump(program, branchName, now, actions);
}

void ProgramOwner::pump(Program &program, const std::string &branchName, Time now, Actions &actions)
{
    Branch &branch = program.branches[branchName];
    if (branch.running != 0 || branch.waiting.empty()) {
        return;
    }
    const std::uint64_t next = nextSequenceOf(program, branchName);
    const auto first = branch.waiting.begin();
    LiveCall &call = this->calls.at(first->second);
    if (call.automatic) {
        call.sequence = next;
    }
    if (call.sequence > next) {
        return;
    }
    branch.waiting.erase(first);
    std::optional<Error> error;
    if (call.sequence < next) {
        error = this->errorFor(program, call, ErrorCode::SequenceUsed, Step::Order, std::nullopt, "another request took this place in the branch");
    } else {
        error = this->checkProgram(program, call, now);
    }
    if (error) {
        this->refuse(call, std::move(*error), actions);
        this->pump(program, branchName, now, actions);
        return;
    }
    this->admit(program, call, now, actions);
}

Ticket ProgramOwner::commit(SlotId slot, Pending pending, std::vector<JournalEntry> entries, Time dueAt, Actions &actions)
{
    const Ticket ticket = this->nextTicket;
    this->nextTicket += 1;
    this->pendings.emplace(ticket, std::move(pending));
    actions.emplace_back(CommitAction{ticket, slot, std::move(entries)});
    this->watch(dueAt, 0, ticket, {});
    return ticket;
}

Actions ProgramOwner::onCommitted(Ticket ticket, Time now)
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
        if (call->second.answer) {
            this->deliver(call->second, *call->second.answer, actions);
        } else {
            this->deliver(call->second,
                          Error{ErrorCode::OutcomeUnknown,
                                Step::Stream,
                                call->second.endpoint,
                                Ran::Unknown,
                                std::nullopt,
                                "the request was sent and its answer never came"},
                          actions);
        }
        this->finish(callId, now, actions);
        break;
    }
    case Pending::Purpose::Void:
        break;
    }
    return actions;
}

Actions ProgramOwner::onCommitLost(Ticket ticket)
{
    const auto found = this->pendings.find(ticket);
    return found == this->pendings.end() ? Actions{} : this->dropSlot(found->second.slot);
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

void ProgramOwner::giveUp(LiveCall &call, ErrorCode code, Step step, const std::string &detail, Time now, Actions &actions)
{
    Program *program = this->programOfCall(call);
    const bool comeBack = code == ErrorCode::SlotMoving || code == ErrorCode::ServiceUnavailable || code == ErrorCode::SequenceGap;
    Error error = this->errorFor(*program, call, code, step, comeBack ? std::optional(this->limits.retryAfter) : std::nullopt, detail);
    error.peer = call.phase == CallPhase::Sent ? call.endpoint : EndpointId{};
    switch (call.phase) {
    case CallPhase::Waiting:
        this->refuse(call, std::move(error), actions);
        break;
    case CallPhase::Journalling:
        // The commit may still take effect; the call stays until it is known, with its caller answered.
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
    case CallPhase::Settling:
        break;
    }
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
        turn.ran = Ran::Unknown;
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

void ProgramOwner::watch(Time at, CallId call, Ticket ticket, const ProgramId &program)
{
    this->dues.push(Due{at, call, ticket, program});
}

std::optional<Time> ProgramOwner::nextTick() const
{
    return this->dues.empty() ? std::nullopt : std::optional(this->dues.top().at);
}

Actions ProgramOwner::tick(Posture posture, Time now)
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

void ProgramOwner::tickTicket(Ticket ticket, Time now, Actions &actions)
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
            Error error{ErrorCode::ServiceUnavailable, Step::ProgramCreate, {}, Ran::Unknown, this->limits.retryAfter, "the journal does not answer"};
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
        if (this->latestPosture == Posture::Normal) {
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
        if (this->latestPosture == Posture::Isolated && call->second.request.repeatable) {
            // A successor's history may go on without this turn, so its answer must not be given.
            this->deliver(
                call->second,
                Error{ErrorCode::NotOwner, Step::JournalOutcome, {}, Ran::Unknown, this->limits.retryAfter, "this instance cannot act as the program's owner"},
                actions);
            this->finish(callId, now, actions);
            break;
        }
        if (call->second.answer) {
            call->second.answer->historyPending = true;
            this->deliver(call->second, *call->second.answer, actions);
        } else {
            this->deliver(call->second,
                          Error{ErrorCode::OutcomeUnknown,
                                Step::Stream,
                                call->second.endpoint,
                                Ran::Unknown,
                                std::nullopt,
                                "the request was sent and its answer never came"},
                          actions);
        }
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
