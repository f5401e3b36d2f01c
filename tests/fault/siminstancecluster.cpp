#include "decision/hash.h"
#include "fault/siminstance.h"
#include "fault/simulation.h"

#include <algorithm>

namespace oleandergate::fault {

namespace {

constexpr Duration networkDelay = std::chrono::milliseconds(1); // one way
constexpr Duration stateReadInterval = std::chrono::milliseconds(60);
constexpr Duration tickInterval = std::chrono::milliseconds(20);
constexpr Duration heartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration peakRenewalInterval = std::chrono::seconds(4);
constexpr Duration sweepInterval = std::chrono::seconds(1);
constexpr Duration endpointListInterval = std::chrono::milliseconds(500);
constexpr Duration ledgerRetryDelay = std::chrono::milliseconds(200);
constexpr int renewalsPerLease = 4;
constexpr double heartbeatLossProbability = 0.05;
constexpr double configRevertProbability = 0.01; // of Mutation::RevertConfig, at each read of the configuration

} // namespace

void SimInstance::renewLease()
{
    const Time sentAt = this->localNow();
    this->simulation.onStep(Step::LeaseRenew, this->index);
    if (!this->alive) {
        return;
    }
    const auto repeat = [this]() {
        this->renewLease();
    };
    if (this->simulation.now() < this->renewalsLostUntil) {
        this->runInProcess(leaseLength / renewalsPerLease, repeat);
        return;
    }
    const auto leaseRenewed = std::make_shared<bool>(false);
    const bool registering = !this->registered;
    const InstanceRecord record{this->id, {}, {}, this->stopping};
    const std::uint64_t expectedIncarnation = this->incarnation;
    this->simulation.store->call(
        [this, leaseRenewed, registering, record]() {
            SimStore &store = *this->simulation.store;
            store.removeExpired();
            if (registering) {
                store.putInstance(record);
            }
            *leaseRenewed = store.renew(record.id);
            if (*leaseRenewed) {
                store.instances[record.id].record.leaving = record.leaving;
            }
        },
        [this, leaseRenewed, sentAt, expectedIncarnation](bool answered) {
            if (!this->alive || this->incarnation != expectedIncarnation) {
                return;
            }
            this->runInProcess(Duration(0), [this, leaseRenewed, sentAt, answered]() {
                if (answered && *leaseRenewed) {
                    this->registered = true;
                    this->connectivity.leaseConfirmed = std::max(this->connectivity.leaseConfirmed, sentAt);
                    this->connectivity.lastServiceContact = this->localNow();
                } else if (answered) {
                    this->registered = false;
                }
            });
        });
    this->runInProcess(leaseLength / renewalsPerLease, repeat);
}

void SimInstance::readClusterState()
{
    const std::uint64_t expectedIncarnation = this->incarnation;
    struct Snapshot
    {
        std::map<SlotId, SlotRecord> slots{};
        std::vector<InstanceRecord> instances{};
        std::uint64_t config = 0;
    };
    const auto snapshot = std::make_shared<Snapshot>();
    this->simulation.onStep(Step::ConfigFetch, this->index);
    if (!this->alive) {
        return;
    }
    this->simulation.store->call(
        [this, snapshot]() {
            this->simulation.store->removeExpired();
            snapshot->slots = this->simulation.store->slots;
            snapshot->config = this->simulation.store->config.version;
            for (const auto &[instance, leased] : this->simulation.store->instances) {
                snapshot->instances.push_back(leased.record);
            }
        },
        [this, snapshot, expectedIncarnation](bool answered) {
            if (!answered || !this->alive || this->incarnation != expectedIncarnation) {
                return;
            }
            this->runInProcess(Duration(0), [this, snapshot]() {
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
                this->activateConfigIfNewer(snapshot->config);
            });
        });
    if (!this->endpointListStale && this->simulation.now() >= this->endpointListReadAt + endpointListInterval) {
        this->endpointListReadAt = this->simulation.now();
        this->knownLeavingEndpoints.clear();
        for (std::size_t endpoint = 0; endpoint < this->simulation.endpoints.size(); ++endpoint) {
            if (this->simulation.endpoints[endpoint].leaving) {
                this->knownLeavingEndpoints.insert(endpoint);
            }
        }
    }
    this->runInProcess(stateReadInterval, [this]() {
        this->readClusterState();
    });
}

void SimInstance::activateConfigIfNewer(std::uint64_t version)
{
    const bool revert = this->hasMutation(Mutation::RevertConfig) && this->configVersion > 1 && this->simulation.chance(configRevertProbability);
    if (revert || isNewerConfig(this->configVersion, version)) {
        this->simulation.onStep(Step::ConfigActivate, this->index);
        const std::uint64_t next = revert ? this->configVersion - 1 : version;
        if (next < this->configVersion) {
            this->simulation.recorder.violations.push_back("configuration: an instance activated an older version");
        }
        this->configVersion = next;
    }
}

void SimInstance::maintainSlots()
{
    this->runInProcess(stateReadInterval, [this]() {
        this->maintainSlots();
    });
    if (this->operatingMode() != OperatingMode::Normal) {
        return;
    }
    for (const SlotId slot : this->table->lostAmong(this->owner->ownedSlots())) {
        this->releasingSlots.erase(slot);
        this->journal->closeSlot(slot);
        this->perform(this->owner->dropSlot(slot));
        if (!this->alive) {
            return;
        }
    }
    SimStore &store = *this->simulation.store;
    const std::uint64_t expectedIncarnation = this->incarnation;
    const std::vector<SlotMove> moves = this->table->plan(this->localNow());
    std::erase_if(this->releasingSlots, [this, &moves](SlotId slot) {
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
            this->simulation.onStep(Step::SlotClaim, this->index);
            if (!this->alive) {
                return;
            }
            store.call(
                [&store, move, succeeded, this]() {
                    store.removeExpired();
                    *succeeded = store.claim(move.slot, move.expected, this->id);
                },
                [](bool) {});
        } else if (move.kind == SlotMove::Kind::Release && !this->recoveringSlots.contains(move.slot)) {
            if (this->releasingSlots.insert(move.slot).second) {
                this->simulation.onStep(Step::SlotHandOver, this->index);
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
                [this, move, expectedIncarnation](bool answered) {
                    if (!answered || !this->alive || this->incarnation != expectedIncarnation) {
                        return;
                    }
                    this->runInProcess(Duration(0), [this, move]() {
                        this->releasingSlots.erase(move.slot);
                        this->journal->closeSlot(move.slot);
                        this->perform(this->owner->dropSlot(move.slot));
                    });
                });
        }
    }
    for (SlotId slot = 0; slot < slotCount; ++slot) {
        const SlotRecord &record = this->table->recordOf(slot);
        if (record.owner == this->id && !this->owner->ownsSlot(slot) && !this->stopping && this->recoveringSlots.insert(slot).second) {
            this->recoverSlot(slot, record);
        }
    }
    if (this->stopping && this->owner->ownedSlots().empty() && this->owner->liveCallCount() == 0 && this->forwards.empty()
        && this->simulation.now() >= this->mayStopAt) {
        this->simulation.onStep(Step::Stop, this->index);
        if (this->alive) {
            store.removeInstance(this->id);
            const Time now = this->localNow();
            store.peak = store.peak.returned(this->id, this->peakLimiter->maxRecentUse(now), minuteOf(now));
            store.peakRevision += 1;
            this->kill();
            this->stoppedProcess = this->id;
        }
    }
}

void SimInstance::recoverSlot(SlotId slot, const SlotRecord &record)
{
    const std::uint64_t expectedIncarnation = this->incarnation;
    const auto log = std::make_shared<std::vector<StoredRecord>>();
    const auto revisionUnchanged = std::make_shared<bool>(false);
    this->simulation.onStep(Step::SlotRecover, this->index);
    if (!this->alive) {
        return;
    }
    this->simulation.store->call(
        [this, slot, log, revisionUnchanged, record]() {
            *revisionUnchanged = this->simulation.store->slots[slot].revision == record.revision;
            *log = this->simulation.store->readLog(slot);
        },
        [this, slot, record, log, revisionUnchanged, expectedIncarnation](bool answered) {
            if (!this->alive || this->incarnation != expectedIncarnation) {
                return;
            }
            this->runInProcess(Duration(0), [this, slot, record, log, revisionUnchanged, answered]() {
                this->recoveringSlots.erase(slot);
                if (!answered || !*revisionUnchanged) {
                    return;
                }
                if (this->hasMutation(Mutation::LoseHistory) && !log->empty()) {
                    log->pop_back();
                }
                std::map<ProgramId, ProgramState> programs;
                for (const StoredRecord &stored : *log) {
                    for (const JournalEntry &entry : stored.entries) {
                        if (const auto *created = std::get_if<ProgramCreated>(&entry)) {
                            programs.emplace(created->spec.id, ProgramState(created->spec));
                            continue;
                        }
                        const bool omitted = (this->hasMutation(Mutation::ForgetBudget) && std::holds_alternative<BudgetDrawn>(entry))
                            || (this->hasMutation(Mutation::ForgetIntents) && std::holds_alternative<CallIntent>(entry));
                        const auto program = programs.find(programOf(entry));
                        if (program != programs.end() && !omitted) {
                            program->second.apply(entry);
                        }
                    }
                }
                std::vector<ProgramState> recovered;
                recovered.reserve(programs.size());
                for (auto &[id, program] : programs) {
                    recovered.push_back(std::move(program));
                }
                if (this->hasMutation(Mutation::MixHistory) && recovered.size() > 1) {
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
    this->simulation.onStep(Step::Heartbeat, this->index);
    if (!this->alive) {
        return;
    }
    const Duration contactAge = this->localNow() - this->connectivity.lastServiceContact;
    for (const auto &peer : this->simulation.instances) {
        const bool disconnected = this->simulation.now() < std::max(this->disconnectedUntil, peer->disconnectedUntil);
        if (peer.get() == this || !peer->alive || disconnected || this->simulation.chance(heartbeatLossProbability)) {
            continue;
        }
        SimInstance *target = peer.get();
        target->runInProcess(networkDelay, [target, contactAge, sender = this->id]() {
            target->lastPeerContact[sender] = target->localNow();
            target->connectivity.lastPeerServiceContact = std::max(target->connectivity.lastPeerServiceContact, target->localNow() - contactAge);
        });
    }
    this->runInProcess(heartbeatInterval, [this]() {
        this->heartbeat();
    });
}

void SimInstance::tickOwner()
{
    this->perform(this->owner->tick(this->operatingMode(), this->localNow()));
    if (this->alive) {
        this->runInProcess(tickInterval, [this]() {
            this->tickOwner();
        });
    }
}

void SimInstance::renewPeakGrant()
{
    struct Reading
    {
        PeakLedger ledger{};
        std::uint64_t revision = 0;
        bool written = false;
    };
    this->simulation.onStep(Step::PeakGrant, this->index);
    if (!this->alive) {
        return;
    }
    const auto reading = std::make_shared<Reading>();
    const auto repeat = [this]() {
        this->renewPeakGrant();
    };
    SimStore &store = *this->simulation.store;
    const std::uint64_t expectedIncarnation = this->incarnation;
    const auto apply = [this, reading, &store, expectedIncarnation, repeat]() {
        const Time now = this->localNow();
        const auto recorded = reading->ledger.grants.find(this->id);
        if (recorded != reading->ledger.grants.end()) {
            this->grant = recorded->second;
        }
        PeakRenewal renewal{this->id,
                            this->peakLimiter->demandAt(now),
                            this->peakLimiter->maxRecentUse(now),
                            {this->id},
                            peakCap,
                            this->peakLimiter->earliestMinute(now),
                            minuteOf(now)};
        for (const InstanceRecord &instance : this->table->instances()) {
            renewal.live.insert(instance.id);
        }
        const PeakLedger next = reading->ledger.renewed(renewal);
        const PeakGrant renewedGrant = next.grants.at(this->id);
        this->grant = this->hasMutation(Mutation::OverGrant) ? PeakGrant{peakCap, renewedGrant.through} : this->grant.restrictedBy(renewedGrant);
        this->peakLimiter->setGrant(this->grant);
        store.call(
            [&store, reading, next]() {
                reading->written = store.peakRevision == reading->revision;
                if (reading->written) {
                    store.peak = next;
                    store.peakRevision += 1;
                }
            },
            [this, reading, renewedGrant, expectedIncarnation, repeat](bool answered) {
                if (!this->alive || this->incarnation != expectedIncarnation) {
                    return;
                }
                const bool confirmed = answered && reading->written;
                this->runInProcess(Duration(0), [this, renewedGrant, confirmed]() {
                    if (confirmed) {
                        this->grant = renewedGrant;
                        this->peakLimiter->setGrant(renewedGrant);
                    }
                });
                this->runInProcess(confirmed ? peakRenewalInterval : this->simulation.between(5000, 60000), repeat);
            });
    };
    store.call(
        [&store, reading]() {
            reading->ledger = store.peak;
            reading->revision = store.peakRevision;
        },
        [this, apply, expectedIncarnation, repeat](bool answered) {
            if (!this->alive || this->incarnation != expectedIncarnation) {
                return;
            }
            this->runInProcess(answered ? Duration(0) : ledgerRetryDelay, answered ? std::function<void()>(apply) : std::function<void()>(repeat));
        });
}

void SimInstance::sweepCaches()
{
    for (SimEndpoint &endpoint : this->simulation.endpoints) {
        std::erase_if(endpoint.cachedPrograms, [this](const ProgramId &program) {
            return !this->hasMutation(Mutation::KeepCache) && this->owner->isProgramGone(program);
        });
    }
    this->runInProcess(sweepInterval, [this]() {
        this->sweepCaches();
    });
}

} // namespace oleandergate::fault
