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
constexpr Duration viewStep = std::chrono::milliseconds(60);
constexpr Duration tickStep = std::chrono::milliseconds(20);
constexpr Duration heartbeatStep = std::chrono::milliseconds(200);
constexpr Duration balancerLag = std::chrono::milliseconds(300);
constexpr Duration peakStep = std::chrono::seconds(4);
constexpr Duration sweepStep = std::chrono::seconds(1);
constexpr Duration listStep = std::chrono::milliseconds(500);
constexpr Duration peakSkew = std::chrono::milliseconds(250);
constexpr int statusOk = 200;
constexpr int renewalsPerLease = 4;

OwnerLimits simLimits()
{
    OwnerLimits limits;
    limits.slotCount = slotCount;
    limits.orderPatience = std::chrono::milliseconds(500);
    limits.intentPatience = std::chrono::milliseconds(700);
    limits.outcomePatience = std::chrono::milliseconds(700);
    limits.retryAfter = std::chrono::milliseconds(100);
    limits.drawShare = 8;
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
    this->peak = std::make_unique<MinutePeak>(peakSkew);
    this->peak->setGrant(PeakGrant{});
    this->grant = PeakGrant{};
    this->reach = ReachView{};
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
    if (this->mutated(static_cast<int>(Mutation::StopAtOnce))) {
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

bool SimInstance::mutated(int mutation) const
{
    return this->simulation.plan().mutation == static_cast<Mutation>(mutation);
}

Time SimInstance::localNow() const
{
    return this->simulation.now() + this->clockOffset;
}

Posture SimInstance::posture() const
{
    const Time now = this->localNow();
    ReachView view = this->reach;
    for (const InstanceRecord &instance : this->table->instances()) {
        if (instance.id == this->id) {
            continue;
        }
        const auto heard = this->peersHeard.find(instance.id);
        view.peersKnown += 1;
        view.peersFresh += heard != this->peersHeard.end() && now <= heard->second + leaseLength ? 1 : 0;
    }
    return judgePosture(view, now);
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
        reply(Error{ErrorCode::NotOwner, Step::Forward, {}, Ran::Unknown, std::chrono::milliseconds(100), "no owner"});
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
            error.ran = Ran::Unknown;
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
    } else if (this->mutated(static_cast<int>(Mutation::SkipOrder)) && command.request.repeatable) {
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
            if (delivery->outcome && this->mutated(static_cast<int>(Mutation::TruncateAnswer)) && !delivery->outcome.value().body.empty()) {
                CallAnswer half = delivery->outcome.value();
                half.body.pop_back();
                give(half);
            } else if (!delivery->outcome && this->mutated(static_cast<int>(Mutation::ClaimNotRun))) {
                Error error = delivery->outcome.error();
                error.ran = Ran::No;
                error.code = ErrorCode::ServiceUnavailable;
                give(error);
            } else {
                give(delivery->outcome);
            }
        } else if (const auto *release = std::get_if<ReleaseAction>(&action)) {
            this->simulation.pass(Step::CacheRelease, this->index);
            if (this->mutated(static_cast<int>(Mutation::KeepCache)) || !this->alive) {
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
        const bool leaving = this->leavingKnown.contains(endpoint) && !this->mutated(static_cast<int>(Mutation::IgnoreLeaving));
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
        const std::optional<Time> chance = this->peak->nextChance(tokens, now);
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
        failure.error = Error{ErrorCode::Cancelled, Step::Send, std::to_string(endpoint), Ran::No, std::nullopt, "no longer to be sent"};
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
            failure.error = Error{code, Step::Stream, std::to_string(endpoint), notSent ? Ran::No : Ran::Unknown, std::nullopt, "attempt failed"};
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
        this->reach.serviceReached = answered ? this->localNow() : this->reach.serviceReached;
        const BatchResolution resolution = this->journal->onResult(*result);
        for (const Ticket ticket : resolution.committed) {
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

void SimInstance::keepLease()
{
    const Time sentAt = this->localNow();
    this->simulation.pass(Step::LeaseRenew, this->index);
    if (!this->alive) {
        return;
    }
    const auto again = [this]() {
        this->keepLease();
    };
    if (this->simulation.now() < this->lapseUntil) {
        this->inProcess(leaseLength / renewalsPerLease, again);
        return;
    }
    const auto held = std::make_shared<bool>(false);
    const bool fresh = !this->announced;
    const InstanceRecord record{this->id, {}, {}, this->stopping};
    const std::uint64_t born = this->incarnation;
    this->simulation.store->call(
        [this, held, fresh, record]() {
            SimStore &store = *this->simulation.store;
            store.expire();
            if (fresh) {
                store.putInstance(record);
            }
            *held = store.renew(record.id);
            if (*held) {
                store.instances[record.id].record.leaving = record.leaving;
            }
        },
        [this, held, sentAt, born](bool answered) {
            if (!this->alive || this->incarnation != born) {
                return;
            }
            this->inProcess(Duration(0), [this, held, sentAt, answered]() {
                if (answered && *held) {
                    this->announced = true;
                    this->reach.leaseConfirmed = std::max(this->reach.leaseConfirmed, sentAt);
                    this->reach.serviceReached = this->localNow();
                } else if (answered) {
                    this->announced = false;
                }
            });
        });
    this->inProcess(leaseLength / renewalsPerLease, again);
}

void SimInstance::readView()
{
    const std::uint64_t born = this->incarnation;
    struct Snapshot
    {
        std::map<SlotId, SlotRecord> slots{};
        std::vector<InstanceRecord> instances{};
        std::uint64_t config = 0;
    };
    const auto snapshot = std::make_shared<Snapshot>();
    this->simulation.pass(Step::ConfigFetch, this->index);
    if (!this->alive) {
        return;
    }
    this->simulation.store->call(
        [this, snapshot]() {
            this->simulation.store->expire();
            snapshot->slots = this->simulation.store->slots;
            snapshot->config = this->simulation.store->config.version;
            for (const auto &[instance, leased] : this->simulation.store->instances) {
                snapshot->instances.push_back(leased.record);
            }
        },
        [this, snapshot, born](bool answered) {
            if (!answered || !this->alive || this->incarnation != born) {
                return;
            }
            this->inProcess(Duration(0), [this, snapshot]() {
                for (const InstanceRecord &known : this->table->instances()) {
                    const bool listed = std::any_of(snapshot->instances.begin(), snapshot->instances.end(), [&known](const InstanceRecord &record) {
                        return record.id == known.id;
                    });
                    if (!listed) {
                        this->table->removeInstance(known.id);
                    }
                }
                for (const InstanceRecord &record : snapshot->instances) {
                    this->table->putInstance(record, this->localNow());
                }
                for (const auto &[slot, record] : snapshot->slots) {
                    this->table->putSlot(slot, record);
                }
                this->offerConfig(snapshot->config);
            });
        });
    if (!this->listStale && this->simulation.now() >= this->listedAt + listStep) {
        this->listedAt = this->simulation.now();
        this->leavingKnown.clear();
        for (std::size_t endpoint = 0; endpoint < this->simulation.endpoints.size(); ++endpoint) {
            if (this->simulation.endpoints[endpoint].leaving) {
                this->leavingKnown.insert(endpoint);
            }
        }
    }
    this->inProcess(viewStep, [this]() {
        this->readView();
    });
}

void SimInstance::offerConfig(std::uint64_t version)
{
    const bool revert = this->mutated(static_cast<int>(Mutation::RevertConfig)) && this->configVersion > 1 && this->simulation.chance(0.01);
    if (revert || isNewerConfig(this->configVersion, version)) {
        this->simulation.pass(Step::ConfigActivate, this->index);
        const std::uint64_t next = revert ? this->configVersion - 1 : version;
        if (next < this->configVersion) {
            this->simulation.recorder.violations.push_back("configuration went back to an older version");
        }
        this->configVersion = next;
    }
}

void SimInstance::keepSlots()
{
    this->inProcess(viewStep, [this]() {
        this->keepSlots();
    });
    if (this->posture() != Posture::Normal) {
        return;
    }
    for (const SlotId slot : this->table->lostAmong(this->owner->ownedSlots())) {
        this->releasing.erase(slot);
        this->journal->closeSlot(slot);
        this->perform(this->owner->dropSlot(slot));
        if (!this->alive) {
            return;
        }
    }
    SimStore &store = *this->simulation.store;
    const std::uint64_t born = this->incarnation;
    const std::vector<SlotMove> moves = this->table->plan(this->localNow());
    std::erase_if(this->releasing, [this, &moves](SlotId slot) {
        const bool stillMoving = std::any_of(moves.begin(), moves.end(), [slot](const SlotMove &move) {
            return move.kind == SlotMove::Kind::Release && move.slot == slot;
        });
        if (!stillMoving) {
            this->owner->resumeSlot(slot);
        }
        return !stillMoving;
    });
    for (const SlotMove &move : moves) {
        const auto succeeded = std::make_shared<bool>(false);
        if (move.kind == SlotMove::Kind::Claim && !this->stopping) {
            this->simulation.pass(Step::SlotClaim, this->index);
            if (!this->alive) {
                return;
            }
            store.call(
                [&store, move, succeeded, this]() {
                    store.expire();
                    *succeeded = store.claim(move.slot, move.seen, this->id);
                },
                [](bool) {});
        } else if (move.kind == SlotMove::Kind::Release && !this->adopting.contains(move.slot)) {
            if (this->releasing.insert(move.slot).second) {
                this->simulation.pass(Step::SlotHandOver, this->index);
                if (!this->alive) {
                    return;
                }
                this->perform(this->owner->quiesceSlot(move.slot, this->localNow()));
            }
            if (!this->alive || !this->owner->isSlotIdle(move.slot)) {
                continue;
            }
            store.call(
                [&store, move, succeeded]() {
                    *succeeded = store.release(move.slot, move.seen);
                },
                [this, move, born](bool answered) {
                    if (!answered || !this->alive || this->incarnation != born) {
                        return;
                    }
                    this->inProcess(Duration(0), [this, move]() {
                        this->releasing.erase(move.slot);
                        this->journal->closeSlot(move.slot);
                        this->perform(this->owner->dropSlot(move.slot));
                    });
                });
        }
    }
    for (SlotId slot = 0; slot < slotCount; ++slot) {
        const SlotRecord &record = this->table->recordOf(slot);
        if (record.owner == this->id && !this->owner->ownsSlot(slot) && !this->stopping && this->adopting.insert(slot).second) {
            this->adopt(slot, record);
        }
    }
    if (this->stopping && this->owner->ownedSlots().empty() && this->owner->liveCallCount() == 0 && this->forwards.empty()
        && this->simulation.now() >= this->stopsAfter) {
        this->simulation.pass(Step::Stop, this->index);
        if (this->alive) {
            store.removeInstance(this->id);
            const Time now = this->localNow();
            store.peak = store.peak.returned(this->id, this->peak->usedAround(now), minuteOf(now));
            store.peakRevision += 1;
            this->kill();
            this->stoppedAsPlanned = this->id;
        }
    }
}

void SimInstance::adopt(SlotId slot, const SlotRecord &record)
{
    const std::uint64_t born = this->incarnation;
    const auto log = std::make_shared<std::vector<StoredRecord>>();
    const auto current = std::make_shared<bool>(false);
    this->simulation.pass(Step::SlotRecover, this->index);
    if (!this->alive) {
        return;
    }
    this->simulation.store->call(
        [this, slot, log, current, record]() {
            *current = this->simulation.store->slots[slot].revision == record.revision;
            *log = this->simulation.store->readLog(slot);
        },
        [this, slot, record, log, current, born](bool answered) {
            if (!this->alive || this->incarnation != born) {
                return;
            }
            this->inProcess(Duration(0), [this, slot, record, log, current, answered]() {
                this->adopting.erase(slot);
                if (!answered || !*current) {
                    return;
                }
                if (this->mutated(static_cast<int>(Mutation::LoseHistory)) && !log->empty()) {
                    log->pop_back();
                }
                std::map<ProgramId, ProgramState> programs;
                for (const StoredRecord &stored : *log) {
                    for (const JournalEntry &entry : stored.entries) {
                        if (const auto *created = std::get_if<ProgramCreated>(&entry)) {
                            programs.emplace(created->spec.id, ProgramState(created->spec));
                            continue;
                        }
                        const bool forgotten = (this->mutated(static_cast<int>(Mutation::ForgetBudget)) && std::holds_alternative<BudgetDrawn>(entry))
                            || (this->mutated(static_cast<int>(Mutation::ForgetIntents)) && std::holds_alternative<CallIntent>(entry));
                        const auto program = programs.find(programOf(entry));
                        if (program != programs.end() && !forgotten) {
                            program->second.apply(entry);
                        }
                    }
                }
                std::vector<ProgramState> recovered;
                for (auto &[id, program] : programs) {
                    recovered.push_back(std::move(program));
                }
                if (this->mutated(static_cast<int>(Mutation::MixHistory)) && recovered.size() > 1) {
                    std::swap(recovered[0].turns, recovered[1].turns);
                    recovered[0].rebuildIndex();
                    recovered[1].rebuildIndex();
                }
                this->journal->openSlot(slot, record.revision, log->size() + 1);
                this->perform(this->owner->adoptSlot(slot, std::move(recovered), this->localNow()));
            });
        });
}

void SimInstance::heartbeat()
{
    this->simulation.pass(Step::Heartbeat, this->index);
    if (!this->alive) {
        return;
    }
    const Duration ago = this->localNow() - this->reach.serviceReached;
    for (const auto &peer : this->simulation.instances) {
        const bool cut = this->simulation.now() < std::max(this->cutUntil, peer->cutUntil);
        if (peer.get() == this || !peer->alive || cut || this->simulation.chance(0.05)) {
            continue;
        }
        SimInstance *target = peer.get();
        target->inProcess(hop, [target, ago, sender = this->id]() {
            target->peersHeard[sender] = target->localNow();
            target->reach.peerReachedService = std::max(target->reach.peerReachedService, target->localNow() - ago);
        });
    }
    this->inProcess(heartbeatStep, [this]() {
        this->heartbeat();
    });
}

void SimInstance::tickOwner()
{
    this->perform(this->owner->tick(this->posture(), this->localNow()));
    if (this->alive) {
        this->inProcess(tickStep, [this]() {
            this->tickOwner();
        });
    }
}

void SimInstance::keepPeak()
{
    struct Reading
    {
        PeakLedger ledger{};
        std::uint64_t revision = 0;
        bool written = false;
    };
    this->simulation.pass(Step::PeakGrant, this->index);
    if (!this->alive) {
        return;
    }
    const auto reading = std::make_shared<Reading>();
    const auto again = [this]() {
        this->keepPeak();
    };
    SimStore &store = *this->simulation.store;
    const std::uint64_t born = this->incarnation;
    const auto apply = [this, reading, &store, born, again]() {
        const Time now = this->localNow();
        const auto held = reading->ledger.grants.find(this->id);
        if (held != reading->ledger.grants.end()) {
            this->grant = held->second;
        }
        PeakRenewal renewal{
            this->id, this->peak->demandAt(now), this->peak->usedAround(now), {this->id}, peakCap, this->peak->earliestMinute(now), minuteOf(now)};
        for (const InstanceRecord &instance : this->table->instances()) {
            renewal.live.insert(instance.id);
        }
        const PeakLedger next = reading->ledger.renewed(renewal);
        const PeakGrant wanted = next.grants.at(this->id);
        this->grant = this->mutated(static_cast<int>(Mutation::OverGrant)) ? PeakGrant{peakCap, wanted.through} : this->grant.restrictedBy(wanted);
        this->peak->setGrant(this->grant);
        store.call(
            [&store, reading, next]() {
                reading->written = store.peakRevision == reading->revision;
                if (reading->written) {
                    store.peak = next;
                    store.peakRevision += 1;
                }
            },
            [this, reading, wanted, born, again](bool answered) {
                if (!this->alive || this->incarnation != born) {
                    return;
                }
                const bool won = answered && reading->written;
                this->inProcess(Duration(0), [this, wanted, won]() {
                    if (won) {
                        this->grant = wanted;
                        this->peak->setGrant(wanted);
                    }
                });
                this->inProcess(won ? peakStep : this->simulation.between(5000, 60000), again);
            });
    };
    store.call(
        [&store, reading]() {
            reading->ledger = store.peak;
            reading->revision = store.peakRevision;
        },
        [this, apply, born, again](bool answered) {
            if (!this->alive || this->incarnation != born) {
                return;
            }
            this->inProcess(answered ? Duration(0) : std::chrono::milliseconds(200), answered ? std::function<void()>(apply) : std::function<void()>(again));
        });
}

void SimInstance::sweep()
{
    for (SimEndpoint &endpoint : this->simulation.endpoints) {
        std::erase_if(endpoint.held, [this](const ProgramId &program) {
            return !this->mutated(static_cast<int>(Mutation::KeepCache)) && this->owner->isProgramGone(program);
        });
    }
    this->inProcess(sweepStep, [this]() {
        this->sweep();
    });
}

} // namespace oleandergate::fault
