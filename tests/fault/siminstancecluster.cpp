#include "decision/hash.h"
#include "fault/siminstance.h"
#include "fault/simulation.h"

#include <algorithm>

namespace oleandergate::fault {

namespace {

constexpr Duration hop = std::chrono::milliseconds(1);
constexpr Duration viewStep = std::chrono::milliseconds(60);
constexpr Duration tickStep = std::chrono::milliseconds(20);
constexpr Duration heartbeatStep = std::chrono::milliseconds(200);
constexpr Duration peakStep = std::chrono::seconds(4);
constexpr Duration sweepStep = std::chrono::seconds(1);
constexpr Duration listStep = std::chrono::milliseconds(500);
constexpr int renewalsPerLease = 4;

} // namespace

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
                    this->reach.lastServiceContact = this->localNow();
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
    const bool revert = this->mutated(Mutation::RevertConfig) && this->configVersion > 1 && this->simulation.chance(0.01);
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
    if (this->posture() != OperatingMode::Normal) {
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
                    *succeeded = store.claim(move.slot, move.expected, this->id);
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
                    *succeeded = store.release(move.slot, move.expected);
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
            store.peak = store.peak.returned(this->id, this->peak->maxRecentUse(now), minuteOf(now));
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
                if (this->mutated(Mutation::LoseHistory) && !log->empty()) {
                    log->pop_back();
                }
                std::map<ProgramId, ProgramState> programs;
                for (const StoredRecord &stored : *log) {
                    for (const JournalEntry &entry : stored.entries) {
                        if (const auto *created = std::get_if<ProgramCreated>(&entry)) {
                            programs.emplace(created->spec.id, ProgramState(created->spec));
                            continue;
                        }
                        const bool forgotten = (this->mutated(Mutation::ForgetBudget) && std::holds_alternative<BudgetDrawn>(entry))
                            || (this->mutated(Mutation::ForgetIntents) && std::holds_alternative<CallIntent>(entry));
                        const auto program = programs.find(programOf(entry));
                        if (program != programs.end() && !forgotten) {
                            program->second.apply(entry);
                        }
                    }
                }
                std::vector<ProgramState> recovered;
                recovered.reserve(programs.size());
                for (auto &[id, program] : programs) {
                    recovered.push_back(std::move(program));
                }
                if (this->mutated(Mutation::MixHistory) && recovered.size() > 1) {
                    std::swap(recovered[0].turns, recovered[1].turns);
                    recovered[0].rebuildIndex();
                    recovered[1].rebuildIndex();
                }
                this->journal->openSlot(slot, record.revision, log->size() + 1);
                this->perform(this->owner->acquireSlot(slot, std::move(recovered), this->localNow()));
            });
        });
}

void SimInstance::heartbeat()
{
    this->simulation.pass(Step::Heartbeat, this->index);
    if (!this->alive) {
        return;
    }
    const Duration ago = this->localNow() - this->reach.lastServiceContact;
    for (const auto &peer : this->simulation.instances) {
        const bool cut = this->simulation.now() < std::max(this->cutUntil, peer->cutUntil);
        if (peer.get() == this || !peer->alive || cut || this->simulation.chance(0.05)) {
            continue;
        }
        SimInstance *target = peer.get();
        target->inProcess(hop, [target, ago, sender = this->id]() {
            target->peersHeard[sender] = target->localNow();
            target->reach.lastPeerServiceContact = std::max(target->reach.lastPeerServiceContact, target->localNow() - ago);
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
            this->id, this->peak->demandAt(now), this->peak->maxRecentUse(now), {this->id}, peakCap, this->peak->earliestMinute(now), minuteOf(now)};
        for (const InstanceRecord &instance : this->table->instances()) {
            renewal.live.insert(instance.id);
        }
        const PeakLedger next = reading->ledger.renewed(renewal);
        const PeakGrant wanted = next.grants.at(this->id);
        this->grant = this->mutated(Mutation::OverGrant) ? PeakGrant{peakCap, wanted.through} : this->grant.restrictedBy(wanted);
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
            return !this->mutated(Mutation::KeepCache) && this->owner->isProgramGone(program);
        });
    }
    this->inProcess(sweepStep, [this]() {
        this->sweep();
    });
}

} // namespace oleandergate::fault
