#include "runtime/dispatchservice.h"

#include "decision/configversions.h"
#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/callsender.h"
#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "runtime/eventlog.h"
#include "runtime/metrics.h"
#include "runtime/programservice.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration interruptInterval = std::chrono::milliseconds(50);
constexpr Duration defaultClockSkew = std::chrono::milliseconds(250);

PolicyOptions servicePolicy()
{
    PolicyOptions options;
    options.placement = PlacementRule::LeastOutstanding;
    options.order = QueueOrder::Arrival;
    options.limitInFlight = false;
    options.preempt = false;
    options.migrate = false;
    options.admissionControl = false;
    return options;
}

//! Activates a model pool's entry of configuration \p version, unless a newer one is active.
void activateEntry(DispatchPool &pool, const PoolConfig &entry, std::uint64_t version)
{
    if (isNewerConfig(pool.configVersion, version)) {
        pool.configVersion = version;
        pool.modelConfig = entry;
        pool.dispatcher.setOptions(policyFor(entry.goal));
    }
}

//! Activates a plain service's entry of configuration \p version, unless a newer one is active.
void activateEntry(DispatchPool &pool, const ServiceConfig &entry, std::uint64_t version)
{
    if (isNewerConfig(pool.configVersion, version)) {
        pool.configVersion = version;
        pool.serviceConfig = entry;
        pool.dispatcher.setOptions(servicePolicy());
    }
}

} // namespace

DispatchService::DispatchService(asio::io_context &context, const Dependencies &dependencies)
    : context(context)
    , dependencies(dependencies)
    , sender(std::make_unique<CallSender>(*this, dependencies.programs, dependencies.client, dependencies.view, dependencies.events, dependencies.metrics))
    , peakLimiter(defaultClockSkew)
{
}

DispatchService::~DispatchService() = default;

void DispatchService::configure(const std::shared_ptr<const ActiveConfig> &newConfig)
{
    std::vector<std::pair<DispatchPoolPointer, const PoolConfig *>> modelPools;
    std::vector<std::pair<DispatchPoolPointer, const ServiceConfig *>> servicePools;
    std::vector<DispatchPoolPointer> removedPools;
    const std::uint64_t version = newConfig->version.version;
    {
        const std::lock_guard lock(this->mutex);
        if (this->config && !isNewerConfig(this->config->version.version, version)) {
            return;
        }
        this->config = newConfig;
        std::map<std::string, DispatchPoolPointer> newPools;
        const auto findOrCreate = [this, &newPools, version](const std::string &name, const std::string &listName, const auto &entry) {
            const auto existing = this->pools.find(name);
            const bool reuse = existing != this->pools.end() && existing->second->listName == listName;
            DispatchPoolPointer pool = reuse ? existing->second : std::make_shared<DispatchPool>(name, listName, hashOf(name + this->dependencies.view.self()));
            if (!reuse) {
                // The pool is not shared with other threads yet, so its lock is not needed.
                activateEntry(*pool, entry, version);
            }
            newPools[name] = pool;
            return pool;
        };
        for (const PoolConfig &entry : newConfig->configuration.pools) {
            modelPools.emplace_back(findOrCreate("model/" + entry.name, entry.service, entry), &entry);
        }
        for (const ServiceConfig &entry : newConfig->configuration.services) {
            servicePools.emplace_back(findOrCreate("service/" + entry.name, entry.service, entry), &entry);
        }
        for (const auto &[name, pool] : this->pools) {
            if (!newPools.contains(name)) {
                removedPools.push_back(pool);
            }
        }
        this->pools = std::move(newPools);
    }
    // Other threads lock this->mutex while they hold a pool's lock, so pools in use are changed without holding this->mutex.
    for (const auto &[pool, entry] : modelPools) {
        const std::lock_guard poolLock(pool->mutex);
        activateEntry(*pool, *entry, version);
    }
    for (const auto &[pool, entry] : servicePools) {
        const std::lock_guard poolLock(pool->mutex);
        activateEntry(*pool, *entry, version);
    }
    for (const DispatchPoolPointer &pool : removedPools) {
        const std::lock_guard poolLock(pool->mutex);
        pool->retired = true;
    }
    const std::lock_guard peakLock(this->peakMutex);
    if (isNewerConfig(this->peakConfigVersion, version)) {
        this->peakConfigVersion = version;
        this->cap = newConfig->configuration.peakTokensPerMinute;
        this->peakLimiter.setSkew(newConfig->configuration.clockSkew);
        this->peakLimiter.setUnlimited(this->cap == 0);
    }
}

void DispatchService::start()
{
    const auto spawn = [this](asio::awaitable<void> loop) {
        asio::co_spawn(asio::make_strand(this->context), std::move(loop), asio::detached);
    };
    spawn(this->refreshEndpoints());
    spawn(this->refreshLoads());
    spawn(this->interruptCalls());
    spawn(this->sweepCaches());
}

DispatchPoolPointer DispatchService::poolFor(const CallRequest &request)
{
    const std::lock_guard lock(this->mutex);
    if (!this->config) {
        return nullptr;
    }
    std::string name = "service/" + request.target;
    if (request.kind == CallKind::Model) {
        const PoolConfig *pool = this->config->configuration.findPoolByModel(request.target);
        name = pool == nullptr ? std::string() : "model/" + pool->name;
    }
    const auto found = this->pools.find(name);
    return found == this->pools.end() ? nullptr : found->second;
}

bool DispatchService::isAllowed(const ProgramSpec &spec, const DispatchPool &pool)
{
    const std::lock_guard lock(this->mutex);
    const ProgramConfig *program = this->config ? this->config->configuration.findProgram(spec.kind, spec.organisation) : nullptr;
    if (program == nullptr) {
        return false;
    }
    const std::string name = pool.name.substr(pool.name.find('/') + 1);
    const std::vector<std::string> &allowed = pool.name.starts_with("model/") ? program->pools : program->services;
    return std::find(allowed.begin(), allowed.end(), name) != allowed.end();
}

DispatchPoolPointer DispatchService::poolOf(const DispatchedCallPointer &dispatched)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pools.find(dispatched->pool);
    return found == this->pools.end() ? nullptr : found->second;
}

DispatchedCallPointer DispatchService::findDispatched(CallId call)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->dispatchedCalls.find(call);
    return found == this->dispatchedCalls.end() ? nullptr : found->second;
}

void DispatchService::eraseDispatched(CallId call)
{
    const std::lock_guard lock(this->mutex);
    this->dispatchedCalls.erase(call);
}

std::vector<DispatchPoolPointer> DispatchService::allPools()
{
    const std::lock_guard lock(this->mutex);
    std::vector<DispatchPoolPointer> all;
    for (const auto &[name, pool] : this->pools) {
        all.push_back(pool);
    }
    return all;
}

void DispatchService::onReady(const LiveCall &call, const ProgramSpec &spec)
{
    const DispatchPoolPointer pool = this->poolFor(call.request);
    if (!pool) {
        this->dependencies.programs.refuseReady(
            call.id,
            Error{ErrorCode::NoEndpoint, Step::Place, call.request.target, Executed::No, std::nullopt, "the configuration has no such model or service"});
        return;
    }
    if (!this->isAllowed(spec, *pool)) {
        this->dependencies.programs.refuseReady(call.id,
                                                Error{ErrorCode::Unauthorised,
                                                      Step::Place,
                                                      pool->name,
                                                      Executed::No,
                                                      std::nullopt,
                                                      "the program's configuration does not list this pool or service"});
        return;
    }
    DispatchedCallPointer dispatched = this->findDispatched(call.id);
    const bool retry = dispatched != nullptr;
    if (!dispatched) {
        dispatched = std::make_shared<DispatchedCall>();
        dispatched->call = call.id;
        dispatched->request = call.request;
        dispatched->spec = spec;
        dispatched->pool = pool->name;
        const std::lock_guard lock(this->mutex);
        this->dispatchedCalls[call.id] = dispatched;
    }
    QueuedCall queued{call.id, call.request.program, call.request.branch, spec.priority};
    queued.resumable = call.request.kind == CallKind::Model;
    queued.promptTokens = call.request.promptTokens + dispatched->generatedTokens;
    queued.maxTokens = call.request.maxTokens - dispatched->generatedTokens;
    queued.programStart = spec.created;
    queued.deadline = std::min(call.request.deadline, spec.deadline);
    queued.programDeadline = spec.deadline;
    queued.avoid = call.triedEndpoints;
    Result<void> accepted = boost::outcome_v2::success();
    {
        const Time now = currentTime();
        const std::lock_guard lock(pool->mutex);
        if (!retry) {
            pool->retryBudget.onCall(now);
        }
        accepted = pool->dispatcher.enqueue(queued, now);
    }
    if (!accepted) {
        this->eraseDispatched(call.id);
        this->dependencies.programs.refuseReady(call.id, accepted.error());
        return;
    }
    this->placeWaitingCalls(pool);
}

void DispatchService::onAbort(CallId call)
{
    const DispatchedCallPointer dispatched = this->findDispatched(call);
    if (!dispatched) {
        return;
    }
    this->eraseDispatched(call);
    if (const DispatchPoolPointer pool = this->poolOf(dispatched)) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.remove(call);
    }
    std::shared_ptr<Cancellation> cancellation;
    {
        const std::lock_guard lock(dispatched->mutex);
        cancellation = dispatched->cancellation;
    }
    if (cancellation) {
        cancellation->cancel();
    }
}

bool DispatchService::chargePeak(const DispatchPoolPointer &pool, const QueuedCall &head, Time now, std::vector<std::pair<CallId, Error>> &refused)
{
    if (!pool->modelConfig) {
        return true;
    }
    const Tokens tokens = head.promptTokens + head.maxTokens;
    const std::lock_guard lock(this->peakMutex);
    if (this->peakLimiter.tryCharge(tokens, now)) {
        return true;
    }
    const std::optional<Time> retryAt = this->peakLimiter.retryAt(tokens, now);
    if (!retryAt || *retryAt > head.deadline) {
        const Duration wait = retryAt ? *retryAt - now : startOfMinute(minuteOf(now) + 1) - now;
        refused.emplace_back(head.call,
                             Error{ErrorCode::PeakReached,
                                   Step::Queue,
                                   pool->name,
                                   Executed::No,
                                   wait,
                                   "the call does not fit under the limit on tokens per minute before its deadline"});
    }
    return false;
}

void DispatchService::placeWaitingCalls(const DispatchPoolPointer &pool)
{
    std::vector<Placement> placements;
    std::vector<std::pair<CallId, Error>> refused;
    {
        const std::lock_guard lock(pool->mutex);
        const Time now = currentTime();
        while (const QueuedCall *head = pool->dispatcher.head(now)) {
            const std::size_t refusedBefore = refused.size();
            const Tokens tokens = head->promptTokens + head->maxTokens;
            const CallId headCall = head->call;
            if (!this->chargePeak(pool, *head, now, refused)) {
                if (refused.size() == refusedBefore) {
                    break;
                }
                pool->dispatcher.remove(headCall);
                continue;
            }
            const std::optional<Placement> placement = pool->dispatcher.next(now);
            const DispatchedCallPointer dispatched = this->findDispatched(headCall);
            if (!placement) {
                if (pool->modelConfig) {
                    const std::lock_guard peakLock(this->peakMutex);
                    this->peakLimiter.refund(tokens, now);
                }
                break;
            }
            if (dispatched && pool->modelConfig) {
                dispatched->charged = tokens;
                dispatched->chargedAt = now;
            }
            placements.push_back(*placement);
        }
    }
    for (const auto &[call, error] : refused) {
        this->eraseDispatched(call);
        this->dependencies.programs.refuseReady(call, error);
    }
    for (const Placement &placement : placements) {
        const DispatchedCallPointer dispatched = this->findDispatched(placement.call);
        if (!dispatched) {
            const std::lock_guard lock(pool->mutex);
            pool->dispatcher.onFinished(placement.call, true, currentTime());
            continue;
        }
        asio::co_spawn(asio::make_strand(this->context), this->sender->run(dispatched, pool, placement), asio::detached);
    }
}

void DispatchService::refundUnusedPeak(const DispatchedCallPointer &dispatched, Tokens used)
{
    if (dispatched->charged > used) {
        const std::lock_guard lock(this->peakMutex);
        this->peakLimiter.refund(dispatched->charged - used, dispatched->chargedAt);
    }
    dispatched->charged = 0;
}

void DispatchService::onProgress(const DispatchedCallPointer &dispatched, Tokens tokens)
{
    const DispatchPoolPointer pool = this->poolOf(dispatched);
    if (pool) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.onProgress(dispatched->call, tokens, currentTime());
    }
}

void DispatchService::onAnswered(const DispatchedCallPointer &dispatched, CallAnswer answer)
{
    const DispatchPoolPointer pool = this->poolOf(dispatched);
    if (pool) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.onFinished(dispatched->call, true, currentTime());
    }
    this->refundUnusedPeak(dispatched, answer.promptTokens + answer.completionTokens);
    this->eraseDispatched(dispatched->call);
    this->dependencies.programs.onAnswer(dispatched->call, std::move(answer));
    if (pool) {
        this->placeWaitingCalls(pool);
    }
}

void DispatchService::onFailed(const DispatchedCallPointer &dispatched, AttemptFailure failure)
{
    const DispatchPoolPointer pool = this->poolOf(dispatched);
    if (pool) {
        const Time now = currentTime();
        const std::lock_guard lock(pool->mutex);
        const bool healthy = failure.error.code == ErrorCode::Cancelled || failure.error.code == ErrorCode::NotOwner;
        pool->dispatcher.onFinished(dispatched->call, healthy, now);
        failure.mayRetry = pool->retryBudget.tryRetry(now);
    }
    if (failure.provablyNotSent) {
        this->refundUnusedPeak(dispatched, 0);
    }
    this->dependencies.metrics.count("oleandergate_attempt_failures_total", "code=\"" + std::string(errorCodeName(failure.error.code)) + "\"");
    const bool willRetry = this->dependencies.programs.onAttemptFailed(dispatched->call, failure);
    if (!willRetry) {
        this->eraseDispatched(dispatched->call);
    }
    if (pool) {
        this->placeWaitingCalls(pool);
    }
}

void DispatchService::onInterrupted(const DispatchedCallPointer &dispatched)
{
    dispatched->interrupted = false;
    const bool continues = this->dependencies.programs.onInterrupted(dispatched->call);
    const DispatchPoolPointer pool = this->poolOf(dispatched);
    if (!pool) {
        return;
    }
    {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.onInterrupted(dispatched->call, dispatched->generatedTokens, currentTime());
        if (!continues) {
            pool->dispatcher.remove(dispatched->call);
        }
    }
    this->dependencies.metrics.count("oleandergate_interruptions_total");
    this->placeWaitingCalls(pool);
}

asio::awaitable<void> DispatchService::interruptCalls()
{
    while (true) {
        co_await sleepFor(interruptInterval);
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<Interruption> interruptions;
            {
                const std::lock_guard lock(pool->mutex);
                interruptions = pool->dispatcher.interruptions(currentTime());
            }
            for (const Interruption &interruption : interruptions) {
                const DispatchedCallPointer dispatched = this->findDispatched(interruption.call);
                if (!dispatched || !this->dependencies.programs.beginInterrupt(interruption.call)) {
                    const std::lock_guard lock(pool->mutex);
                    pool->dispatcher.keepRunning(interruption.call);
                    continue;
                }
                dispatched->interrupted = true;
                std::shared_ptr<Cancellation> cancellation;
                {
                    const std::lock_guard lock(dispatched->mutex);
                    cancellation = dispatched->cancellation;
                }
                if (cancellation) {
                    cancellation->cancel();
                }
            }
            this->placeWaitingCalls(pool);
        }
    }
}

void DispatchService::setGrant(const PeakGrant &grant)
{
    const std::lock_guard lock(this->peakMutex);
    if (this->cap > 0) {
        this->peakLimiter.setGrant(grant);
    }
}

PeakRenewal DispatchService::peakRenewal(Time now)
{
    const std::lock_guard lock(this->peakMutex);
    PeakRenewal renewal;
    renewal.demand = this->peakLimiter.demandAt(now);
    renewal.used = this->peakLimiter.maxRecentUse(now);
    renewal.cap = this->cap;
    renewal.earliest = this->peakLimiter.earliestMinute(now);
    renewal.current = minuteOf(now);
    return renewal;
}

Tokens DispatchService::peakCap()
{
    const std::lock_guard lock(this->peakMutex);
    return this->cap;
}

Tokens DispatchService::peakUsed(Time now)
{
    const std::lock_guard lock(this->peakMutex);
    return this->peakLimiter.usedIn(minuteOf(now));
}

Tokens DispatchService::peakGranted(Time now)
{
    const std::lock_guard lock(this->peakMutex);
    return this->peakLimiter.allowanceIn(minuteOf(now));
}

std::string DispatchService::describePools()
{
    boost::json::array list;
    for (const DispatchPoolPointer &pool : this->allPools()) {
        const std::lock_guard lock(pool->mutex);
        list.push_back(boost::json::object{{"pool", pool->name},
                                           {"endpoints", pool->dispatcher.endpointCount()},
                                           {"waiting", pool->dispatcher.waitingCount()},
                                           {"running", pool->dispatcher.runningCount()},
                                           {"interruptions", pool->dispatcher.interruptionCount()}});
    }
    return boost::json::serialize(list);
}

} // namespace oleandergate
