#include "gateway/servicepool.h"

#include "runtime/asyncsignal.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! An endpoint that was avoided becomes usable without an event, so waiting calls look again after this time.
constexpr Duration recheckStep = std::chrono::milliseconds(50);
constexpr Duration shortestWait = std::chrono::milliseconds(1);

//! Nearly every call ends within this multiple of the usual time; call times spread by about a factor of two and a half.
constexpr int longestFactor = 5;
constexpr Duration leastLongest = std::chrono::milliseconds(1000);

} // namespace

struct ServicePool::Ticket
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
    this->pump(now);
}

void ServicePool::setForeign(const std::map<EndpointId, std::uint32_t> &calls, Time now)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[endpoint, count] : calls) {
        this->dispatcher.setPeerCalls(endpoint, count);
    }
    this->pump(now);
}

void ServicePool::pump(Time now)
{
    while (const std::optional<Placement> placement = this->dispatcher.next(now)) {
        const auto found = this->tickets.find(placement->call);
        if (found == this->tickets.end()) {
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
    const auto found = this->tickets.find(call);
    if (found == this->tickets.end() || !found->second->placement) {
        return std::nullopt;
    }
    std::optional<Placement> placement = found->second->placement;
    this->tickets.erase(found);
    return placement;
}

bool ServicePool::withdraw(CallId call)
{
    const std::lock_guard lock(this->mutex);
    const bool waiting = this->dispatcher.remove(call);
    if (waiting) {
        this->tickets.erase(call);
    }
    return waiting;
}

asio::awaitable<Result<Placement>> ServicePool::place(QueuedCall call, std::shared_ptr<Cancellation> cancellation)
{
    const auto ticket = std::make_shared<Ticket>();
    const CallId id = call.call;
    const Time deadline = call.deadline;
    {
        const Time now = currentTime();
        const std::lock_guard lock(this->mutex);
        const Duration wait = this->dispatcher.predictedWait();
        if (now + wait > deadline) {
            co_return Error{ErrorCode::Overloaded, Step::Queue, {}, Executed::No, wait, "the queue is longer than the time that is left"};
        }
        const Result<void> queued = this->dispatcher.enqueue(call, now);
        if (!queued) {
            co_return queued.error();
        }
        this->tickets[id] = ticket;
        this->pump(now);
    }
    cancellation->setHook([ticket]() {
        ticket->signal.notify();
    });
    while (true) {
        std::optional<Placement> placement = this->takePlaced(id);
        if (placement) {
            cancellation->setHook({});
            co_return std::move(*placement);
        }
        const Time now = currentTime();
        const bool left = cancellation->isCancelled();
        if ((left || now >= deadline) && this->withdraw(id)) {
            cancellation->setHook({});
            const ErrorCode code = left ? ErrorCode::Cancelled : ErrorCode::Overloaded;
            co_return Error{code, Step::Queue, {}, Executed::No, recheckStep, left ? "the caller left" : "no endpoint had room before the deadline"};
        }
        co_await ticket->signal.wait(std::clamp(Duration(deadline - now), shortestWait, recheckStep));
        const std::lock_guard lock(this->mutex);
        this->pump(currentTime());
    }
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
    this->pump(now);
}

std::map<EndpointId, std::uint32_t> ServicePool::ownCalls() const
{
    const std::lock_guard lock(this->mutex);
    return this->dispatcher.ownCalls();
}

Duration ServicePool::usualLongest() const
{
    const std::lock_guard lock(this->mutex);
    return std::max(leastLongest, longestFactor * this->dispatcher.meanServiceTime());
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
