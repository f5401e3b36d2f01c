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

constexpr Duration interruptStep = std::chrono::milliseconds(50);
constexpr Duration peakSkewDefault = std::chrono::milliseconds(250);

PolicyOptions serviceOptions()
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

//! Puts a model pool's entry of configuration \p version in force, unless a newer one is.
void putInForce(DispatchPool &pool, const PoolConfig &entry, std::uint64_t version)
{
    if (isNewerConfig(pool.configVersion, version)) {
        pool.configVersion = version;
        pool.pool = entry;
        pool.dispatcher.setOptions(policyFor(entry.favour));
    }
}

//! Puts a plain service's entry of configuration \p version in force, unless a newer one is.
void putInForce(DispatchPool &pool, const ServiceConfig &entry, std::uint64_t version)
{
    if (isNewerConfig(pool.configVersion, version)) {
        pool.configVersion = version;
        pool.service = entry;
        pool.dispatcher.setOptions(serviceOptions());
    }
}

} // namespace

DispatchService::DispatchService(asio::io_context &context, const Parts &parts)
    : context(context)
    , parts(parts)
    , sender(std::make_unique<CallSender>(*this, parts.programs, parts.client, parts.view, parts.events, parts.metrics))
    , peak(peakSkewDefault)
{
}

DispatchService::~DispatchService() = default;

void DispatchService::configure(const std::shared_ptr<const ActiveConfig> &newConfig)
{
    std::vector<std::pair<DispatchPoolPointer, const PoolConfig *>> models;
    std::vector<std::pair<DispatchPoolPointer, const ServiceConfig *>> services;
    std::vector<DispatchPoolPointer> dropped;
    const std::uint64_t version = newConfig->version.version;
    {
        const std::lock_guard lock(this->mutex);
        if (this->config && !isNewerConfig(this->config->version.version, version)) {
            return;
        }
        this->config = newConfig;
        std::map<std::string, DispatchPoolPointer> next;
        const auto keep = [this, &next, version](const std::string &name, const std::string &listName, const auto &entry) {
            const auto known = this->pools.find(name);
            const bool same = known != this->pools.end() && known->second->listName == listName;
            DispatchPoolPointer pool = same ? known->second : std::make_shared<DispatchPool>(name, listName, hashOf(name + this->parts.view.self()));
            if (!same) {
                // Nobody else knows the pool yet, so its lock is not needed.
                putInForce(*pool, entry, version);
            }
            next[name] = pool;
            return pool;
        };
        for (const PoolConfig &entry : newConfig->configuration.pools) {
            models.emplace_back(keep("model/" + entry.name, entry.service, entry), &entry);
        }
        for (const ServiceConfig &entry : newConfig->configuration.services) {
            services.emplace_back(keep("service/" + entry.name, entry.service, entry), &entry);
        }
        for (const auto &[name, pool] : this->pools) {
            if (!next.contains(name)) {
                dropped.push_back(pool);
            }
        }
        this->pools = std::move(next);
    }
    // Calls hold their pool's lock when they take the service's, so pools in use are changed without the latter.
    for (const auto &[pool, entry] : models) {
        const std::lock_guard poolLock(pool->mutex);
        putInForce(*pool, *entry, version);
    }
    for (const auto &[pool, entry] : services) {
        const std::lock_guard poolLock(pool->mutex);
        putInForce(*pool, *entry, version);
    }
    for (const DispatchPoolPointer &pool : dropped) {
        const std::lock_guard poolLock(pool->mutex);
        pool->retired = true;
    }
    const std::lock_guard peakLock(this->peakMutex);
    if (isNewerConfig(this->peakVersion, version)) {
        this->peakVersion = version;
        this->cap = newConfig->configuration.peakTokensPerMinute;
        this->peak.setSkew(newConfig->configuration.clockSkew);
        this->peak.setUnlimited(this->cap == 0);
    }
}

void DispatchService::start()
{
    const auto spawn = [this](asio::awaitable<void> loop) {
        asio::co_spawn(asio::make_strand(this->context), std::move(loop), asio::detached);
    };
    spawn(this->refreshEndpoints());
    spawn(this->refreshLoads());
    spawn(this->interruptLoop());
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
        const PoolConfig *pool = this->config->configuration.findPoolOfModel(request.target);
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

DispatchPoolPointer DispatchService::poolOf(const CallWorkPointer &work)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pools.find(work->pool);
    return found == this->pools.end() ? nullptr : found->second;
}

CallWorkPointer DispatchService::findWork(CallId call)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->works.find(call);
    return found == this->works.end() ? nullptr : found->second;
}

void DispatchService::eraseWork(CallId call)
{
    const std::lock_guard lock(this->mutex);
    this->works.erase(call);
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
        this->parts.programs.refuseReady(
            call.id,
            Error{ErrorCode::NoEndpoint, Step::Place, call.request.target, Executed::No, std::nullopt, "the configuration has no such model or service"});
        return;
    }
    if (!this->isAllowed(spec, *pool)) {
        this->parts.programs.refuseReady(
            call.id, Error{ErrorCode::Unauthorised, Step::Place, pool->name, Executed::No, std::nullopt, "the program may not use this pool or service"});
        return;
    }
    CallWorkPointer work = this->findWork(call.id);
    const bool retry = work != nullptr;
    if (!work) {
        work = std::make_shared<CallWork>();
        work->call = call.id;
        work->request = call.request;
        work->spec = spec;
        work->pool = pool->name;
        const std::lock_guard lock(this->mutex);
        this->works[call.id] = work;
    }
    QueuedCall queued{call.id, call.request.program, call.request.branch, spec.priority};
    queued.resumable = call.request.kind == CallKind::Model;
    queued.promptTokens = call.request.promptTokens + work->generatedTokens;
    queued.maxTokens = call.request.maxTokens - work->generatedTokens;
    queued.programStart = spec.created;
    queued.deadline = std::min(call.request.deadline, spec.deadline);
    queued.programDeadline = spec.deadline;
    queued.avoid = call.triedEndpoints;
    Result<void> accepted = boost::outcome_v2::success();
    {
        const Time now = currentTime();
        const std::lock_guard lock(pool->mutex);
        if (!retry) {
            pool->retries.onCall(now);
        }
        accepted = pool->dispatcher.enqueue(queued, now);
    }
    if (!accepted) {
        this->eraseWork(call.id);
        this->parts.programs.refuseReady(call.id, accepted.error());
        return;
    }
    this->pump(pool);
}

void DispatchService::onAbort(CallId call)
{
    const CallWorkPointer work = this->findWork(call);
    if (!work) {
        return;
    }
    this->eraseWork(call);
    if (const DispatchPoolPointer pool = this->poolOf(work)) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.remove(call);
    }
    std::shared_ptr<Cancellation> cancellation;
    {
        const std::lock_guard lock(work->mutex);
        cancellation = work->cancellation;
    }
    if (cancellation) {
        cancellation->cancel();
    }
}

bool DispatchService::takePeak(const DispatchPoolPointer &pool, const QueuedCall &head, Time now, std::vector<std::pair<CallId, Error>> &refused)
{
    if (!pool->pool) {
        return true;
    }
    const Tokens tokens = head.promptTokens + head.maxTokens;
    const std::lock_guard lock(this->peakMutex);
    if (this->peak.tryCharge(tokens, now)) {
        return true;
    }
    const std::optional<Time> chance = this->peak.retryAt(tokens, now);
    if (!chance || *chance > head.deadline) {
        const Duration wait = chance ? *chance - now : startOfMinute(minuteOf(now) + 1) - now;
        refused.emplace_back(
            head.call, Error{ErrorCode::PeakReached, Step::Queue, pool->name, Executed::No, wait, "the call does not fit under the minute's cap in time"});
    }
    return false;
}

void DispatchService::pump(const DispatchPoolPointer &pool)
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
            if (!this->takePeak(pool, *head, now, refused)) {
                if (refused.size() == refusedBefore) {
                    break;
                }
                pool->dispatcher.remove(headCall);
                continue;
            }
            const std::optional<Placement> placement = pool->dispatcher.next(now);
            const CallWorkPointer work = this->findWork(headCall);
            if (!placement) {
                if (pool->pool) {
                    const std::lock_guard peakLock(this->peakMutex);
                    this->peak.refund(tokens, now);
                }
                break;
            }
            if (work && pool->pool) {
                work->charged = tokens;
                work->chargedAt = now;
            }
            placements.push_back(*placement);
        }
    }
    for (const auto &[call, error] : refused) {
        this->eraseWork(call);
        this->parts.programs.refuseReady(call, error);
    }
    for (const Placement &placement : placements) {
        const CallWorkPointer work = this->findWork(placement.call);
        if (!work) {
            const std::lock_guard lock(pool->mutex);
            pool->dispatcher.onFinished(placement.call, true, currentTime());
            continue;
        }
        asio::co_spawn(asio::make_strand(this->context), this->sender->run(work, pool, placement), asio::detached);
    }
}

void DispatchService::settlePeak(const CallWorkPointer &work, Tokens used)
{
    if (work->charged > used) {
        const std::lock_guard lock(this->peakMutex);
        this->peak.refund(work->charged - used, work->chargedAt);
    }
    work->charged = 0;
}

void DispatchService::onProgress(const CallWorkPointer &work, Tokens tokens)
{
    const DispatchPoolPointer pool = this->poolOf(work);
    if (pool) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.onProgress(work->call, tokens, currentTime());
    }
}

void DispatchService::onAnswered(const CallWorkPointer &work, CallAnswer answer)
{
    const DispatchPoolPointer pool = this->poolOf(work);
    if (pool) {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.onFinished(work->call, true, currentTime());
    }
    this->settlePeak(work, answer.promptTokens + answer.completionTokens);
    this->eraseWork(work->call);
    this->parts.programs.onAnswer(work->call, std::move(answer));
    if (pool) {
        this->pump(pool);
    }
}

void DispatchService::onFailed(const CallWorkPointer &work, AttemptFailure failure)
{
    const DispatchPoolPointer pool = this->poolOf(work);
    if (pool) {
        const Time now = currentTime();
        const std::lock_guard lock(pool->mutex);
        const bool healthy = failure.error.code == ErrorCode::Cancelled || failure.error.code == ErrorCode::NotOwner;
        pool->dispatcher.onFinished(work->call, healthy, now);
        failure.mayRetry = pool->retries.tryRetry(now);
    }
    if (failure.provablyNotSent) {
        this->settlePeak(work, 0);
    }
    this->parts.metrics.count("oleandergate_attempt_failures_total", "code=\"" + std::string(errorCodeName(failure.error.code)) + "\"");
    const bool triedAgain = this->parts.programs.onAttemptFailed(work->call, failure);
    if (!triedAgain) {
        this->eraseWork(work->call);
    }
    if (pool) {
        this->pump(pool);
    }
}

void DispatchService::onInterrupted(const CallWorkPointer &work)
{
    work->interrupted = false;
    const bool goesOn = this->parts.programs.onInterrupted(work->call);
    const DispatchPoolPointer pool = this->poolOf(work);
    if (!pool) {
        return;
    }
    {
        const std::lock_guard lock(pool->mutex);
        pool->dispatcher.onInterrupted(work->call, work->generatedTokens, currentTime());
        if (!goesOn) {
            pool->dispatcher.remove(work->call);
        }
    }
    this->parts.metrics.count("oleandergate_interruptions_total");
    this->pump(pool);
}

asio::awaitable<void> DispatchService::interruptLoop()
{
    while (true) {
        co_await sleepFor(interruptStep);
        for (const DispatchPoolPointer &pool : this->allPools()) {
            std::vector<Interruption> interruptions;
            {
                const std::lock_guard lock(pool->mutex);
                interruptions = pool->dispatcher.interruptions(currentTime());
            }
            for (const Interruption &interruption : interruptions) {
                const CallWorkPointer work = this->findWork(interruption.call);
                if (!work || !this->parts.programs.beginInterrupt(interruption.call)) {
                    const std::lock_guard lock(pool->mutex);
                    pool->dispatcher.keepRunning(interruption.call);
                    continue;
                }
                work->interrupted = true;
                std::shared_ptr<Cancellation> cancellation;
                {
                    const std::lock_guard lock(work->mutex);
                    cancellation = work->cancellation;
                }
                if (cancellation) {
                    cancellation->cancel();
                }
            }
            this->pump(pool);
        }
    }
}

void DispatchService::setGrant(const PeakGrant &grant)
{
    const std::lock_guard lock(this->peakMutex);
    if (this->cap > 0) {
        this->peak.setGrant(grant);
    }
}

PeakRenewal DispatchService::peakRenewal(Time now)
{
    const std::lock_guard lock(this->peakMutex);
    PeakRenewal renewal;
    renewal.demand = this->peak.demandAt(now);
    renewal.used = this->peak.maxRecentUse(now);
    renewal.cap = this->cap;
    renewal.earliest = this->peak.earliestMinute(now);
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
    return this->peak.usedIn(minuteOf(now));
}

Tokens DispatchService::peakGranted(Time now)
{
    const std::lock_guard lock(this->peakMutex);
    return this->peak.allowanceIn(minuteOf(now));
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
