#include "gateway/servicepool.h"

#include "runtime/asyncsignal.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! An avoided endpoint becomes usable again without an event, so waiting calls are placed again after this time.
constexpr Duration recheckInterval = std::chrono::milliseconds(50);
constexpr Duration minWait = std::chrono::milliseconds(1);

//! Nearly every call ends within this multiple of the mean time; call times spread by a factor of about 2.5.
constexpr int maxCallTimeFactor = 5;
constexpr Duration minExpectedMaxCallTime = std::chrono::milliseconds(1000);

} // namespace

struct ServicePool::Waiter
{
    AsyncSignal signal{};
    std::optional<Placement> placement{};
};

ServicePool::ServicePool(const PolicyOptions &options, const std::string &domain, std::uint64_t seed)
    : dispatcher(options, seed)
{
    this->dispatcher.setLocalDomain(domain);
}

ServicePool::~ServicePool() = default;

void ServicePool::setEndpoints(const std::vector<EndpointSpec> &endpoints, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.setEndpoints(endpoints);
    this->placeWaitingCalls(now);
}

void ServicePool::setPeerCalls(const std::map<std::uint32_t, std::uint32_t> &calls, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.setPeerCalls(calls);
    this->placeWaitingCalls(now);
}

void ServicePool::placeWaitingCalls(Time now)
{
    while (const std::optional<Placement> placement = this->dispatcher.next(now)) {
        const auto found = this->waiters.find(placement->call);
        if (found == this->waiters.end()) {
            this->dispatcher.onFinished(placement->call, true, now);
            continue;
        }
        found->second->placement = placement;
        found->second->signal.notify();
    }
}

std::optional<Placement> ServicePool::takePlaced(CallId call)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->waiters.find(call);
    if (found == this->waiters.end() || !found->second->placement) {
        return std::nullopt;
    }
    std::optional<Placement> placement = found->second->placement;
    this->waiters.erase(found);
    return placement;
}

bool ServicePool::mayServe(CallId call) const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.mayServe(call);
}

bool ServicePool::takesCalls(const std::string &version, const std::set<EndpointId> &avoid, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.takesCalls(version, avoid, now);
}

bool ServicePool::hasRoom(const std::string &version, const std::set<EndpointId> &avoid, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.hasRoom(version, avoid, now);
}

bool ServicePool::hasOther(const std::string &version, const EndpointId &endpoint) const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.hasOther(version, endpoint);
}

bool ServicePool::takesCalls(const EndpointId &endpoint) const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.takesCalls(endpoint);
}

bool ServicePool::withdraw(CallId call)
{
    const std::lock_guard lock(this->mutex);
    const bool waiting = this->dispatcher.remove(call);
    if (waiting) {
        this->waiters.erase(call);
    }
    return waiting;
}

asio::awaitable<Result<Placement>> ServicePool::place(QueuedCall call, std::shared_ptr<Cancellation> cancellation)
{
    const auto waiter = std::make_shared<Waiter>();
    const CallId id = call.call;
    const Time deadline = call.deadline;
    {
        const Time now = currentTime();
        const std::lock_guard lock(this->mutex);
        const Duration wait = this->dispatcher.predictedWait();
        if (now + wait > deadline) {
            co_return Error{ErrorCode::Overloaded, Step::Queue, {}, Executed::No, wait, "the predicted wait exceeds the time left until the deadline"};
        }
        const Result<void> queued = this->dispatcher.enqueue(call, now);
        if (!queued) {
            co_return queued.error();
        }
        this->waiters[id] = waiter;
        this->placeWaitingCalls(now);
    }
    cancellation->setHook([waiter]() {
        waiter->signal.notify();
    });
    while (true) {
        std::optional<Placement> placement = this->takePlaced(id);
        if (placement) {
            cancellation->setHook({});
            co_return std::move(*placement);
        }
        const Time now = currentTime();
        const bool left = cancellation->isCancelled();
        if (!this->mayServe(id) && this->withdraw(id)) {
            cancellation->setHook({});
            co_return Error{ErrorCode::NoEndpoint, Step::Queue, {}, Executed::No, std::nullopt, "the endpoints that may serve the call have left"};
        }
        if ((left || now >= deadline) && this->withdraw(id)) {
            cancellation->setHook({});
            const ErrorCode code = left ? ErrorCode::Cancelled : ErrorCode::Overloaded;
            co_return Error{
                code, Step::Queue, {}, Executed::No, recheckInterval, left ? "the caller disconnected" : "no endpoint had a free slot before the deadline"};
        }
        co_await waiter->signal.wait(std::clamp(Duration(std::min(deadline, this->nextUnblock(now)) - now), minWait, recheckInterval));
        const std::lock_guard lock(this->mutex);
        this->placeWaitingCalls(currentTime());
    }
}

Time ServicePool::nextUnblock(Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.nextUnblock(now);
}

void ServicePool::progress(CallId call, Tokens tokens, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.onProgress(call, tokens, now);
}

void ServicePool::finish(CallId call, bool healthy, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.onFinished(call, healthy, now);
    this->placeWaitingCalls(now);
}

void ServicePool::decline(CallId call, Time retryAt, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.onDeclined(call, retryAt);
    this->placeWaitingCalls(now);
}

void ServicePool::setRateLimits(const std::map<EndpointId, double> &limits, std::size_t instances, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.setRateLimits(limits, instances);
    this->placeWaitingCalls(now);
}

std::map<EndpointId, std::uint32_t> ServicePool::ownCalls() const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.ownCalls();
}

Duration ServicePool::expectedMaxCallTime() const
{
    const std::lock_guard lock(this->mutex);
    return std::max(minExpectedMaxCallTime, maxCallTimeFactor * this->dispatcher.meanServiceTime());
}

double ServicePool::occupancy() const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.occupancy();
}

std::size_t ServicePool::waitingCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.waitingCount();
}

std::size_t ServicePool::runningCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.runningCount();
}

std::size_t ServicePool::endpointCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.endpointCount();
}

void ServicePool::forgetIdle(Time before)
{
    const std::lock_guard lock(this->mutex);
    this->dispatcher.forgetIdle(before);
}

} // namespace oleandergate
