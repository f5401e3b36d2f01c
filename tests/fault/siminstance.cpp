#include "fault/siminstance.h"

#include "decision/hash.h"
#include "fault/simulation.h"

#include <algorithm>

namespace oleandergate::fault {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1); // one way
constexpr Duration ownerSilenceTimeout = std::chrono::milliseconds(600);
constexpr Duration ownerWait = std::chrono::seconds(3);
constexpr Duration routeRetryDelay = std::chrono::milliseconds(40);
constexpr Duration attemptTimeout = std::chrono::milliseconds(400);
constexpr Duration loadBalancerDelay = std::chrono::milliseconds(300);
constexpr Duration maxClockSkew = std::chrono::milliseconds(250);
constexpr Duration refusalRetryAfter = std::chrono::milliseconds(100);
constexpr Duration firstPeakRenewalDelay = std::chrono::milliseconds(500);
constexpr Duration journalRetryDelay = std::chrono::milliseconds(50);
constexpr Duration decisionToSendDelay = std::chrono::microseconds(10);
constexpr int statusOk = 200;

OwnerLimits simLimits()
{
    OwnerLimits limits;
    limits.slotCount = slotCount;
    limits.orderTimeout = std::chrono::milliseconds(500);
    limits.intentTimeout = std::chrono::milliseconds(700);
    limits.outcomeTimeout = std::chrono::milliseconds(700);
    limits.retryAfter = refusalRetryAfter;
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
    this->registered = false;
    this->writing = false;
    this->id = "gate-" + std::to_string(this->index) + "~" + std::to_string(this->incarnation);
    this->owner = std::make_unique<ProgramOwner>(simLimits());
    this->journal = std::make_unique<GroupCommit>(this->id);
    this->table = std::make_unique<SlotTable>(this->id, slotCount);
    this->peakLimiter = std::make_unique<PeakLimiter>(maxClockSkew);
    this->peakLimiter->setGrant(PeakGrant{});
    this->grant = PeakGrant{};
    this->connectivity = Connectivity{};
    this->connectivity.leaseLength = leaseLength;
    this->lastPeerContact.clear();
    this->configVersion = 0;
    this->replies.clear();
    this->submissions.clear();
    this->forwards.clear();
    this->releasingSlots.clear();
    this->recoveringSlots.clear();
    this->simulation.onStep(Step::InstanceStart, this->index);
    for (const auto loop : {&SimInstance::renewLease,
                            &SimInstance::readClusterState,
                            &SimInstance::maintainSlots,
                            &SimInstance::heartbeat,
                            &SimInstance::tickOwner,
                            &SimInstance::sweepCaches}) {
        if (this->alive) {
            (this->*loop)();
        }
    }
    if (this->alive) {
        this->runInProcess(firstPeakRenewalDelay, [this]() {
            this->renewPeakGrant();
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
    this->mayStopAt = this->simulation.now() + loadBalancerDelay;
    this->simulation.onStep(Step::Drain, this->index);
    if (this->hasMutation(Mutation::StopAtOnce)) {
        this->kill();
        this->stoppedProcess = this->id;
    }
}

void SimInstance::runInProcess(Duration delay, std::function<void()> action)
{
    const std::uint64_t expectedIncarnation = this->incarnation;
    this->simulation.after(delay, [this, expectedIncarnation, action]() {
        if (!this->alive || this->incarnation != expectedIncarnation) {
            return;
        }
        if (this->simulation.now() < this->frozenUntil) {
            this->runInProcess(this->frozenUntil - this->simulation.now(), action);
            return;
        }
        action();
    });
}

bool SimInstance::hasMutation(Mutation mutation) const
{
    return this->simulation.plan().mutation == mutation;
}

Time SimInstance::localNow() const
{
    return this->simulation.now() + this->clockOffset;
}

OperatingMode SimInstance::operatingMode() const
{
    const Time now = this->localNow();
    Connectivity view = this->connectivity;
    for (const InstanceRecord &instance : this->table->instances()) {
        if (instance.id == this->id) {
            continue;
        }
        const auto lastContact = this->lastPeerContact.find(instance.id);
        view.knownPeers += 1;
        view.livePeers += lastContact != this->lastPeerContact.end() && now <= lastContact->second + leaseLength ? 1 : 0;
    }
    return determineMode(view, now);
}

void SimInstance::accept(SimCommand command, Reply reply)
{
    const std::uint64_t forward = this->nextForward++;
    this->forwards[forward] = Forward{std::move(command), std::move(reply), this->simulation.now() + ownerWait};
    this->simulation.onStep(Step::Receive, this->index);
    this->runInProcess(Duration(0), [this, forward]() {
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
    if (this->simulation.now() > forward.giveUpAt) {
        const Reply reply = std::move(forward.reply);
        this->forwards.erase(found);
        reply(Error{ErrorCode::NotOwner, Step::Forward, {}, Executed::Unknown, refusalRetryAfter, "no reachable owner"});
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
    const auto tryAgain = [this, number]() {
        this->route(number);
    };
    if (target == nullptr) {
        this->runInProcess(routeRetryDelay, tryAgain);
        return;
    }
    // Called in this process with the owner's reply. A late reply to an earlier attempt is dropped.
    const Reply onOwnerReply = [this, number, attempt, tryAgain](const Result<CallAnswer> &outcome) {
        const auto open = this->forwards.find(number);
        if (open == this->forwards.end() || open->second.attempt != attempt) {
            return;
        }
        if (!outcome && isWrongOwner(outcome.error())) {
            this->runInProcess(routeRetryDelay, tryAgain);
            return;
        }
        const Reply reply = std::move(open->second.reply);
        const bool hasUnansweredAttempt = open->second.hasUnansweredAttempt;
        this->forwards.erase(open);
        this->simulation.onStep(Step::Deliver, this->index);
        if (!this->alive) {
            return;
        }
        if (!outcome && hasUnansweredAttempt) {
            Error error = outcome.error();
            error.executed = Executed::Unknown;
            reply(error);
        } else {
            reply(outcome);
        }
    };
    if (target == this) {
        this->serve(forward.command, onOwnerReply);
        return;
    }
    this->simulation.onStep(Step::Forward, this->index);
    if (!this->alive) {
        return;
    }
    const SimCommand command = forward.command;
    const bool disconnected = this->simulation.now() < std::max(this->disconnectedUntil, target->disconnectedUntil);
    const std::uint64_t expectedIncarnation = this->incarnation;
    if (!disconnected) {
        target->runInProcess(networkDelay, [this, target, command, onOwnerReply, expectedIncarnation]() {
            target->serve(command, [this, onOwnerReply, expectedIncarnation](const Result<CallAnswer> &outcome) {
                if (this->alive && this->incarnation == expectedIncarnation && this->simulation.now() >= this->disconnectedUntil) {
                    this->runInProcess(networkDelay, [onOwnerReply, outcome]() {
                        onOwnerReply(outcome);
                    });
                }
            });
        });
    }
    // The owner sends heartbeats while it processes the command; without them it has ended, is paused or is disconnected.
    const InstanceId targetId = target->id;
    const auto watchdog = std::make_shared<std::function<void()>>();
    *watchdog = [this, number, attempt, target, targetId, tryAgain, watchdog]() {
        const auto open = this->forwards.find(number);
        if (open == this->forwards.end() || open->second.attempt != attempt) {
            return;
        }
        const Time now = this->simulation.now();
        const bool responsive
            = target->alive && target->id == targetId && now >= target->frozenUntil && now >= target->disconnectedUntil && now >= this->disconnectedUntil;
        if (responsive) {
            this->runInProcess(ownerSilenceTimeout, *watchdog);
        } else {
            open->second.hasUnansweredAttempt = true;
            tryAgain();
        }
    };
    this->runInProcess(ownerSilenceTimeout, *watchdog);
}

void SimInstance::serve(SimCommand command, Reply reply)
{
    const CallId call = this->nextCall++;
    this->replies[call] = std::move(reply);
    this->submissions[call] = command.submission;
    const Time now = this->localNow();
    switch (command.kind) {
    case SimCommand::Kind::Create:
        this->simulation.onStep(Step::ProgramCreate, this->index);
        break;
    case SimCommand::Kind::Call:
        this->simulation.onStep(Step::Admit, this->index);
        break;
    case SimCommand::Kind::End:
        this->simulation.onStep(Step::ProgramEnd, this->index);
        break;
    }
    if (!this->alive) {
        return;
    }
    if (command.kind == SimCommand::Kind::Create) {
        this->perform(this->owner->createProgram(call, command.spec, this->operatingMode(), now));
    } else if (command.kind == SimCommand::Kind::End) {
        this->perform(this->owner->endProgram(call, command.request.program, command.request.organisation, ProgramPhase::Ended, this->operatingMode(), now));
    } else if (this->hasMutation(Mutation::SkipOrder) && command.request.repeatable) {
        this->sendToEndpoint(0, 0, command.request, command.submission, 0, command.request.sequence);
        this->perform(this->owner->submit(call, command.request, this->operatingMode(), now));
    } else {
        this->simulation.onStep(Step::Order, this->index);
        if (this->alive) {
            this->perform(this->owner->submit(call, command.request, this->operatingMode(), now));
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
            this->simulation.onStep(outcome ? Step::JournalOutcome : drawn ? Step::Reserve : Step::JournalIntent, this->index);
            if (this->alive) {
                this->writeJournal();
            }
        } else if (const auto *ready = std::get_if<ReadyAction>(&action)) {
            const CallId call = ready->call;
            this->simulation.onStep(Step::Queue, this->index);
            if (this->alive) {
                this->runInProcess(this->simulation.between(50, 3000), [this, call]() {
                    this->send(call);
                });
            }
        } else if (const auto *delivery = std::get_if<DeliverAction>(&action)) {
            const auto reply = this->replies.find(delivery->call);
            if (reply == this->replies.end()) {
                this->simulation.recorder.violations.push_back("a submission was answered twice");
                continue;
            }
            const Reply sendReply = std::move(reply->second);
            this->replies.erase(reply);
            if (delivery->outcome && this->hasMutation(Mutation::TruncateAnswer) && !delivery->outcome.value().body.empty()) {
                CallAnswer truncated = delivery->outcome.value();
                truncated.body.pop_back();
                sendReply(truncated);
            } else if (!delivery->outcome && this->hasMutation(Mutation::ClaimNotExecuted)) {
                Error error = delivery->outcome.error();
                error.executed = Executed::No;
                error.code = ErrorCode::ServiceUnavailable;
                sendReply(error);
            } else {
                sendReply(delivery->outcome);
            }
        } else if (const auto *release = std::get_if<ReleaseCacheAction>(&action)) {
            this->simulation.onStep(Step::CacheRelease, this->index);
            if (this->hasMutation(Mutation::KeepCache) || !this->alive) {
                continue;
            }
            const ProgramId program = release->program;
            for (std::size_t endpoint = 0; endpoint < this->simulation.endpoints.size(); ++endpoint) {
                if (release->endpoints.contains(std::to_string(endpoint))) {
                    this->simulation.after(networkDelay, [this, endpoint, program]() {
                        this->simulation.endpoints[endpoint].cachedPrograms.erase(program);
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
    this->simulation.onStep(Step::Place, this->index);
    std::vector<std::size_t> usable;
    for (std::size_t endpoint = 0; endpoint < this->simulation.endpoints.size() && this->alive; ++endpoint) {
        const bool leaving = this->knownLeavingEndpoints.contains(endpoint) && !this->hasMutation(Mutation::IgnoreLeaving);
        if (!leaving && !live->triedEndpoints.contains(std::to_string(endpoint))) {
            usable.push_back(endpoint);
        }
    }
    if (!this->alive) {
        return;
    }
    const Time now = this->localNow();
    if (usable.empty()) {
        this->perform(this->owner->refuseReady(call, ErrorCode::NoEndpoint, Step::Place, refusalRetryAfter, "no untried endpoint available", now));
        return;
    }
    const Tokens tokens = live->request.promptTokens + live->request.maxTokens;
    if (!this->peakLimiter->tryCharge(tokens, now)) {
        const std::optional<Time> retryAt = this->peakLimiter->retryAt(tokens, now);
        const Duration wait = retryAt ? std::min<Duration>(*retryAt - now, std::chrono::seconds(2)) : Duration(std::chrono::seconds(1));
        this->runInProcess(wait, [this, call]() {
            this->send(call);
        });
        return;
    }
    this->simulation.onStep(Step::Send, this->index);
    if (!this->alive) {
        return;
    }
    const std::size_t endpoint = usable[static_cast<std::size_t>(this->simulation.between(0, 1000).count()) % usable.size()];
    const CallRequest request = live->request;
    const std::uint64_t sequence = live->sequence;
    const std::uint64_t epoch = this->table->recordOf(slotOf(request.program, slotCount)).epoch;
    const std::uint64_t submission = this->submissions[call];
    const Result<void> allowed = this->owner->beginSend(call, std::to_string(endpoint), this->operatingMode(), now);
    if (!allowed) {
        this->perform(this->owner->refuseReady(call, allowed.error().code, Step::Send, refusalRetryAfter, allowed.error().detail, now));
        return;
    }
    // The process may be paused after beginSend and before the request reaches the network; mayStillSend covers that.
    this->runInProcess(decisionToSendDelay, [this, call, endpoint, request, submission, epoch, sequence]() {
        if (this->owner->mayStillSend(call, this->operatingMode(), this->localNow())) {
            this->sendToEndpoint(call, endpoint, request, submission, epoch, sequence);
            return;
        }
        AttemptFailure failure;
        failure.error = Error{ErrorCode::Cancelled, Step::Send, std::to_string(endpoint), Executed::No, std::nullopt, "the call may no longer be sent"};
        failure.provablyNotSent = true;
        this->perform(this->owner->onAttemptFailed(call, failure, this->localNow()));
    });
}

void SimInstance::sendToEndpoint(CallId call, std::size_t endpoint, CallRequest request, std::uint64_t submission, std::uint64_t epoch, std::uint64_t sequence)
{
    SimEndpoint &state = this->simulation.endpoints[endpoint];
    const auto reportFailure = [this, call, endpoint](Duration delay, bool notSent, ErrorCode code) {
        this->runInProcess(delay, [this, call, endpoint, notSent, code]() {
            AttemptFailure failure;
            failure.error = Error{code, Step::Stream, std::to_string(endpoint), notSent ? Executed::No : Executed::Unknown, std::nullopt, "attempt failed"};
            failure.endpoint = std::to_string(endpoint);
            failure.provablyNotSent = notSent;
            this->simulation.onStep(Step::Stream, this->index);
            if (this->alive) {
                this->perform(this->owner->onAttemptFailed(call, failure, this->localNow()));
            }
        });
    };
    if (state.mode == SimEndpoint::Mode::Dead) {
        reportFailure(networkDelay, true, ErrorCode::EndpointFailed);
        return;
    }
    const std::uint64_t expectedIncarnation = this->incarnation;
    this->simulation.after(networkDelay, [this, call, endpoint, request, submission, epoch, sequence, reportFailure, expectedIncarnation]() {
        SimEndpoint &target = this->simulation.endpoints[endpoint];
        const bool fenced = this->simulation.plan().fencing && request.repeatable && epoch < target.highestEpochs[request.program];
        if (fenced) {
            reportFailure(networkDelay, true, ErrorCode::NotOwner);
            return;
        }
        target.highestEpochs[request.program] = std::max(target.highestEpochs[request.program], epoch);
        target.cachedPrograms.insert(request.program);
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
        const bool malformed = target.mode == SimEndpoint::Mode::MalformedResponse;
        if (slow || malformed) {
            reportFailure(slow ? attemptTimeout : networkDelay, false, slow ? ErrorCode::Timeout : ErrorCode::EndpointGarbled);
            return;
        }
        const Duration serviceTime = this->simulation.between(2000, 60000);
        if (!this->alive || this->incarnation != expectedIncarnation) {
            return;
        }
        this->runInProcess(serviceTime, [this, call, endpoint, request]() {
            CallAnswer answer{statusOk, "text/plain", expectedAnswer(request.program, request.requestId), std::to_string(endpoint)};
            answer.cost = request.reserve;
            this->simulation.onStep(Step::Stream, this->index);
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
        this->connectivity.lastServiceContact = answered ? this->localNow() : this->connectivity.lastServiceContact;
        const BatchResolution resolution = this->journal->onResult(*result);
        for (const CommitId commitId : resolution.committed) {
            this->perform(this->owner->onCommitted(commitId, this->localNow()));
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
        this->runInProcess(resolution.retry ? journalRetryDelay : std::chrono::microseconds(1), [this]() {
            this->writeJournal();
        });
    };
    const std::uint64_t expectedIncarnation = this->incarnation;
    this->simulation.store->call(
        [this, batch, result]() {
            const BatchResult written = this->simulation.store->write(*batch);
            *result = written;
        },
        [this, expectedIncarnation, done](bool answered) {
            if (this->alive && this->incarnation == expectedIncarnation) {
                this->runInProcess(Duration(0), [done, answered]() {
                    done(answered);
                });
            }
        });
}

} // namespace oleandergate::fault
