#include "gateway/requestdrain.h"

#include "gateway/milliseconds.h"
#include "gateway/relayrequest.h"
#include "runtime/log.h"

namespace oleandergate {

RequestDrain::Registration::Registration(RequestDrain &drain, RelayRequest &request)
    : drain(drain)
    , request(request)
{
    this->drain.requests.insert(&request);
}

RequestDrain::Registration::~Registration()
{
    this->drain.requests.erase(&this->request);
}

void RequestDrain::begin(const ShutdownPlan &newPlan)
{
    this->plan = newPlan;
}

bool RequestDrain::hasBegun() const
{
    return this->plan.has_value();
}

bool RequestDrain::admits(Time deadline, Duration expectedMaxCallTime, Time now) const
{
    return !this->plan || this->plan->admits(now, deadline, expectedMaxCallTime);
}

bool RequestDrain::admits(const RelayRequest &request, Time now) const
{
    // The run that is to confirm the end of a stream is short, and without it the stream would be broken off.
    const bool isConfirmed = this->plan && request.progress.continuity.endsUnproven() && now < this->plan->limit(request.deadline);
    return !this->plan || isConfirmed || this->admits(request.deadline, request.pool->expectedMaxCallTime(), now);
}

Time RequestDrain::limit(Time deadline) const
{
    return this->plan ? this->plan->limit(deadline) : deadline;
}

void RequestDrain::withdrawWaiting(Time now)
{
    for (RelayRequest *request : this->requests) {
        // A request without a pool has just arrived and is checked before its first send.
        if (!request->pool || request->atEndpoint || request->cancellation->isCancelled() || this->admits(*request, now)) {
            continue;
        }
        logRecord(LogLevel::Info,
                  "relay",
                  "withdrew a waiting request, which could not complete before the shutdown",
                  {{"request", request->call.requestId}, {"sends", std::to_string(request->sends)}, {"left_ms", milliseconds(request->deadline - now)}});
        request->cancellation->cancel(CancelReason::Shutdown);
    }
}

void RequestDrain::cutOff()
{
    for (RelayRequest *request : this->requests) {
        logRecord(LogLevel::Warning,
                  "relay",
                  "the shutdown cuts off a request",
                  {{"request", request->call.requestId},
                   {"at_endpoint", request->atEndpoint ? "true" : "false"},
                   {"events", std::to_string(request->progress.continuity.passedOn())}});
        request->cancellation->cancel(CancelReason::Shutdown);
    }
}

} // namespace oleandergate
