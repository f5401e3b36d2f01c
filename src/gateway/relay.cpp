#include "gateway/relay.h"

#include "decision/hash.h"
#include "gateway/allowances.h"
#include "gateway/calleridentity.h"
#include "gateway/endtoend.h"
#include "gateway/hedging.h"
#include "gateway/milliseconds.h"
#include "gateway/relayerror.h"
#include "runtime/asyncsignal.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! How long a request waits for the first configuration. A process that has not received it by then receives it much later, so
//! waiting longer would not help.
constexpr Duration configurationTimeout = std::chrono::milliseconds(200);
constexpr Duration configurationPollInterval = std::chrono::milliseconds(10);

//! How long a request without a route waits for a newer configuration that another instance is known to have.
constexpr Duration announcedConfigurationTimeout = std::chrono::milliseconds(500);

//! How long a stream that its caller takes up waits for the first reading of the record of targets.
constexpr Duration targetRecordTimeout = std::chrono::milliseconds(250);

//! Longest time that a request waits to learn whether the endpoint that broke its connection still listens.
constexpr Duration probeTimeout = std::chrono::milliseconds(100);

//! Longest time that a second send waits for an endpoint, and how often a request with two runs looks whether they have ended, beside being told.
constexpr Duration maxHedgeWait = std::chrono::milliseconds(20);
constexpr Duration hedgeCheckInterval = std::chrono::seconds(1);

//! Outcomes of requests that ended without an error code.
constexpr const char *streamedOutcome = "streamed";
constexpr const char *answeredOutcome = "answered";
constexpr const char *brokenOffOutcome = "broken-off";
constexpr const char *callerLeftOutcome = "caller-left";

//! Lowest priority that endpoints accept; 0 is the highest.
constexpr int lowestPriority = 9;

std::string_view pathOf(const RelayCall &call)
{
    return std::string_view(call.target).substr(0, call.target.find('?'));
}

bool isResumable(const Route &route)
{
    return route.kind == RouteKind::Stream && route.resumable;
}

//! Returns the stream of \p call at \p service. What its key depends on is the same for all attempts of the stream, whether or not a caller that takes it up
//! names the attempt that began it.
StreamIdentity streamOf(const RelayCall &call, const RequestIdentity &identity, const std::string &service)
{
    const bool isNamed = call.resumeAfter && !call.resumedRequest.empty();
    StreamIdentity stream;
    stream.attempt = isNamed ? call.resumedRequest : call.requestId;
    stream.service = service;
    stream.request = streamFingerprintOf(call, identity);
    stream.bucket = versionBucketOf(call.program ? call.program->program : hashText(stream.request));
    stream.isAttemptKnown = isNamed || !call.resumeAfter;
    return stream;
}

//! Returns the key that selects one of a route's targets; the same for all attempts of a stream that may be resumed.
std::string routingKeyOf(const RelayCall &call, const RequestIdentity &identity, const Route &route)
{
    if (call.program) {
        return call.program->branch;
    }
    return isResumable(route) ? hashText(streamFingerprintOf(call, identity)) : call.requestId;
}

//! Decides, just before \p request is written to a connection, whether it is sent. From then on one that runs at most once takes effect whether or not its
//! caller waits for the answer; one that nobody waits for is not sent.
bool beginRun(RelayRequest &request)
{
    if (request.exchange.isCallerDisconnected()) {
        request.cancellation->cancel(CancelReason::CallerLeft);
    }
    return request.route->kind == RouteKind::Once ? request.cancellation->commit() : !request.cancellation->isCancelled();
}

//! Returns how long \p call may take on \p route.
Duration timeLimitOf(const RelayCall &call, const Route &route)
{
    return std::min(call.timeLeft.value_or(route.timeout), route.timeout);
}

//! Returns the number of events, of \p perEvent tokens each, with which a stream has all tokens that it may have; 0 when not known, as where its caller has
//! some of them already.
std::uint64_t mostEvents(const RelayCall &call, Tokens perEvent)
{
    return perEvent <= 0 || call.maxTokens <= 0 || call.resumeAfter ? 0 : static_cast<std::uint64_t>((call.maxTokens + perEvent - 1) / perEvent);
}

std::string textOf(const std::optional<std::uint64_t> &number)
{
    return number ? std::to_string(*number) : std::string();
}

} // namespace

Relay::Relay(const Parts &parts)
    : parts(parts)
    , steps(SendSteps::Parts{parts.drain, parts.pools, parts.crashes, parts.limiter, parts.versions})
    , identityCounters(parts.metrics.counters("oleandergate_callers_total", "identity", callerIdentityNames))
    , requestSeconds(parts.metrics.histogram("oleandergate_request_seconds"))
{
    std::vector<std::string> outcomes{streamedOutcome, answeredOutcome, brokenOffOutcome, callerLeftOutcome};
    for (const NamedValue<ErrorCode> &code : errorCodeNames) {
        outcomes.emplace_back(code.name);
    }
    for (const std::string &outcome : outcomes) {
        this->requestCounters[outcome] = &parts.metrics.counter("oleandergate_requests_total", "outcome=\"" + outcome + "\"");
    }
}

asio::awaitable<void> Relay::handle(HttpRequest request, HttpExchange &exchange)
{
    RelayRequest context(exchange, this->parts.memory, currentTime());
    const RequestDrain::Registration registration(this->parts.drain, context);
    exchange.onCallerDisconnected([cancellation = context.cancellation]() {
        cancellation->cancel(CancelReason::CallerLeft);
    });
    context.active = this->parts.configurationHolder.current();
    Result<RelayCall> decoded = this->parts.headerCodec.decode(std::move(request));
    if (!decoded) {
        co_await this->refuse(context, decoded.error());
    } else {
        context.call = std::move(decoded.value());
        context.identity = identityOf(context.call);
        co_await this->serve(context);
    }
    this->recordOutcome(context);
}

std::optional<HttpResponse> Relay::refuseUnread(HttpRequest head, Time now) const
{
    const std::shared_ptr<const ActiveGatewayConfiguration> active = this->parts.configurationHolder.current();
    if (!this->parts.drain.hasBegun() || !active) {
        return std::nullopt;
    }
    const Result<RelayCall> decoded = this->parts.headerCodec.decode(std::move(head));
    if (!decoded) {
        return std::nullopt;
    }
    const RelayCall &call = decoded.value();
    const Route *route = active->routes.find(call.host, pathOf(call));
    const std::shared_ptr<ServicePool> pool = route == nullptr || route->targets.empty()
        ? nullptr
        : this->parts.pools.find(targetFor(*route, routingKeyOf(call, identityOf(call), *route)).service);
    if (!pool || this->parts.drain.admits(now + timeLimitOf(call, *route), pool->expectedMaxCallTime(), now)) {
        return std::nullopt;
    }
    const Error error = shutdownError();
    this->requestCounters.at(std::string(errorCodeName(error.code)))->add();
    logRecord(LogLevel::Info,
              "relay",
              "refused a request before its body arrived: it could not complete before the shutdown",
              {{"request", call.requestId}, {"route", route->name}, {"limit_ms", milliseconds(timeLimitOf(call, *route))}});
    return refusalResponse(error, this->parts.headerCodec);
}

asio::awaitable<void> Relay::awaitConfiguration(RelayRequest &context)
{
    while (!context.active && currentTime() < context.arrived + configurationTimeout) {
        co_await sleepFor(configurationPollInterval);
        context.active = this->parts.configurationHolder.current();
    }
}

asio::awaitable<void> Relay::findRoute(RelayRequest &context)
{
    const std::string_view path = pathOf(context.call);
    const Time giveUpAt = context.arrived + std::min(context.call.timeLeft.value_or(announcedConfigurationTimeout), announcedConfigurationTimeout);
    while (true) {
        // Read before the search, or a configuration that arrives in between would be missed.
        const bool outdated = this->parts.configurationHolder.isOutdated();
        context.active = this->parts.configurationHolder.current();
        context.route = context.active->routes.find(context.call.host, path);
        identifyCaller(context);
        const bool found = context.route != nullptr && !context.route->targets.empty() && !lacksKey(context);
        if (found || !outdated || currentTime() >= giveUpAt) {
            co_return;
        }
        co_await sleepFor(configurationPollInterval);
    }
}

asio::awaitable<void> Relay::awaitMissedChanges(RelayRequest &context)
{
    const bool begins = context.route != nullptr && isResumable(*context.route) && !context.call.resumeAfter;
    if (!begins || !this->parts.versions.hasJustStoodStill(currentTime())) {
        co_return;
    }
    const Time giveUpAt = currentTime() + std::min(context.call.timeLeft.value_or(announcedConfigurationTimeout), announcedConfigurationTimeout);
    const auto mayHaveMissedChange = [this]() {
        return !this->parts.versions.isSettled(currentTime()) || this->parts.configurationHolder.isOutdated()
            || this->parts.targets.isNewerThan(this->parts.configurationHolder.current()->targets);
    };
    while (mayHaveMissedChange() && currentTime() < giveUpAt) {
        co_await sleepFor(configurationPollInterval);
    }
    co_await this->findRoute(context);
}

asio::awaitable<void> Relay::serve(RelayRequest &context)
{
    co_await this->awaitConfiguration(context);
    if (!context.active) {
        co_await this->refuse(context, relayError(ErrorCode::ServiceUnavailable, Step::ConfigFetch, Executed::No, "no configuration has been received yet"));
        co_return;
    }
    co_await this->findRoute(context);
    co_await this->awaitMissedChanges(context);
    if (context.route == nullptr || context.route->targets.empty()) {
        co_await this->refuse(context,
                              relayError(ErrorCode::NotFound, Step::Parse, Executed::No, "no route matches " + context.call.host + context.call.target));
        co_return;
    }
    this->identityCounters.at(static_cast<std::size_t>(identityOfCaller(context)))->add();
    if (lacksKey(context)) {
        co_await this->refuse(context,
                              relayError(ErrorCode::Unauthorised,
                                         Step::Authenticate,
                                         Executed::No,
                                         context.call.keyHash.empty() ? "the request presents no key" : "the key belongs to no organisation"));
        co_return;
    }
    if (context.call.resumeAfter && !isResumable(*context.route)) {
        co_await this->refuse(context,
                              relayError(ErrorCode::NotResumable,
                                         Step::Admit,
                                         Executed::No,
                                         "the route " + context.route->name + " does not allow a request that goes on behind an event"));
        co_return;
    }
    const std::string &service = targetFor(*context.route, routingKeyOf(context.call, context.identity, *context.route)).service;
    const auto foundService = context.active->services.find(service);
    context.deadline = context.arrived + timeLimitOf(context.call, *context.route);
    context.pool = this->parts.pools.find(service);
    if (foundService == context.active->services.end() || !context.pool) {
        co_await this->refuse(context, relayError(ErrorCode::NoEndpoint, Step::Queue, Executed::No, "the service " + service + " is not configured"));
        co_return;
    }
    context.service = &foundService->second;
    if (!this->parts.drain.admits(context, currentTime())) {
        co_await this->refuse(context, shutdownError());
        co_return;
    }
    const Result<void> allowed = co_await this->parts.allowances.admit(context);
    if (!allowed) {
        co_await this->refuse(context, allowed.error());
        co_return;
    }
    co_await this->serveAllowed(context);
    if (context.usesAllowance && context.sends == 0) {
        this->parts.allowances.giveBack(context, currentTime());
    }
}

asio::awaitable<void> Relay::serveAllowed(RelayRequest &context)
{
    const Tokens perEvent = this->parts.configurationHolder.smallestEvent(*context.service, currentTime());
    context.progress.continuity = StreamContinuity(context.call.resumeAfter, mostEvents(context.call, perEvent));
    context.retries.emplace(context.route->kind, context.route->resumable, context.route->maxAttempts);
    if (!co_await this->findStreamVersion(context)) {
        co_return;
    }
    const bool budgeted = context.route->kind == RouteKind::Stream && context.call.program && context.call.program->tokenBudget;
    if (budgeted) {
        const Result<void> reserved = co_await this->parts.budget.reserve(*context.call.program, context.call.maxTokens, context.call.requestId);
        if (!reserved) {
            co_await this->refuse(context, reserved.error());
            co_return;
        }
        context.reserved = true;
    }
    co_await this->serveAdmitted(context);
    if (context.stream) {
        const bool isBroken = context.progress.headSent && !context.streamed;
        this->parts.versions.onEnded(*context.stream, isBroken, currentTime());
    }
}

asio::awaitable<bool> Relay::findStreamVersion(RelayRequest &context)
{
    if (!isResumable(*context.route)) {
        co_return true;
    }
    const RelayCall &call = context.call;
    context.stream = streamOf(call, context.identity, context.service->name);
    if (!call.resumeAfter) {
        co_await this->parts.versions.awaitAssignments();
        co_return true;
    }
    std::optional<StreamOrigin> origin = this->parts.versions.knownOrigin(*context.stream, call.requestId);
    if (!origin && !co_await this->parts.versions.confirmRecords(context.arrived)) {
        const Result<StreamOrigin> answered = co_await this->parts.versions.askPeersFor(*context.stream, call.requestId);
        if (!answered) {
            co_await this->refuse(context, answered.error());
            co_return false;
        }
        origin = answered.value();
    }
    ServiceDoubt doubt = ServiceDoubt::None;
    if (!origin) {
        doubt = co_await this->findServiceDoubt(context);
    } else if (origin->service != context.service->name) {
        doubt = ServiceDoubt::OtherService;
    }
    if (doubt != ServiceDoubt::None) {
        co_await this->refuseForDoubt(context, doubt);
        co_return false;
    }
    if (origin) {
        context.streamVersion = origin->version;
        co_return true;
    }
    const Result<std::string> version = co_await this->parts.versions.findByRecords(*context.stream, call.requestId);
    if (!version) {
        co_await this->refuse(context, version.error());
        co_return false;
    }
    context.streamVersion = version.value();
    co_return true;
}

asio::awaitable<ServiceDoubt> Relay::findServiceDoubt(RelayRequest &context)
{
    const Time giveUpAt = std::min(context.deadline, currentTime() + announcedConfigurationTimeout);
    const Time recordGiveUpAt = std::min(context.deadline, currentTime() + targetRecordTimeout);
    const auto mayHaveMissedChange = [this]() {
        return this->parts.configurationHolder.isOutdated() || this->parts.versions.hasStoodStill(currentTime());
    };
    while (mayHaveMissedChange() && currentTime() < giveUpAt) {
        co_await sleepFor(configurationPollInterval);
    }
    if (mayHaveMissedChange() || this->parts.configurationHolder.current() != context.active) {
        co_return ServiceDoubt::OutdatedConfiguration;
    }
    while (!this->parts.targets.isRead() && currentTime() < recordGiveUpAt) {
        co_await sleepFor(configurationPollInterval);
    }
    const bool isRecordCurrent = co_await this->confirmTargetRecord(context);
    if (!isRecordCurrent) {
        co_return ServiceDoubt::RecordUnread;
    }
    if (!this->parts.targets.holds(context.active->targets) && !this->parts.targets.isAsNewAs(context.active->targets)) {
        co_return ServiceDoubt::RecordBehind;
    }
    const std::string_view path = pathOf(context.call);
    const std::string key = routingKeyOf(context.call, context.identity, *context.route);
    StreamOrigins origins = this->parts.configurationHolder.originsOf(*context.route, path, key, currentTime());
    this->parts.targets.addOrigins(*context.route, path, key, currentTime(), origins);
    if (origins.mayBeUnresumable) {
        co_return ServiceDoubt::Unresumable;
    }
    co_return origins.services.size() == 1 ? ServiceDoubt::None : ServiceDoubt::SeveralServices;
}

asio::awaitable<bool> Relay::confirmTargetRecord(RelayRequest &context)
{
    const VersionedTargets &targets = context.active->targets;
    const Time receivedAt = context.active->configuration.receivedAt;
    // Versions between that of the record and the active one may have had other targets, of which this instance may have missed the record.
    const Time now = currentTime();
    const Duration longest = std::max(longestTimeout(targets.routes), this->parts.targets.longestResumableTimeout(now));
    const bool mayHaveMissedRecord = now - receivedAt <= longest + targetChangeDelay;
    if (!this->parts.targets.isRead() || !mayHaveMissedRecord || this->parts.targets.isAsNewAs(targets)) {
        co_return this->parts.targets.isRead();
    }
    co_return co_await this->parts.versions.confirmRecords(receivedAt);
}

asio::awaitable<void> Relay::refuseForDoubt(RelayRequest &context, ServiceDoubt doubt)
{
    logRecord(LogLevel::Info,
              "relay",
              "the service that began a stream is not known",
              {{"request", context.call.requestId},
               {"resumes", context.call.resumedRequest},
               {"stream_fingerprint", hashText(context.stream->request)},
               {"route", context.route->name},
               {"service", context.service->name},
               {"config", std::to_string(context.active->configuration.version)},
               {"config_age_ms", milliseconds(currentTime() - context.active->configuration.receivedAt)},
               {"reason", std::string(nameIn(serviceDoubtNames, doubt))}});
    const Error error = relayError(ErrorCode::VersionUnknown,
                                   Step::Admit,
                                   Executed::No,
                                   "the targets of the route have changed or may have, and the service that began the stream is not known; the request may be "
                                   "sent again from its start");
    co_await this->refuse(context, error);
}

asio::awaitable<void> Relay::serveAdmitted(RelayRequest &context)
{
    NextStep nextStep = NextStep::TryElsewhere;
    while (nextStep == NextStep::TryElsewhere || nextStep == NextStep::TrySame) {
        EndpointId requiredEndpoint;
        if (nextStep == NextStep::TrySame) {
            requiredEndpoint = context.placement->endpoint.id;
        }
        nextStep = co_await this->sendOnce(context, std::move(requiredEndpoint));
    }
    // A caller may send its next turn as soon as the answer ends.
    co_await this->settle(context);
    co_await this->sendFinalAnswer(context, nextStep);
}

asio::awaitable<void> Relay::settle(RelayRequest &context)
{
    if (!context.reserved) {
        co_return;
    }
    context.reserved = false;
    const auto used = static_cast<Tokens>(context.progress.continuity.passedOn()) * context.service->tokensPerEvent;
    co_await this->parts.budget.settle(*context.call.program, context.call.requestId, used);
}

void Relay::recordRunEnd(const RelayRequest &context, const SendResult &result, Time startedAt, Time now)
{
    const EndpointId &endpoint = result.report.endpoint;
    if (result.report.outcome == SendOutcome::Answered) {
        this->parts.crashes.endWithAnswer(context.identity, endpoint, now);
    } else if (result.report.outcome == SendOutcome::Broken && result.report.endpointGone) {
        this->parts.crashes.endWithCrash(context.identity, endpoint, startedAt, now, context.call.requestId);
    } else {
        this->parts.crashes.endWithoutAnswer(context.identity, endpoint);
    }
}

asio::awaitable<NextStep> Relay::sendOnce(RelayRequest &context, EndpointId requiredEndpoint)
{
    SendAttempt attempt;
    attempt.requiredEndpoint = std::move(requiredEndpoint);
    const SendDecision decision = co_await this->steps.prepare(context, attempt);
    switch (decision) {
    case SendDecision::Proceed:
        break;
    case SendDecision::Again:
        co_return attempt.requiredEndpoint.empty() ? NextStep::TryElsewhere : NextStep::TrySame;
    case SendDecision::Refuse:
        co_return context.retries->mayHaveRun() ? NextStep::FailUnknown : NextStep::RefuseNotRun;
    case SendDecision::CallerLeft:
        co_return NextStep::Stop;
    }
    context.sends += 1;
    if (this->mayHedge(context)) {
        co_return co_await this->sendWithHedge(context, std::move(attempt));
    }
    RunState state{context.cancellation, context.held, context.progress, context.path};
    const SendResult result = co_await this->run(context, attempt, std::move(state));
    co_return this->judge(context, attempt, result);
}

asio::awaitable<SendResult> Relay::run(RelayRequest &context, const SendAttempt &attempt, RunState state)
{
    const EndpointSpec endpoint = attempt.endpoint;
    const CallId id = attempt.call;
    const auto onEvents = [this, &context, &endpoint, id, isTold = false](std::uint64_t events) mutable {
        if (context.stream && events > 0 && !std::exchange(isTold, true)) {
            this->parts.versions.onEvents(*context.stream, endpoint.version);
        }
        context.pool->progress(id, static_cast<Tokens>(events) * context.service->tokensPerEvent, currentTime());
    };
    const auto onAnswerHead = [this, &endpoint](const AnswerMetadata &metadata) {
        this->parts.limiter.onAnswer(endpoint, metadata, currentTime());
        this->parts.leaving.onAnswer(endpoint, metadata, currentTime());
    };
    const auto onConnection = [&state](const ConnectionPath &path) {
        state.path = path;
    };
    // Much may have changed since the endpoint was chosen: the wait for a permit, a record or a connection takes its time.
    const auto maySend = [this, &context, &state, &endpoint]() {
        return !state.cancellation->isCancelled() && context.pool->takesCalls(endpoint.id) && this->parts.drain.admits(context, currentTime())
            && beginRun(context);
    };
    EndpointSend send(EndpointSend::Parts{this->parts.client,
                                          this->parts.headerCodec,
                                          context.exchange,
                                          state.progress,
                                          this->parts.habits,
                                          context.service->name,
                                          !context.pool->hasOther(endpoint.version, endpoint.id),
                                          context.unnamedAnswersAt.contains(endpoint.id),
                                          state.held,
                                          onAnswerHead,
                                          onEvents,
                                          onConnection,
                                          maySend},
                      context.call,
                      context.route->kind,
                      context.retries->repeatable(),
                      state.cancellation);
    const int endpointPriority = std::clamp(context.rank, 0, lowestPriority);
    context.atEndpoint = true;
    SendResult result = co_await send.run(endpoint, endpointPriority, this->parts.drain.limit(context.deadline), currentTime());
    context.atEndpoint = false;
    if (result.report.outcome == SendOutcome::NotSent || result.report.outcome == SendOutcome::Refused) {
        context.cancellation->revokeCommit();
    }
    // A broken connection alone does not tell whether its endpoint has ended.
    if (result.report.endpointGone) {
        result.listening = Listening::No;
    }
    if (result.report.outcome == SendOutcome::Broken && result.listening == Listening::Unknown && !result.connectionLost) {
        result.listening = co_await this->parts.client.probe(endpoint.address, probeTimeout);
        result.report.endpointGone = result.listening == Listening::No;
    }
    result.report.broughtEvents = result.run.events > 0;
    result.report.canContinue = state.progress.continuity.canContinue();
    co_return result;
}

struct Relay::HedgedRun
{
    explicit HedgedRun(MemoryBudget &memory)
        : held(&memory, HeldFor::Answer)
    {
    }

    //! Returns whether the run has brought an answer that is no failure of its endpoint.
    bool isGood() const
    {
        return this->result && this->result->report.outcome == SendOutcome::Answered && !this->result->report.endpointFailed;
    }

    SendAttempt attempt{};
    std::optional<Placement> placement{};
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    HeldMemory held;
    StreamProgress progress{};
    ConnectionPath path{};
    std::optional<SendResult> result{};
};

bool Relay::mayHedge(const RelayRequest &context) const
{
    return this->parts.hedging.isEnabled() && context.route->kind == RouteKind::Idempotent && context.route->maxAttempts >= 2 && context.sends == 1;
}

asio::awaitable<void> Relay::runHedged(RelayRequest &context, HedgedRun &run, AsyncSignal &ended)
{
    RunState state{run.cancellation, run.held, run.progress, run.path};
    run.result = co_await this->run(context, run.attempt, std::move(state));
    ended.notify();
}

asio::awaitable<bool> Relay::prepareHedge(RelayRequest &context, EndpointId firstEndpoint, SendAttempt &attempt)
{
    const Time now = currentTime();
    if (context.pool->waitingCount() > 0 || !this->parts.allowances.takeSpare(context, now)
        || !this->parts.hedging.take(context.service->name, context.pool->occupancy(), now)) {
        co_return false;
    }
    attempt.otherEndpoint = std::move(firstEndpoint);
    attempt.placeBefore = now + maxHedgeWait;
    const SendDecision decision = co_await this->steps.prepare(context, attempt);
    co_return decision == SendDecision::Proceed;
}

asio::awaitable<NextStep> Relay::sendWithHedge(RelayRequest &context, SendAttempt attempt)
{
    const auto executor = co_await asio::this_coro::executor;
    const std::string service = context.service->name;
    this->parts.hedging.onSent(service, currentTime());
    AsyncSignal ended;
    HedgedRun first(this->parts.memory);
    HedgedRun second(this->parts.memory);
    first.attempt = std::move(attempt);
    first.placement = context.placement;
    context.cancellation->setHook([&context, firstRun = first.cancellation, secondRun = second.cancellation]() {
        const CancelReason reason = context.cancellation->reason().value_or(CancelReason::CallerLeft);
        firstRun->cancel(reason);
        secondRun->cancel(reason);
    });
    asio::co_spawn(executor, this->runHedged(context, first, ended), asio::detached);
    const std::optional<Duration> delay = this->parts.hedging.delay(service);
    co_await ended.wait(delay.value_or(hedgeCheckInterval));
    bool isHedged = false;
    if (delay && !first.result && !context.cancellation->isCancelled()) {
        isHedged = co_await this->prepareHedge(context, first.attempt.endpoint.id, second.attempt);
    }
    if (isHedged && first.result) {
        // The answer came while the second send was prepared.
        this->parts.crashes.endWithoutAnswer(context.identity, second.attempt.endpoint.id);
        context.pool->finish(second.attempt.call, true, currentTime());
        isHedged = false;
    }
    if (isHedged) {
        second.placement = context.placement;
        context.sends += 1;
        context.retries->onFurtherSend(first.attempt.endpoint.id);
        context.retries->onFurtherSend(second.attempt.endpoint.id);
        asio::co_spawn(executor, this->runHedged(context, second, ended), asio::detached);
    }
    while (!first.isGood() && !second.isGood() && (!first.result || (isHedged && !second.result))) {
        co_await ended.wait(hedgeCheckInterval);
    }
    for (HedgedRun *run : {&first, &second}) {
        if (!run->result) {
            run->cancellation->cancel(CancelReason::CallerLeft);
        }
    }
    while (!first.result || (isHedged && !second.result)) {
        co_await ended.wait(hedgeCheckInterval);
    }
    context.cancellation->setHook({});
    context.atEndpoint = false;
    co_return co_await this->judgeHedged(context, first, isHedged ? &second : nullptr);
}

asio::awaitable<NextStep> Relay::judgeHedged(RelayRequest &context, HedgedRun &first, HedgedRun *second)
{
    HedgedRun &better = second != nullptr && !first.isGood() ? *second : first;
    if (second != nullptr) {
        HedgedRun &other = &better == second ? first : *second;
        this->parts.hedging.count(&better == second);
        other.held.release();
        if (better.isGood() && other.result->report.outcome == SendOutcome::CallerLeft) {
            other.result->detail = "another endpoint answered before";
        }
        context.path = other.path;
        this->judge(context, other.attempt, std::move(*other.result));
    }
    context.placement = better.placement;
    context.path = better.path;
    better.held.release();
    if (better.result->answer) {
        context.held.describe(HeldFor::Answer, true);
        co_await context.held.hold(better.result->answer->body.capacity(), currentTime());
    }
    co_return this->judge(context, better.attempt, std::move(*better.result));
}

NextStep Relay::judge(RelayRequest &context, const SendAttempt &attempt, SendResult result)
{
    const EndpointSpec &endpoint = attempt.endpoint;
    this->recordRunEnd(context, result, attempt.startedAt, currentTime());
    if (context.stream && context.progress.continuity.passedOn() > 0 && !context.streamVersion) {
        context.streamVersion = endpoint.version;
    }
    if (result.refusedAsMisdirected) {
        context.misdirectedAt.insert(endpoint.id);
    }
    if (result.report.isUnnamedAnswer) {
        context.unnamedAnswersAt.insert(endpoint.id);
    }
    const SendOutcome outcome = result.report.outcome;
    if (outcome == SendOutcome::Answered && context.route->kind == RouteKind::Idempotent && this->parts.hedging.isEnabled()) {
        this->parts.hedging.onAnswered(context.service->name, currentTime() - attempt.startedAt);
    }
    const NextStep next = context.retries->after(result.report);
    // An end that is not believed is a broken stream like others: the next ones go elsewhere for a while, which also shows how other endpoints end theirs.
    const bool isBelieved = outcome == SendOutcome::Unconfirmed && next != NextStep::FailUnknown;
    const bool healthy = outcome == SendOutcome::Answered || isBelieved || outcome == SendOutcome::Refused || outcome == SendOutcome::CallerLeft
        || outcome == SendOutcome::CutOff || result.noConnectionLeft || result.connectionLost || result.endedForMemory;
    context.pool->finish(attempt.call, healthy, currentTime());
    if (result.report.outcome != SendOutcome::Answered) {
        this->parts.metrics.count("oleandergate_sends_failed_total", "end=\"" + std::string(nameIn(sendOutcomeNames, result.report.outcome)) + "\"");
        logRecord(LogLevel::Info,
                  "relay",
                  "a send ended without an answer",
                  {{"request", context.call.requestId},
                   {"endpoint", endpoint.id},
                   {"address", endpoint.address},
                   {"version", endpoint.version},
                   {"via", context.path.peer},
                   {"tunnel", std::to_string(context.path.tunnel)},
                   {"fingerprint", hashText(context.identity.exact)},
                   {"start_fingerprint", hashText(context.identity.start)},
                   {"end", std::string(nameIn(sendOutcomeNames, result.report.outcome))},
                   {"endpoint_listens", std::string(nameIn(listeningNames, result.listening))},
                   {"next", std::string(nameIn(nextStepNames, next))},
                   {"events", std::to_string(context.progress.continuity.passedOn())},
                   {"run_events", std::to_string(result.run.events)},
                   {"run_resumed_after", textOf(result.run.resumedAfter)},
                   {"run_first_event", textOf(result.run.firstEvent)},
                   {"run_last_event", textOf(result.run.lastEvent)},
                   {"used_connection", result.run.onUsedConnection ? "yes" : "no"},
                   {"left_ms", milliseconds(context.deadline - currentTime())},
                   {"detail", result.detail}});
        // The caller gets this error only with NextStep::RefuseNotRun, that is when the request did not run at any endpoint.
        context.lastError = relayError(ErrorCode::NoEndpoint, Step::Send, Executed::No, result.detail);
    }
    context.answer = std::move(result.answer);
    context.streamed = result.streamed && next == NextStep::Deliver;
    context.run = result.run;
    context.endedWithConnection = result.endedWithConnection;
    context.unfinishedBytes = result.unfinishedBytes;
    return next;
}

asio::awaitable<void> Relay::sendFinalAnswer(RelayRequest &context, NextStep nextStep)
{
    if (context.progress.headSent && !context.streamed) {
        // Closing without the final chunk shows the caller that the stream is incomplete.
        context.exchange.closeAfterResponse();
        context.outcome = brokenOffOutcome;
        co_return;
    }
    switch (nextStep) {
    case NextStep::Deliver:
        if (context.streamed) {
            context.status = 200;
            context.outcome = streamedOutcome;
            co_await context.exchange.endStream();
            co_return;
        }
        context.answer->headers = endToEndHeaders(context.answer->headers);
        context.answer->contentType.clear();
        context.status = context.answer->status;
        context.outcome = answeredOutcome;
        context.held.describe(HeldFor::UnsentAnswer, true);
        context.held.setEnding([&exchange = context.exchange]() {
            exchange.abandon();
        });
        co_await context.exchange.respond(std::move(*context.answer));
        co_return;
    case NextStep::RefuseNotRun:
        co_await this->refuse(context,
                              context.lastError.value_or(relayError(ErrorCode::NoEndpoint, Step::Send, Executed::No, "no endpoint accepted the request")));
        co_return;
    case NextStep::FailLate:
        co_await this->refuse(context, relayError(ErrorCode::Timeout, Step::Stream, Executed::Unknown, "the endpoint did not answer before the deadline"));
        co_return;
    case NextStep::Stop:
        context.exchange.closeAfterResponse();
        if (context.route->kind == RouteKind::Once) {
            // It was not sent. A caller that closed only its sending side learns so.
            co_await this->refuse(
                context, relayError(ErrorCode::ServiceUnavailable, Step::Send, Executed::No, "the caller closed its connection before the request was sent"));
        }
        context.outcome = callerLeftOutcome;
        co_return;
    case NextStep::FailUnknown:
    case NextStep::TryElsewhere:
    case NextStep::TrySame:
        break;
    }
    const bool isExplained
        = context.lastError && (context.lastError->code == ErrorCode::CrashesEndpoints || context.cancellation->reason() == CancelReason::Shutdown);
    std::string detail = isExplained ? context.lastError->detail : "the endpoint gave no complete answer";
    co_await this->refuse(context, relayError(ErrorCode::OutcomeUnknown, Step::Send, Executed::Unknown, std::move(detail)));
}

asio::awaitable<void> Relay::refuse(RelayRequest &context, const Error &error)
{
    HttpResponse response = refusalResponse(error, this->parts.headerCodec);
    context.status = response.status;
    context.outcome = std::string(errorCodeName(error.code));
    context.lastError = error;
    co_await context.exchange.respond(std::move(response));
}

void Relay::recordOutcome(const RelayRequest &context) const
{
    const Time now = currentTime();
    const std::string route = context.route == nullptr ? std::string("none") : context.route->name;
    this->requestCounters.at(context.outcome)->add();
    this->requestSeconds.observe(now - context.arrived);
    const bool failed = context.outcome != answeredOutcome && context.outcome != streamedOutcome;
    const std::optional<Duration> timeToFinish = context.call.program ? context.call.program->timeToFinish : std::nullopt;
    const Placement placement = context.placement.value_or(Placement{});
    logRecord(LogLevel::Info,
              "relay",
              "request ended",
              {{"request", context.call.requestId},
               {"fingerprint", hashText(context.identity.exact)},
               {"start_fingerprint", hashText(context.identity.start)},
               {"program", context.call.program ? context.call.program->program : std::string()},
               {"route", route},
               {"config", std::to_string(context.active ? context.active->configuration.version : 0)},
               {"endpoint", placement.endpoint.id},
               {"version", placement.endpoint.version},
               {"via", context.path.peer},
               {"tunnel", std::to_string(context.path.tunnel)},
               {"stream_version", context.streamVersion.value_or(std::string())},
               {"resumes", context.call.resumedRequest},
               {"resumes_after", textOf(context.call.resumeAfter)},
               {"stream_fingerprint", context.stream ? hashText(context.stream->request) : std::string()},
               {"own_calls", std::to_string(placement.ownCalls)},
               {"peer_calls", std::to_string(placement.peerCalls)},
               {"cached_tokens", std::to_string(placement.cachedTokens)},
               {"prompt_tokens", std::to_string(context.call.promptTokens)},
               {"finish_ms", timeToFinish ? milliseconds(*timeToFinish) : std::string()},
               {"outcome", context.outcome},
               {"status", std::to_string(context.status)},
               {"sends", std::to_string(context.sends)},
               {"events", std::to_string(context.progress.continuity.passedOn())},
               {"run_events", std::to_string(context.run.events)},
               {"run_first_event", textOf(context.run.firstEvent)},
               {"run_last_event", textOf(context.run.lastEvent)},
               {"complete", std::string(nameIn(evidenceNames, context.run.complete))},
               {"used_connection", context.run.onUsedConnection ? "yes" : "no"},
               {"ended_by", context.endedWithConnection ? std::string("connection") : std::string("framing")},
               {"unfinished_bytes", std::to_string(context.unfinishedBytes)},
               {"waited_ms", milliseconds(context.waited)},
               {"rate_declined", std::to_string(context.declined)},
               {"permit_ms", milliseconds(context.permitWait)},
               {"took_ms", milliseconds(now - context.arrived)},
               {"organisation", context.call.organisation},
               {"rank", std::to_string(context.rank)},
               {"allowance_ms", milliseconds(context.allowanceWait)},
               {"detail", failed && context.lastError ? context.lastError->detail : std::string()}});
}

} // namespace oleandergate
