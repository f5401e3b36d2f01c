#include "decision/programowner.h"

#include "decision/hash.h"

#include <algorithm>

namespace oleandergate {

ProgramOwner::ProgramOwner(const OwnerLimits &limits)
    : limits(limits)
{
}

Actions ProgramOwner::acquireSlot(SlotId slot, std::vector<ProgramState> recovered, Time now)
{
    Actions actions;
    Slot &owned = this->slots[slot];
    owned.quiesced = false;
    for (ProgramState &state : recovered) {
        if (state.phase != ProgramPhase::Running && state.endedAt + this->limits.endedRetention < now) {
            continue;
        }
        const ProgramId id = state.spec.id;
        Program &program = this->programs[id];
        program = Program{};
        program.recovered = true;
        program.durable = true;
        for (const auto &[name, branch] : state.branches) {
            program.branches[name].recoveredNextSequence = branch.nextSequence;
            if (!branch.lastEndpoint.empty()) {
                program.endpoints.insert(branch.lastEndpoint);
            }
        }
        const Time timerAt = state.phase == ProgramPhase::Running ? state.spec.deadline : state.endedAt + this->limits.endedRetention;
        program.state = std::move(state);
        owned.programs.insert(id);
        this->startTimer(timerAt, 0, 0, id);
        this->closeOpenIntents(program, now, actions);
        queryOutcomes(program.state, actions);
    }
    return actions;
}

Actions ProgramOwner::quiesceSlot(SlotId slot, Time now)
{
    Actions actions;
    const auto owned = this->slots.find(slot);
    if (owned == this->slots.end()) {
        return actions;
    }
    owned->second.quiesced = true;
    std::vector<CallId> unsent;
    for (const auto &[id, call] : this->calls) {
        const bool notSent = call.phase == CallPhase::Waiting || call.phase == CallPhase::Ready;
        if (notSent && slotOf(call.request.program, this->limits.slotCount) == slot) {
            unsent.push_back(id);
        }
    }
    for (const CallId id : unsent) {
        const auto found = this->calls.find(id);
        if (found != this->calls.end()) {
            this->failCall(found->second, ErrorCode::SlotMoving, Step::SlotHandOver, "the slot is moving to another instance", now, actions);
        }
    }
    return actions;
}

void ProgramOwner::resumeSlot(SlotId slot)
{
    const auto owned = this->slots.find(slot);
    if (owned != this->slots.end()) {
        owned->second.quiesced = false;
    }
}

bool ProgramOwner::isSlotIdle(SlotId slot) const
{
    const auto inSlot = [this, slot](const ProgramId &program) {
        return slotOf(program, this->limits.slotCount) == slot;
    };
    const bool callInProgress = std::any_of(this->calls.begin(), this->calls.end(), [&inSlot](const auto &entry) {
        return inSlot(entry.second.request.program);
    });
    const bool commitInProgress = std::any_of(this->pendingCommits.begin(), this->pendingCommits.end(), [slot](const auto &entry) {
        return entry.second.slot == slot;
    });
    return !callInProgress && !commitInProgress;
}

Actions ProgramOwner::dropSlot(SlotId slot)
{
    Actions actions;
    const auto owned = this->slots.find(slot);
    if (owned == this->slots.end()) {
        return actions;
    }
    const std::set<ProgramId> slotPrograms = owned->second.programs;
    this->slots.erase(owned);
    std::vector<CallId> affected;
    for (const auto &[id, call] : this->calls) {
        if (slotOf(call.request.program, this->limits.slotCount) == slot) {
            affected.push_back(id);
        }
    }
    for (const CallId id : affected) {
        LiveCall &call = this->calls.at(id);
        // The new owner may run the same request, so it is not known here whether it ran.
        Error error{ErrorCode::NotOwner, Step::SlotHandOver, {}, Executed::Unknown, this->limits.retryAfter, "the slot has a new owner"};
        if (call.phase == CallPhase::JournallingOutcome && call.answer && !call.request.repeatable) {
            // A call that is not idempotent never runs again, so this is its only answer.
            call.answer->historyPending = true;
            this->deliver(call, *call.answer, actions);
        } else {
            actions.emplace_back(AbortAction{id});
            this->deliver(call, error, actions);
        }
        this->calls.erase(id);
    }
    for (auto pending = this->pendingCommits.begin(); pending != this->pendingCommits.end();) {
        if (pending->second.slot != slot) {
            ++pending;
            continue;
        }
        if (pending->second.delivered && pending->second.purpose == PendingCommit::Purpose::Outcome) {
            this->unconfirmedTurns -= 1;
        }
        if (!pending->second.delivered
            && (pending->second.purpose == PendingCommit::Purpose::Create || pending->second.purpose == PendingCommit::Purpose::End)) {
            for (const CallId id : pending->second.calls) {
                Error error{ErrorCode::NotOwner, Step::ProgramCreate, {}, Executed::Unknown, this->limits.retryAfter, "the slot has a new owner"};
                actions.emplace_back(DeliverAction{id, std::move(error)});
            }
        }
        pending = this->pendingCommits.erase(pending);
    }
    for (const ProgramId &program : slotPrograms) {
        this->programs.erase(program);
    }
    return actions;
}

bool ProgramOwner::ownsSlot(SlotId slot) const
{
    return this->slots.contains(slot);
}

std::vector<SlotId> ProgramOwner::ownedSlots() const
{
    std::vector<SlotId> owned;
    for (const auto &[slot, state] : this->slots) {
        owned.push_back(slot);
    }
    return owned;
}

Actions ProgramOwner::createProgram(CallId call, const ProgramSpec &spec, OperatingMode mode, Time now)
{
    this->latestMode = mode;
    Actions actions;
    const SlotId slotId = slotOf(spec.id, this->limits.slotCount);
    const auto slot = this->slots.find(slotId);
    const auto refuseCreation = [&](ErrorCode code, const char *detail) {
        Error error{code, Step::ProgramCreate, {}, Executed::No, this->limits.retryAfter, detail};
        actions.emplace_back(DeliverAction{call, std::move(error)});
        return actions;
    };
    if (slot == this->slots.end()) {
        return refuseCreation(ErrorCode::NotOwner, "this instance does not own the program's slot");
    }
    if (slot->second.quiesced) {
        return refuseCreation(ErrorCode::SlotMoving, "the slot is moving to another instance");
    }
    if (mode != OperatingMode::Normal) {
        return refuseCreation(ErrorCode::ServiceUnavailable, "no program can be created while the journal is unavailable");
    }
    const auto existing = this->programs.find(spec.id);
    if (existing != this->programs.end()) {
        const ProgramSpec &known = existing->second.state.spec;
        if (known.organisation != spec.organisation || known.kind != spec.kind) {
            Error error{ErrorCode::Conflict, Step::ProgramCreate, {}, Executed::No, std::nullopt, "the program identifier is already used by another program"};
            actions.emplace_back(DeliverAction{call, std::move(error)});
            return actions;
        }
        if (existing->second.durable) {
            CallAnswer answer{200};
            answer.replayed = true;
            actions.emplace_back(DeliverAction{call, answer});
            return actions;
        }
        for (auto &[commitId, pending] : this->pendingCommits) {
            if (pending.program == spec.id && pending.purpose == PendingCommit::Purpose::Create && !pending.delivered) {
                pending.calls.push_back(call);
                return actions;
            }
        }
        return refuseCreation(ErrorCode::ServiceUnavailable, "the program's creation is not durable yet");
    }
    Program &program = this->programs[spec.id];
    program.state = ProgramState(spec);
    slot->second.programs.insert(spec.id);
    this->startTimer(spec.deadline, 0, 0, spec.id);
    PendingCommit pending{PendingCommit::Purpose::Create, slotId, spec.id, {call}};
    this->commit(slotId, std::move(pending), {ProgramCreated{spec}}, now + this->limits.intentTimeout, actions);
    return actions;
}

Actions ProgramOwner::endProgram(CallId call, const ProgramId &programId, const OrganisationId &organisation, ProgramPhase phase, OperatingMode mode, Time now)
{
    this->latestMode = mode;
    Actions actions;
    if (!this->slots.contains(slotOf(programId, this->limits.slotCount))) {
        Error error{ErrorCode::NotOwner, Step::ProgramEnd, {}, Executed::Unknown, this->limits.retryAfter, "this instance does not own the program's slot"};
        actions.emplace_back(DeliverAction{call, std::move(error)});
        return actions;
    }
    Program *program = this->programFor(programId, organisation);
    if (program == nullptr) {
        Error error{ErrorCode::NotFound, Step::ProgramEnd, {}, Executed::No, std::nullopt, "no such program"};
        actions.emplace_back(DeliverAction{call, std::move(error)});
        return actions;
    }
    if (program->state.phase != ProgramPhase::Running) {
        CallAnswer answer{200};
        answer.replayed = true;
        actions.emplace_back(DeliverAction{call, answer});
        return actions;
    }
    this->markEnded(*program, phase, now, {call}, actions);
    return actions;
}

const ProgramState *ProgramOwner::findProgram(const ProgramId &program) const
{
    const auto found = this->programs.find(program);
    return found == this->programs.end() ? nullptr : &found->second.state;
}

const LiveCall *ProgramOwner::findCall(CallId call) const
{
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : &found->second;
}

void ProgramOwner::forEachProgram(SlotId slot, const std::function<void(const ProgramState &)> &visitor) const
{
    const auto owned = this->slots.find(slot);
    if (owned == this->slots.end()) {
        return;
    }
    for (const ProgramId &program : owned->second.programs) {
        visitor(this->programs.at(program).state);
    }
}

bool ProgramOwner::isProgramGone(const ProgramId &program) const
{
    if (!this->slots.contains(slotOf(program, this->limits.slotCount))) {
        return false;
    }
    const auto found = this->programs.find(program);
    return found == this->programs.end() || found->second.state.phase != ProgramPhase::Running;
}

std::size_t ProgramOwner::liveCallCount() const
{
    return this->calls.size();
}

std::size_t ProgramOwner::programCount() const
{
    return this->programs.size();
}

} // namespace oleandergate
