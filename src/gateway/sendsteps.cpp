#include "gateway/sendsteps.h"

#include "gateway/crashregistry.h"
#include "gateway/milliseconds.h"
#include "gateway/poolset.h"
#include "gateway/ratelimiter.h"
#include "gateway/relayerror.h"
#include "gateway/requestdrain.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"

#include <atomic>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! How long a request waits for another run of the same request that decides whether it crashes endpoints. Such a run is short if it does.
constexpr Duration maxSuspectWait = std::chrono::seconds(1);
constexpr Duration suspectPollInterval = std::chrono::milliseconds(10);

//! Other requests leave the endpoints of isolated runs alone only in pools that have this many endpoints for each.
constexpr std::size_t minEndpointsPerIsolatedRun = 3;

bool mayRun(const RunAdmission &admission)
{
    return admission.verdict != RunVerdict::Wait && admission.verdict != RunVerdict::Refused;
}

//! Returns what a step decides about a request that was cancelled.
SendDecision decideOnCancelled(RelayRequest &request)
{
    if (request.cancellation->reason() == CancelReason::CallerLeft) {
        return SendDecision::CallerLeft;
    }
    request.lastError = shutdownError();
    return SendDecision::Refuse;
}

//! Refuses what could not complete before this instance has shut down.
class ShutdownStep : public SendStep
{
public:
    explicit ShutdownStep(const RequestDrain &drain)
        : drain(drain)
    {
    }

    asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt & /*attempt*/) override
    {
        if (request.cancellation->isCancelled()) {
            co_return decideOnCancelled(request);
        }
        if (this->drain.admits(request, currentTime())) {
            co_return SendDecision::Proceed;
        }
        request.lastError = shutdownError();
        co_return SendDecision::Refuse;
    }

    void undo(const RelayRequest & /*request*/, const SendAttempt & /*attempt*/, Time /*now*/) override
    {
    }

private:
    const RequestDrain &drain;
};

//! Waits while another run of the request decides whether it crashes endpoints.
class AdmissionStep : public SendStep
{
public:
    explicit AdmissionStep(CrashRegistry &crashes)
        : crashes(crashes)
    {
    }

    asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) override
    {
        const Time giveUpAt = std::min(request.deadline, currentTime() + maxSuspectWait);
        attempt.admission = this->crashes.admit(request.identity, currentTime());
        while (attempt.admission.verdict == RunVerdict::Wait && currentTime() < giveUpAt && !request.cancellation->isCancelled()) {
            co_await sleepFor(suspectPollInterval);
            attempt.admission = this->crashes.admit(request.identity, currentTime());
        }
        if (mayRun(attempt.admission)) {
            co_return SendDecision::Proceed;
        }
        if (request.cancellation->isCancelled()) {
            co_return decideOnCancelled(request);
        }
        request.lastError = this->errorOf(attempt.admission);
        co_return SendDecision::Refuse;
    }

    void undo(const RelayRequest & /*request*/, const SendAttempt & /*attempt*/, Time /*now*/) override
    {
    }

private:
    static Error errorOf(const RunAdmission &admission)
    {
        const bool refused = admission.verdict == RunVerdict::Refused;
        const std::string detail = std::to_string(admission.crashes) + " endpoints ended under this request, the last one "
            + milliseconds(admission.sinceLastCrash) + " ms ago" + (refused ? "" : "; another run of it is under way");
        Error error = relayError(ErrorCode::CrashesEndpoints, Step::Admit, Executed::No, detail);
        if (refused) {
            error.retryAfter = admission.retryAfter;
        }
        return error;
    }

    CrashRegistry &crashes;
};

//! Waits for an endpoint.
class PlacementStep : public SendStep
{
public:
    PlacementStep(PoolSet &pools, CrashRegistry &crashes, StreamVersions &versions)
        : pools(pools)
        , crashes(crashes)
        , versions(versions)
    {
    }

    asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) override
    {
        QueuedCall queued = this->makeQueuedCall(request, attempt, currentTime());
        attempt.call = queued.call;
        const bool restricted = queued.requiredVersion.has_value();
        const Time queuedAt = currentTime();
        const Result<Placement> placed = co_await request.pool->place(std::move(queued), request.cancellation);
        request.waited += currentTime() - queuedAt;
        if (placed) {
            attempt.endpoint = placed.value().endpoint;
            request.placement = placed.value();
            co_return SendDecision::Proceed;
        }
        request.lastError = placed.error();
        if (request.cancellation->isCancelled()) {
            co_return decideOnCancelled(request);
        }
        if (restricted && !request.streamVersion && placed.error().code == ErrorCode::NoEndpoint && currentTime() < request.deadline) {
            // The endpoints of the assigned version left while the stream waited for them. It has not begun, so another one may serve it.
            attempt.requiredEndpoint.clear();
            co_return SendDecision::Again;
        }
        co_return SendDecision::Refuse;
    }

    void undo(const RelayRequest &request, const SendAttempt &attempt, Time now) override
    {
        if (attempt.placementDeclinedUntil) {
            request.pool->decline(attempt.call, *attempt.placementDeclinedUntil, now);
        } else {
            request.pool->finish(attempt.call, true, now);
        }
    }

private:
    QueuedCall makeQueuedCall(const RelayRequest &request, const SendAttempt &attempt, Time now)
    {
        QueuedCall queued;
        queued.call = this->nextCallId++;
        queued.program = request.call.program ? request.call.program->program : request.call.requestId;
        queued.branch = request.call.program ? request.call.program->branch : std::string();
        queued.priority = -request.rank; // Rank 0 is the most urgent, whereas larger priorities are dispatched first.
        queued.promptParts = request.call.promptParts;
        queued.promptTokens = request.call.promptTokens;
        queued.maxTokens = request.call.maxTokens;
        queued.deadline = attempt.placeBefore.value_or(request.deadline);
        queued.programDeadline
            = request.arrived + (request.call.program ? request.call.program->timeToFinish : std::nullopt).value_or(request.route->objective);
        queued.requiredEndpoint = attempt.requiredEndpoint;
        queued.isolated = attempt.admission.verdict == RunVerdict::AllowedIsolated;
        queued.avoid = request.retries->avoided();
        if (!attempt.otherEndpoint.empty()) {
            queued.avoid.insert(attempt.otherEndpoint);
        }
        if (this->crashes.hasIsolatedRuns(now)) {
            const std::set<EndpointId> isolated = this->crashes.isolatedAmong(this->pools.endpointIds(), now);
            // In a small pool the other requests need these endpoints.
            if (isolated.size() * minEndpointsPerIsolatedRun <= request.pool->endpointCount()) {
                queued.avoid.insert(isolated.begin(), isolated.end());
            }
        }
        this->requireVersion(request, queued, now);
        preferOtherWitness(request, queued, now);
        return queued;
    }

    //! Sends a stream whose end is to be confirmed to the best witness that has room: an endpoint that has not left it open, or else one that was not shown
    //! to have ended it early.
    static void preferOtherWitness(const RelayRequest &request, QueuedCall &queued, Time now)
    {
        if (!queued.requiredEndpoint.empty() || !queued.requiredVersion || request.retries->openEndsAt().empty()) {
            return;
        }
        std::set<EndpointId> early = queued.avoid;
        early.insert(request.retries->disprovedEndsAt().begin(), request.retries->disprovedEndsAt().end());
        std::set<EndpointId> open = early;
        open.insert(request.retries->openEndsAt().begin(), request.retries->openEndsAt().end());
        for (std::set<EndpointId> *avoid : {&open, &early}) {
            if (request.pool->hasRoom(*queued.requiredVersion, *avoid, now)) {
                queued.avoid = std::move(*avoid);
                return;
            }
        }
    }

    //! Restricts \p queued to the software version that its stream needs, or at which it should begin.
    void requireVersion(const RelayRequest &request, QueuedCall &queued, Time now) const
    {
        if (!request.stream) {
            return;
        }
        if (request.streamVersion) {
            queued.requiredVersion = request.streamVersion;
            if (!request.pool->takesCalls(*request.streamVersion, queued.avoid, now)) {
                // Endpoints that refused the stream may have room by now, and no others may serve it.
                queued.avoid = request.misdirectedAt;
            }
            return;
        }
        const std::optional<std::string> assigned = this->versions.assignedVersion(*request.stream);
        if (queued.requiredEndpoint.empty() && assigned && request.pool->takesCalls(*assigned, queued.avoid, now)) {
            queued.requiredVersion = assigned;
        }
    }

    PoolSet &pools;
    CrashRegistry &crashes;
    StreamVersions &versions;
    std::atomic<CallId> nextCallId{1};
};

//! Acquires a permit of a rate-limited endpoint.
class PermitStep : public SendStep
{
public:
    explicit PermitStep(RateLimiter &limiter)
        : limiter(limiter)
    {
    }

    asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) override
    {
        const Time requestedAt = currentTime();
        const PermitDecision permit = co_await this->limiter.requestPermit(attempt.endpoint);
        request.permitWait += currentTime() - requestedAt;
        if (permit.granted) {
            co_return SendDecision::Proceed;
        }
        request.declined += 1;
        attempt.placementDeclinedUntil = currentTime() + permit.retryAfter;
        co_return SendDecision::Again;
    }

    void undo(const RelayRequest & /*request*/, const SendAttempt & /*attempt*/, Time /*now*/) override
    {
        // A permit that is not used runs out.
    }

private:
    RateLimiter &limiter;
};

//! Records the software version of a stream that begins elsewhere than its assignment says.
class VersionRecordStep : public SendStep
{
public:
    explicit VersionRecordStep(StreamVersions &versions)
        : versions(versions)
    {
    }

    asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) override
    {
        const Result<void> recorded = co_await this->record(request, attempt.endpoint.version);
        if (!recorded) {
            attempt.placementDeclinedUntil = currentTime();
            request.lastError = recorded.error();
            co_return SendDecision::Refuse;
        }
        if (request.stream) {
            this->versions.onSend(*request.stream, attempt.endpoint.version);
        }
        co_return SendDecision::Proceed;
    }

    void undo(const RelayRequest & /*request*/, const SendAttempt & /*attempt*/, Time /*now*/) override
    {
        // The record holds for a later send as well.
    }

private:
    asio::awaitable<Result<void>> record(RelayRequest &request, std::string version)
    {
        if (!request.stream || request.streamVersion || !this->versions.needsRecord(*request.stream, version, currentTime())) {
            co_return boost::outcome_v2::success();
        }
        Result<void> recorded = co_await this->versions.record(*request.stream, version);
        logRecord(LogLevel::Info,
                  "relay",
                  recorded ? "a stream begins at another software version than assigned" : "a stream may not begin at another software version than assigned",
                  {{"request", request.call.requestId}, {"version", version}, {"detail", recorded ? std::string() : recorded.error().detail}});
        if (recorded) {
            request.streamVersion = std::move(version);
        }
        co_return recorded;
    }

    StreamVersions &versions;
};

//! Registers the run, unless the crash history has changed since the admission.
class RunRegistrationStep : public SendStep
{
public:
    explicit RunRegistrationStep(CrashRegistry &crashes)
        : crashes(crashes)
    {
    }

    asio::awaitable<SendDecision> prepare(RelayRequest &request, SendAttempt &attempt) override
    {
        attempt.startedAt = currentTime();
        const RunAdmission begun = this->crashes.begin(request.identity, attempt.endpoint.id, attempt.startedAt);
        co_return mayRun(begun) ? SendDecision::Proceed : SendDecision::Again;
    }

    void undo(const RelayRequest &request, const SendAttempt &attempt, Time /*now*/) override
    {
        this->crashes.endWithoutAnswer(request.identity, attempt.endpoint.id);
    }

private:
    CrashRegistry &crashes;
};

} // namespace

SendSteps::SendSteps(const Parts &parts)
{
    this->steps.push_back(std::make_unique<ShutdownStep>(parts.drain));
    this->steps.push_back(std::make_unique<AdmissionStep>(parts.crashes));
    this->steps.push_back(std::make_unique<PlacementStep>(parts.pools, parts.crashes, parts.versions));
    this->steps.push_back(std::make_unique<PermitStep>(parts.limiter));
    this->steps.push_back(std::make_unique<VersionRecordStep>(parts.versions));
    this->steps.push_back(std::make_unique<RunRegistrationStep>(parts.crashes));
}

asio::awaitable<SendDecision> SendSteps::prepare(RelayRequest &request, SendAttempt &attempt) const
{
    for (std::size_t taken = 0; taken < this->steps.size(); ++taken) {
        SendDecision decision = co_await this->steps[taken]->prepare(request, attempt);
        if (decision == SendDecision::Proceed && request.cancellation->isCancelled()) {
            decision = decideOnCancelled(request);
            attempt.placementDeclinedUntil = attempt.placementDeclinedUntil.value_or(currentTime());
            taken += 1; // This step has to be undone as well.
        }
        if (decision == SendDecision::Proceed) {
            continue;
        }
        while (taken > 0) {
            taken -= 1;
            this->steps[taken]->undo(request, attempt, currentTime());
        }
        co_return decision;
    }
    co_return SendDecision::Proceed;
}

} // namespace oleandergate
