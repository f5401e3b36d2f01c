#include "runtime/programservice.h"

#include "decision/hash.h"
#include "runtime/clock.h"
#include "runtime/eventlog.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <map>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Minimum number of log records after which a checkpoint replaces them. If the latest checkpoint holds more turns, the next one waits
//! for as many records, so that rewriting complete histories stays a constant share of the writes.
constexpr std::uint64_t minRecordsPerCheckpoint = 256;

//! Journal writes that an instance may do at once after a period without writes.
constexpr double maxWriteBurst = 40.0;

constexpr Duration maxIdleWait = std::chrono::milliseconds(200);
constexpr Duration journalRetryDelay = std::chrono::milliseconds(50);
constexpr Duration timerInterval = std::chrono::milliseconds(20);

} // namespace

struct ProgramService::Shard
{
    Shard(asio::io_context &context, const OwnerLimits &limits, const std::string &writer, std::size_t index)
        : index(index)
        , owner(limits)
        , journal(writer + "/" + std::to_string(index))
        , strand(asio::make_strand(context))
    {
    }

    std::size_t index;
    std::mutex mutex{};
    ProgramOwner owner;
    GroupCommit journal;
    std::map<CallId, std::shared_ptr<AnswerChannel>> channels{};
    std::map<SlotId, RecoveredSlot> checkpoints{}; //!< Each slot's latest checkpoint, without its programs.
    asio::strand<asio::io_context::executor_type> strand;
    AsyncSignal journalWork{};
};

ProgramService::ProgramService(asio::io_context &context,
                               JournalStore &store,
                               const OwnerLimits &limits,
                               std::size_t shardCount,
                               std::string writer,
                               OperatingModeSource operatingMode,
                               EventLog &events,
                               Metrics &metrics)
    : context(context)
    , store(store)
    , limits(limits)
    , operatingMode(std::move(operatingMode))
    , events(events)
    , metrics(metrics)
    , journalSeconds(metrics.histogram("oleandergate_journal_write_seconds"))
{
    for (std::size_t index = 0; index < shardCount; ++index) {
        this->shards.push_back(std::make_unique<Shard>(context, limits, writer, index));
    }
}

ProgramService::~ProgramService() = default;

void ProgramService::setReadyCallHandler(ReadyCallHandler &newHandler)
{
    this->readyCallHandler = &newHandler;
}

void ProgramService::setWriteRateLimit(double clusterWritesPerSecond, InstanceCount newInstances)
{
    this->writeBudget.emplace(clusterWritesPerSecond, maxWriteBurst);
    this->instances = std::move(newInstances);
}

asio::awaitable<void> ProgramService::awaitWriteBudget()
{
    if (!this->writeBudget) {
        co_return;
    }
    const std::size_t count = this->instances();
    Duration wait{0};
    {
        const std::lock_guard lock(this->budgetMutex);
        wait = this->writeBudget->reserve(count, currentTime());
    }
    if (wait > Duration(0)) {
        co_await sleepFor(wait);
    }
}

void ProgramService::start()
{
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        asio::co_spawn(shard->strand, this->writeJournal(*shard), asio::detached);
        asio::co_spawn(asio::make_strand(this->context), this->runTimers(*shard), asio::detached);
    }
}

ProgramService::Shard &ProgramService::shardOfSlot(SlotId slot)
{
    return *this->shards[slot % this->shards.size()];
}

ProgramService::Shard &ProgramService::shardOfProgram(const ProgramId &program)
{
    return this->shardOfSlot(slotOf(program, this->limits.slotCount));
}

ProgramService::Shard &ProgramService::shardOfCall(CallId call)
{
    return *this->shards[call % this->shards.size()];
}

CallId ProgramService::newCall(Shard &shard)
{
    return this->nextCall.fetch_add(1) * this->shards.size() + shard.index;
}

std::shared_ptr<AnswerChannel> ProgramService::submit(const CallRequest &request)
{
    Shard &shard = this->shardOfProgram(request.program);
    const CallId call = this->newCall(shard);
    auto channel = std::make_shared<AnswerChannel>();
    const Time now = currentTime();
    this->events.record(Step::Admit, request.program, request.requestId, request.branch + "#" + std::to_string(request.sequence));
    std::unique_lock lock(shard.mutex);
    shard.channels[call] = channel;
    Actions actions = shard.owner.submit(call, request, this->operatingMode(now), now);
    this->performActions(shard, std::move(lock), std::move(actions));
    return channel;
}

std::shared_ptr<AnswerChannel> ProgramService::create(const ProgramSpec &spec)
{
    Shard &shard = this->shardOfProgram(spec.id);
    const CallId call = this->newCall(shard);
    auto channel = std::make_shared<AnswerChannel>();
    const Time now = currentTime();
    this->events.record(Step::ProgramCreate, spec.id, {}, spec.organisation + "/" + spec.kind);
    std::unique_lock lock(shard.mutex);
    shard.channels[call] = channel;
    Actions actions = shard.owner.createProgram(call, spec, this->operatingMode(now), now);
    this->performActions(shard, std::move(lock), std::move(actions));
    return channel;
}

std::shared_ptr<AnswerChannel> ProgramService::end(const ProgramId &program, const OrganisationId &organisation, ProgramPhase phase)
{
    Shard &shard = this->shardOfProgram(program);
    const CallId call = this->newCall(shard);
    auto channel = std::make_shared<AnswerChannel>();
    const Time now = currentTime();
    this->events.record(Step::ProgramEnd, program, {}, std::string(nameIn(programPhaseNames, phase)));
    std::unique_lock lock(shard.mutex);
    shard.channels[call] = channel;
    Actions actions = shard.owner.endProgram(call, program, organisation, phase, this->operatingMode(now), now);
    this->performActions(shard, std::move(lock), std::move(actions));
    return channel;
}

Result<void> ProgramService::beginSend(CallId call, const EndpointId &endpoint)
{
    Shard &shard = this->shardOfCall(call);
    const Time now = currentTime();
    const std::lock_guard lock(shard.mutex);
    return shard.owner.beginSend(call, endpoint, this->operatingMode(now), now);
}

bool ProgramService::mayStillSend(CallId call)
{
    Shard &shard = this->shardOfCall(call);
    const Time now = currentTime();
    const std::lock_guard lock(shard.mutex);
    return shard.owner.mayStillSend(call, this->operatingMode(now), now);
}

void ProgramService::push(CallId call, const std::string &text)
{
    Shard &shard = this->shardOfCall(call);
    std::shared_ptr<AnswerChannel> channel;
    {
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.channels.find(call);
        if (found != shard.channels.end()) {
            channel = found->second;
        }
    }
    if (channel) {
        channel->push(text);
    }
}

void ProgramService::onAnswer(CallId call, CallAnswer answer)
{
    Shard &shard = this->shardOfCall(call);
    std::unique_lock lock(shard.mutex);
    Actions actions = shard.owner.onAnswer(call, std::move(answer), currentTime());
    this->performActions(shard, std::move(lock), std::move(actions));
}

bool ProgramService::onAttemptFailed(CallId call, const AttemptFailure &failure)
{
    Shard &shard = this->shardOfCall(call);
    std::unique_lock lock(shard.mutex);
    Actions actions = shard.owner.onAttemptFailed(call, failure, currentTime());
    const bool willRetry = std::any_of(actions.begin(), actions.end(), [call](const Action &action) {
        const auto *ready = std::get_if<ReadyAction>(&action);
        return ready != nullptr && ready->call == call;
    });
    this->performActions(shard, std::move(lock), std::move(actions));
    return willRetry;
}

bool ProgramService::beginInterrupt(CallId call)
{
    Shard &shard = this->shardOfCall(call);
    const std::lock_guard lock(shard.mutex);
    return shard.owner.beginInterrupt(call);
}

bool ProgramService::onInterrupted(CallId call)
{
    Shard &shard = this->shardOfCall(call);
    const std::lock_guard lock(shard.mutex);
    return shard.owner.onInterrupted(call, currentTime());
}

void ProgramService::refuseReady(CallId call, const Error &error)
{
    Shard &shard = this->shardOfCall(call);
    std::unique_lock lock(shard.mutex);
    Actions actions = shard.owner.refuseReady(call, error.code, error.step, error.retryAfter, error.detail, currentTime());
    this->performActions(shard, std::move(lock), std::move(actions));
}

void ProgramService::onOutcomeFound(const ProgramId &program, const RequestId &requestId, CallAnswer answer)
{
    Shard &shard = this->shardOfProgram(program);
    this->events.record(Step::JournalOutcome, program, requestId, "outcome reported by the service");
    std::unique_lock lock(shard.mutex);
    Actions actions = shard.owner.onOutcomeFound(program, requestId, std::move(answer), currentTime());
    this->performActions(shard, std::move(lock), std::move(actions));
}

void ProgramService::acquireSlot(SlotId slot, std::uint64_t revision, RecoveredSlot recovered)
{
    Shard &shard = this->shardOfSlot(slot);
    std::unique_lock lock(shard.mutex);
    shard.journal.openSlot(slot, revision, recovered.nextNumber);
    shard.checkpoints[slot] = RecoveredSlot{{}, recovered.nextNumber, recovered.generation};
    Actions actions = shard.owner.acquireSlot(slot, std::move(recovered.programs), currentTime());
    this->performActions(shard, std::move(lock), std::move(actions));
}

void ProgramService::quiesceSlot(SlotId slot)
{
    Shard &shard = this->shardOfSlot(slot);
    std::unique_lock lock(shard.mutex);
    Actions actions = shard.owner.quiesceSlot(slot, currentTime());
    this->performActions(shard, std::move(lock), std::move(actions));
}

void ProgramService::resumeSlot(SlotId slot)
{
    Shard &shard = this->shardOfSlot(slot);
    const std::lock_guard lock(shard.mutex);
    shard.owner.resumeSlot(slot);
}

bool ProgramService::isSlotIdle(SlotId slot)
{
    Shard &shard = this->shardOfSlot(slot);
    const std::lock_guard lock(shard.mutex);
    return shard.owner.isSlotIdle(slot);
}

void ProgramService::dropSlot(SlotId slot)
{
    Shard &shard = this->shardOfSlot(slot);
    std::unique_lock lock(shard.mutex);
    shard.journal.closeSlot(slot);
    shard.checkpoints.erase(slot);
    Actions actions = shard.owner.dropSlot(slot);
    this->performActions(shard, std::move(lock), std::move(actions));
}

bool ProgramService::ownsSlot(SlotId slot)
{
    Shard &shard = this->shardOfSlot(slot);
    const std::lock_guard lock(shard.mutex);
    return shard.owner.ownsSlot(slot);
}

std::vector<SlotId> ProgramService::ownedSlots()
{
    std::vector<SlotId> owned;
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        const std::vector<SlotId> part = shard->owner.ownedSlots();
        owned.insert(owned.end(), part.begin(), part.end());
    }
    return owned;
}

std::vector<ProgramId> ProgramService::filterGonePrograms(const std::vector<ProgramId> &programs)
{
    std::vector<ProgramId> gone;
    for (const ProgramId &program : programs) {
        Shard &shard = this->shardOfProgram(program);
        const std::lock_guard lock(shard.mutex);
        if (shard.owner.isProgramGone(program)) {
            gone.push_back(program);
        }
    }
    return gone;
}

std::optional<ProgramState> ProgramService::findProgram(const ProgramId &program)
{
    Shard &shard = this->shardOfProgram(program);
    const std::lock_guard lock(shard.mutex);
    const ProgramState *state = shard.owner.findProgram(program);
    return state == nullptr ? std::nullopt : std::optional(*state);
}

void ProgramService::forEachProgram(const std::function<void(const ProgramState &)> &visitor)
{
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        for (const SlotId slot : shard->owner.ownedSlots()) {
            shard->owner.forEachProgram(slot, visitor);
        }
    }
}

std::size_t ProgramService::liveCallCount()
{
    std::size_t count = 0;
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        count += shard->owner.liveCallCount();
    }
    return count;
}

void ProgramService::performActions(Shard &shard, std::unique_lock<std::mutex> lock, Actions actions)
{
    struct Delivery
    {
        std::shared_ptr<AnswerChannel> channel{};
        Result<CallAnswer> outcome;
    };
    struct ReadyCall
    {
        LiveCall call{};
        ProgramSpec spec{};
    };
    std::vector<Delivery> deliveries;
    std::vector<ReadyCall> ready;
    std::vector<CallId> aborts;
    std::vector<ReleaseCacheAction> releases;
    std::vector<QueryOutcomeAction> outcomeQueries;
    bool journalWork = false;
    for (Action &action : actions) {
        if (auto *commit = std::get_if<CommitAction>(&action)) {
            journalWork = shard.journal.add(std::move(*commit)) || journalWork;
        } else if (const auto *readyAction = std::get_if<ReadyAction>(&action)) {
            const LiveCall *call = shard.owner.findCall(readyAction->call);
            if (call != nullptr) {
                ready.push_back(ReadyCall{*call, shard.owner.findProgram(call->request.program)->spec});
            }
        } else if (auto *delivery = std::get_if<DeliverAction>(&action)) {
            const auto channel = shard.channels.find(delivery->call);
            if (channel != shard.channels.end()) {
                deliveries.push_back(Delivery{channel->second, std::move(delivery->outcome)});
                shard.channels.erase(channel);
            }
        } else if (const auto *abort = std::get_if<AbortAction>(&action)) {
            aborts.push_back(abort->call);
        } else if (auto *release = std::get_if<ReleaseCacheAction>(&action)) {
            releases.push_back(std::move(*release));
        } else if (auto *query = std::get_if<QueryOutcomeAction>(&action)) {
            outcomeQueries.push_back(std::move(*query));
        }
    }
    lock.unlock();
    if (journalWork) {
        shard.journalWork.notify();
    }
    for (const CallId call : aborts) {
        this->readyCallHandler->onAbort(call);
    }
    for (const Delivery &delivery : deliveries) {
        if (!delivery.outcome) {
            this->metrics.count("oleandergate_refusals_total", "code=\"" + std::string(errorCodeName(delivery.outcome.error().code)) + "\"");
        }
        delivery.channel->finish(delivery.outcome);
    }
    for (const ReadyCall &entry : ready) {
        this->events.record(Step::Queue, entry.call.request.program, entry.call.request.requestId, entry.call.request.target);
        this->readyCallHandler->onReady(entry.call, entry.spec);
    }
    for (const QueryOutcomeAction &query : outcomeQueries) {
        this->readyCallHandler->onQueryOutcome(query.program, query.requestId, query.service);
    }
    for (const ReleaseCacheAction &release : releases) {
        this->readyCallHandler->onReleaseCache(release.program, release.endpoints);
    }
}

asio::awaitable<void> ProgramService::writeJournal(Shard &shard)
{
    while (true) {
        co_await this->checkpointOne(shard);
        bool hasWork = false;
        {
            const std::lock_guard lock(shard.mutex);
            hasWork = shard.journal.hasWork();
        }
        if (hasWork) {
            co_await this->awaitWriteBudget();
        }
        std::optional<CommitBatch> batch;
        {
            const std::lock_guard lock(shard.mutex);
            batch = shard.journal.nextBatch();
        }
        if (!batch) {
            co_await shard.journalWork.wait(maxIdleWait);
            continue;
        }
        const Time started = currentTime();
        const BatchResult result = co_await this->store.write(*batch);
        this->journalSeconds.observe(currentTime() - started);
        BatchResolution resolution;
        {
            const std::lock_guard lock(shard.mutex);
            resolution = shard.journal.onResult(result);
        }
        this->applyBatchResolution(shard, resolution);
        if (resolution.retry) {
            this->metrics.count("oleandergate_journal_retries_total");
            co_await sleepFor(journalRetryDelay);
        }
    }
}

void ProgramService::applyBatchResolution(Shard &shard, const BatchResolution &resolution)
{
    for (const CommitId commitId : resolution.committed) {
        std::unique_lock lock(shard.mutex);
        Actions actions = shard.owner.onCommitted(commitId, currentTime());
        this->performActions(shard, std::move(lock), std::move(actions));
    }
    for (const SlotId slot : resolution.lostSlots) {
        logRecord(LogLevel::Warning, "programs", "another instance has taken over a slot", {{"slot", std::to_string(slot)}});
        this->dropSlot(slot);
    }
}

asio::awaitable<void> ProgramService::checkpointOne(Shard &shard)
{
    SlotId slot = 0;
    std::uint64_t revision = 0;
    RecoveredSlot state;
    {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[candidate, latest] : shard.checkpoints) {
            if (shard.journal.nextNumberOf(candidate) >= latest.nextNumber + std::max(minRecordsPerCheckpoint, latest.turns)) {
                slot = candidate;
                revision = shard.journal.revisionOf(candidate);
                state = RecoveredSlot{{}, shard.journal.nextNumberOf(candidate), latest.generation};
                break;
            }
        }
        if (revision == 0) {
            co_return;
        }
        shard.owner.forEachProgram(slot, [&state](const ProgramState &program) {
            state.programs.push_back(program);
            state.turns += program.turns.size();
        });
    }
    const std::uint64_t nextNumber = state.nextNumber;
    const std::uint64_t generation = state.generation + 1;
    const std::uint64_t turns = state.turns;
    const Result<void> written = co_await this->store.checkpoint(slot, revision, std::move(state));
    if (!written) {
        logError("programs", "checkpoint failed", written.error());
        co_return;
    }
    const std::lock_guard lock(shard.mutex);
    const auto entry = shard.checkpoints.find(slot);
    if (entry != shard.checkpoints.end()) {
        entry->second = RecoveredSlot{{}, nextNumber, generation, turns};
    }
}

asio::awaitable<void> ProgramService::runTimers(Shard &shard)
{
    while (true) {
        co_await sleepFor(timerInterval);
        const Time now = currentTime();
        std::unique_lock lock(shard.mutex);
        const std::optional<Time> due = shard.owner.nextTick();
        if (due && *due <= now) {
            Actions actions = shard.owner.tick(this->operatingMode(now), now);
            this->performActions(shard, std::move(lock), std::move(actions));
        }
    }
}

} // namespace oleandergate
