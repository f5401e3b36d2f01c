#include "fault/siminstance.h"

#include "decision/hash.h"
#include "fault/simulation.h"

#include <algorithm>

namespace oleandergate::fault {

namespace {

constexpr Duration hop = std::chrono::milliseconds(1);
constexpr Duration forwardSilence = std::chrono::milliseconds(600);
constexpr Duration ownerWait = std::chrono::seconds(3);
constexpr Duration routePause = std::chrono::milliseconds(40);
constexpr Duration attemptTimeout = std::chrono::milliseconds(400);
constexpr Duration balancerLag = std::chrono::milliseconds(300);
constexpr Duration peakSkew = std::chrono::milliseconds(250);
constexpr int statusOk = 200;

OwnerLimits simLimits()
{
    OwnerLimits limits;
    limits.slotCount = slotCount;
    limits.orderTimeout = std::chrono::milliseconds(500);
    limits.intentTimeout = std::chrono::milliseconds(700);
    limits.outcomeTimeout = std::chrono::milliseconds(700);
    limits.retryAfter = std::chrono::milliseconds(100);
    limits.blocksPerBudget = 8;
    return limits;
}

bool isWrongOwner(const Error &error)
{
    return error.code == ErrorCode::NotOwner || error.code == ErrorCode::SlotMoving || error.code == ErrorCode::PeerFailed;
}

} // namespace

SimInstance::SimInstance(Simulation &simulation, std::size_t index)
    : simulation(simulation)
    , index(index)
{
}

void SimInstance::start()
{
    this->incarnation += 1;
    this->alive = true;
    this->stopping = false;
    this->announced = false;
    this->writing = false;
    this->id = "gate-" + std::to_string(this->index) + "~" + std::to_string(this->incarnation);
    this->owner = std::make_unique<ProgramOwner>(simLimits());
    this->journal = std::make_unique<GroupCommit>(this->id);
    this->table = std::make_unique<SlotTable>(this->id, slotCount);
    this->peak = std::make_unique<PeakLimiter>(peakSkew);
    this->peak->setGrant(PeakGrant{});
    this->grant = PeakGrant{};
    this->reach = Connectivity{};
    this->reach.leaseLength = leaseLength;
    this->peersHeard.clear();
    this->configVersion = 0;
    this->replies.clear();
    this->submissions.clear();
    this->forwards.clear();
    this->releasing.clear();
    this->adopting.clear();
    this->simulation.pass(Step::InstanceStart, this->index);
    for (const auto loop :
         {&SimInstance::keepLease, &SimInstance::readView, &SimInstance::keepSlots, &SimInstance::heartbeat, &SimInstance::tickOwner, &SimInstance::sweep}) {
        if (this->alive) {
            (this->*loop)();
        }
    }
    if (this->alive) {
        this->inProcess(std::chrono::milliseconds(500), [this]() {
            this->keepPeak();
        });
    }
}

void SimInstance::kill()
{
    this->alive = false;
    this->incarnation += 1;
}

void SimInstance::freeze(Duration length)
{
    this->frozenUntil = std::max(this->frozenUntil, this->simulation.now() + length);
}

void SimInstance::stop()
{
    if (!this->alive || this->stopping) {
        return;
    }
    this->stopping = true;
    this->stopsAfter = this->simulation.now() + balancerLag;
    this->simulation.pass(Step::Drain, this->index);
    if (this->mutated(Mutation::StopAtOnce)) {
        this->kill();
        this->stoppedAsPlanned = this->id;
    }
}

void SimInstance::inProcess(Duration delay, std::function<void()> action)
{
    const std::uint64_t born = this->incarnation;
    this->simulation.after(delay, [this, born, action]() {
        if (!this->alive || this->incarnation != born) {
            return;
        }
        if (this->simulation.now() < this->frozenUntil) {
            this->inProcess(this->frozenUntil - this->simulation.now(), action);
            return;
        }
        action();
    });
}

bool SimInstance::mutated(Mutation mutation) const
{
    return this->simulation.plan().mutation == mutation;
}

Time SimInstance::localNow() const
{
    return this->simulation.now() + this->clockOffset;
}

OperatingMode SimInstance::posture() const
{
    const Time now = this->localNow();
    Connectivity view = this->reach;
    for (const InstanceRecord &instance : this->table->instances()) {
        if (instance.id == this->id) {
            continue;
        }
        const auto heard = this->peersHeard.find(instance.id);
        view.knownPeers += 1;
        view.livePeers += heard != this->peersHeard.end() && now <= heard->second + leaseLength ? 1 : 0;
    }
    return determineMode(view, now);
}

void SimInstance::accept(SimCommand command, Reply reply)
{
    const std::uint64_t forward = this->nextForward++;
    this->forwards[forward] = Forward{std::move(command), std::move(reply), this->simulation.now() + ownerWait};
    this->simulation.pass(Step::Receive, this->index);
    this->inProcess(Duration(0), [this, forward]() {
        this->route(forward);
    });
}

void SimInstance::route(std::uint64_t number)
{
    const auto found = this->forwards.find(number);
    if (found == this->forwards.end()) {
        return;
    }
    Forward &forward = found->second;
    if (this->simulation.now() > forward.giveUp) {
        const Reply reply = std::move(forward.reply);
        this->forwards.erase(found);
        reply(Error{ErrorCode::NotOwner, Step::Forward, {}, Executed::Unknown, std::chrono::milliseconds(100), "no owner"});
        return;
    }
    forward.attempt += 1;
    const std::uint64_t attempt = forward.attempt;
    const ProgramId program = forward.command.kind == SimCommand::Kind::Create ? forward.command.spec.id : forward.command.request.program;
    const InstanceRecord *record = this->table->ownerOf(slotOf(program, slotCount));
    SimInstance *target = nullptr;
    for (const auto &instance : this->simulation.instances) {
        if (record != nullptr && instance->alive && instance->id == record->id) {
            target = instance.get();
        }
    }
    const auto again = [this, number]() {
        this->route(number);
    };
    if (target == nullptr) {
        this->inProcess(routePause, again);
        return;
    }
    // Runs in this process when the owner's reply comes; a late reply to an earlier attempt is dropped.
    const Reply back = [this, number, attempt, again](const Result<CallAnswer> &outcome) {
        const auto open = this->forwards.find(number);
        if (open == this->forwards.end() || open->second.attempt != attempt) {
            return;
        }
        if (!outcome && isWrongOwner(outcome.error())) {
            this->inProcess(routePause, again);
            return;
        }
        const Reply reply = std::move(open->second.reply);
        const bool lostTrack = open->second.lostTrack;
        this->forwards.erase(open);
        this->simulation.pass(Step::Deliver, this->index);
        if (!this->alive) {
            return;
        }
        if (!outcome && lostTrack) {
            Error error = outcome.error();
            error.executed = Executed::Unknown;
            reply(error);
        } else {
            reply(outcome);
        }
    };
    if (target == this) {
        this->serve(forward.command, back);
        return;
    }
    this->simulation.pass(Step::Forward, this->index);
    if (!this->alive) {
        return;
    }
    const SimCommand command = forward.command;
    const bool cut = this->simulation.now() < std::max(this->cutUntil, target->cutUntil);
    const std::uint64_t born = this->incarnation;
    if (!cut) {
        target->inProcess(hop, [this, target, command, back, born]() {
            target->serve(command, [this, back, born](const Result<CallAnswer> &outcome) {
                if (this->alive && this->incarnation == born && this->simulation.now() >= this->cutUntil) {
                    this->inProcess(hop, [back, outcome]() {
                        back(outcome);
                    });
                }
            });
        });
    }
    // The owner sends signs of life while it works; silence means that it is gone, paused or cut off.
    const InstanceId targetId = target->id;
    const auto watchdog = std::make_shared<std::function<void()>>();
    *watchdog = [this, number, attempt, target, targetId, again, watchdog]() {
        const auto open = this->forwards.find(number);
        if (open == this->forwards.end() || open->second.attempt != attempt) {
            return;
        }
        const Time now = this->simulation.now();
        const bool speaks = target->alive && target->id == targetId && now >= target->frozenUntil && now >= target->cutUntil && now >= this->cutUntil;
        if (speaks) {
            this->inProcess(forwardSilence, *watchdog);
        } else {
            open->second.lostTrack = true;
            again();
        }
    };
    this->inProcess(forwardSilence, *watchdog);
}

void SimInstance::serve(SimCommand command, Reply reply)
{
    const CallId call = this->nextCall++;
    this->replies[call] = std::move(reply);
    this->submissions[call] = command.submission;
    const Time now = this->localNow();
    switch (command.kind) {
    case SimCommand::Kind::Create:
        this->simulation.pass(Step::ProgramCreate, this->index);
        break;
    case SimCommand::Kind::Call:
        this->simulation.pass(Step::Admit, this->index);
        break;
    case SimCommand::Kind::End:
        this->simulation.pass(Step::ProgramEnd, this->index);
        break;
    }
    if (!this->alive) {
        return;
    }
    if (command.kind == SimCommand::Kind::Create) {
        this->perform(this->owner->createProgram(call, command.spec, this->posture(), now));
    } else if (command.kind == SimCommand::Kind::End) {
        this->perform(this->owner->endProgram(call, command.request.program, command.request.organisation, ProgramPhase::Ended, this->posture(), now));
    } else if (this->mutated(Mutation::SkipOrder) && command.request.repeatable) {
        this->deliverAttempt(0, 0, command.request, command.submission, 0, command.request.sequence);
        this->perform(this->owner->submit(call, command.request, this->posture(), now));
    } else {
        this->simulation.pass(Step::Order, this->index);
        if (this->alive) {
            this->perform(this->owner->submit(call, command.request, this->posture(), now));
        }
    }
}

void SimInstance::perform(Actions actions)
{
    for (Action &action : actions) {
        if (!this->alive) {
            return;
        }
        if (auto *commit = std::get_if<CommitAction>(&action)) {
            const bool outcome = std::any_of(commit->entries.begin(), commit->entries.end(), [](const JournalEntry &entry) {
                return std::holds_alternative<CallOutcome>(entry);
            });
            const bool drawn = std::any_of(commit->entries.begin(), commit->entries.end(), [](const JournalEntry &entry) {
                return std::holds_alternative<BudgetDrawn>(entry);
            });
            this->journal->add(std::move(*commit));
            this->simulation.pass(outcome ? Step::JournalOutcome : drawn ? Step::Reserve : Step::JournalIntent, this->index);
            if (this->alive) {
                this->writeJournal();
            }
        } else if (const auto *ready = std::get_if<ReadyAction>(&action)) {
            const CallId call = ready->call;
            this->simulation.pass(Step::Queue, this->index);
            if (this->alive) {
                this->inProcess(this->simulation.between(50, 3000), [this, call]() {
                    this->send(call);
                });
            }
        } else if (const auto *delivery = std::get_if<DeliverAction>(&action)) {
            const auto reply = this->replies.find(delivery->call);
            if (reply == this->replies.end()) {
                this->simulation.recorder.violations.push_back("a submission was answered twice");
                continue;
            }
            const Reply give = std::move(reply->second);
            this->replies.erase(reply);
            if (delivery->outcome && this->mutated(Mutation::TruncateAnswer) && !delivery->outcome.value().body.empty()) {
                CallAnswer half = delivery->outcome.value();
                half.body.pop_back();
                give(half);
            } else if (!delivery->outcome && this->mutated(Mutation::ClaimNotRun)) {
                Error error = delivery->outcome.error();
                error.executed = Executed::No;
                error.code = ErrorCode::ServiceUnavailable;
                give(error);
            } else {
                give(delivery->outcome);
            }
        } else if (const auto *release = std::get_if<ReleaseCacheAction>(&action)) {
            this->simulation.pass(Step::CacheRelease, this->index);
            if (this->mutated(Mutation::KeepCache) || !this->alive) {
                continue;
            }
            const ProgramId program = release->program;
            for (std::size_t endpoint = 0; endpoint < this->simulation.endpoints.size(); ++endpoint) {
                if (release->endpoints.contains(std::to_string(endpoint))) {
                    this->simulation.after(hop, [this, endpoint, program]() {
                        this->simulation.endpoints[endpoint].held.erase(program);
                    });
                }
            }
        }
    }
}

void SimInstance::send(CallId call)
{
    const LiveCall *live = this->owner->findCall(call);
    if (live == nullptr || live->phase != CallPhase::Ready) {
        return;
    }
    this->simulation.pass(Step::Place, this->index);
    std::vector<std::size_t> usable;
    for (std::size_t endpoint = 0; endpoint < this->simulation.endpoints.size() && this->alive; ++endpoint) {
        const bool leaving = this->leavingKnown.contains(endpoint) && !this->mutated(Mutation::IgnoreLeaving);
        if (!leaving && !live->triedEndpoints.contains(std::to_string(endpoint))) {
            usable.push_back(endpoint);
        }
    }
    if (!this->alive) {
        return;
    }
    const Time now = this->localNow();
    if (usable.empty()) {
        this->perform(this->owner->refuseReady(call, ErrorCode::NoEndpoint, Step::Place, std::chrono::milliseconds(100), "no endpoint left", now));
        return;
    }
    const Tokens tokens = live->request.promptTokens + live->request.maxTokens;
    if (!this->peak->tryCharge(tokens, now)) {
        const std::optional<Time> chance = this->peak->retryAt(tokens, now);
        const Duration wait = chance ? std::min<Duration>(*chance - now, std::chrono::seconds(2)) : Duration(std::chrono::seconds(1));
        this->inProcess(wait, [this, call]() {
            this->send(call);
        });
        return;
    }
    this->simulation.pass(Step::Send, this->index);
    if (!this->alive) {
        return;
    }
    const std::size_t endpoint = usable[static_cast<std::size_t>(this->simulation.between(0, 1000).count()) % usable.size()];
    const CallRequest request = live->request;
    const std::uint64_t sequence = live->sequence;
    const std::uint64_t epoch = this->table->recordOf(slotOf(request.program, slotCount)).epoch;
    const std::uint64_t submission = this->submissions[call];
    const Result<void> allowed = this->owner->beginSend(call, std::to_string(endpoint), this->posture(), now);
    if (!allowed) {
        this->perform(this->owner->refuseReady(call, allowed.error().code, Step::Send, std::chrono::milliseconds(100), allowed.error().detail, now));
        return;
    }
    // A pause of the process falls between the decision and the network.
    this->inProcess(Duration(10), [this, call, endpoint, request, submission, epoch, sequence]() {
        if (this->owner->mayStillSend(call, this->posture(), this->localNow())) {
            this->deliverAttempt(call, endpoint, request, submission, epoch, sequence);
            return;
        }
        AttemptFailure failure;
        failure.error = Error{ErrorCode::Cancelled, Step::Send, std::to_string(endpoint), Executed::No, std::nullopt, "no longer to be sent"};
        failure.provablyNotSent = true;
        this->perform(this->owner->onAttemptFailed(call, failure, this->localNow()));
    });
}

void SimInstance::deliverAttempt(CallId call, std::size_t endpoint, CallRequest request, std::uint64_t submission, std::uint64_t epoch, std::uint64_t sequence)
{
    SimEndpoint &state = this->simulation.endpoints[endpoint];
    const auto fail = [this, call, endpoint](Duration delay, bool notSent, ErrorCode code) {
        this->inProcess(delay, [this, call, endpoint, notSent, code]() {
            AttemptFailure failure;
            failure.error = Error{code, Step::Stream, std::to_string(endpoint), notSent ? Executed::No : Executed::Unknown, std::nullopt, "attempt failed"};
            failure.endpoint = std::to_string(endpoint);
            failure.provablyNotSent = notSent;
            this->simulation.pass(Step::Stream, this->index);
            if (this->alive) {
                this->perform(this->owner->onAttemptFailed(call, failure, this->localNow()));
            }
        });
    };
    if (state.mode == SimEndpoint::Mode::Dead) {
        fail(hop, true, ErrorCode::EndpointFailed);
        return;
    }
    const std::uint64_t born = this->incarnation;
    this->simulation.after(hop, [this, call, endpoint, request, submission, epoch, sequence, fail, born]() {
        SimEndpoint &target = this->simulation.endpoints[endpoint];
        const bool fenced = this->simulation.plan().fencing && request.repeatable && epoch < target.epochs[request.program];
        if (fenced) {
            fail(hop, true, ErrorCode::NotOwner);
            return;
        }
        target.epochs[request.program] = std::max(target.epochs[request.program], epoch);
        target.held.insert(request.program);
        Arrival arrival{this->simulation.now(),
                        endpoint,
                        request.program,
                        request.branch,
                        sequence,
                        request.requestId,
                        submission,
                        request.repeatable,
                        request.promptTokens + request.maxTokens};
        this->simulation.recorder.arrivals.push_back(arrival);
        const bool slow = target.mode == SimEndpoint::Mode::Slow;
        const bool nonsense = target.mode == SimEndpoint::Mode::Nonsense;
        if (slow || nonsense) {
            fail(slow ? attemptTimeout : hop, false, slow ? ErrorCode::Timeout : ErrorCode::EndpointGarbled);
            return;
        }
        const Duration work = this->simulation.between(2000, 60000);
        if (!this->alive || this->incarnation != born) {
            return;
        }
        this->inProcess(work, [this, call, endpoint, request]() {
            CallAnswer answer{statusOk, "text/plain", answerTo(request.program, request.requestId), std::to_string(endpoint)};
            answer.cost = request.reserve;
            this->simulation.pass(Step::Stream, this->index);
            if (this->alive) {
                this->perform(this->owner->onAnswer(call, answer, this->localNow()));
            }
        });
    });
}

void SimInstance::writeJournal()
{
    if (this->writing) {
        return;
    }
    std::optional<CommitBatch> batch = this->journal->nextBatch();
    if (!batch) {
        return;
    }
    this->writing = true;
    const auto result = std::make_shared<BatchResult>();
    const auto done = [this, result](bool answered) {
        if (!answered) {
            result->kind = BatchResult::Kind::Unknown;
        }
        this->writing = false;
        this->reach.lastServiceContact = answered ? this->localNow() : this->reach.lastServiceContact;
        const BatchResolution resolution = this->journal->onResult(*result);
        for (const CommitId ticket : resolution.committed) {
            this->perform(this->owner->onCommitted(ticket, this->localNow()));
            if (!this->alive) {
                return;
            }
        }
        for (const SlotId slot : resolution.lostSlots) {
            if (!this->alive) {
                return;
            }
            this->journal->closeSlot(slot);
            this->perform(this->owner->dropSlot(slot));
        }
        this->inProcess(resolution.retry ? std::chrono::milliseconds(50) : std::chrono::microseconds(1), [this]() {
            this->writeJournal();
        });
    };
    const std::uint64_t born = this->incarnation;
    this->simulation.store->call(
        [this, batch, result]() {
            const BatchResult written = this->simulation.store->write(*batch);
            *result = written;
        },
        [this, born, done](bool answered) {
            if (this->alive && this->incarnation == born) {
                this->inProcess(Duration(0), [done, answered]() {
                    done(answered);
                });
            }
        });
}

} // namespace oleandergate::fault
