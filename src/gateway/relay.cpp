#include "gateway/relay.h"

#include "gateway/endtoend.h"
#include "runtime/asyncsignal.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"
#include "runtime/errorresponse.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! When a refused caller should come back if nothing better is known: about one turn of an engine.
constexpr Duration usualRetryAfter = std::chrono::milliseconds(250);

//! A process that has just started knows its configuration within this time, or not soon.
constexpr Duration planPatience = std::chrono::milliseconds(200);
constexpr Duration planLook = std::chrono::milliseconds(10);

//! When a caller should come back to reach another instance: a new connection is all it needs.
constexpr Duration otherInstanceRetryAfter = std::chrono::milliseconds(20);

//! How requests end that have no error code.
constexpr const char *streamedOutcome = "streamed";
constexpr const char *answeredOutcome = "answered";
constexpr const char *brokenOffOutcome = "broken-off";
constexpr const char *callerLeftOutcome = "caller-left";

//! Most urgent and least urgent value that endpoints know.
constexpr int leastUrgent = 9;

Error error(ErrorCode code, Step step, Ran ran, std::string detail)
{
    Error out{code, step, {}, ran, std::nullopt, std::move(detail)};
    if (ran == Ran::No && code != ErrorCode::NotFound && code != ErrorCode::BadRequest) {
        out.retryAfter = usualRetryAfter;
    }
    return out;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::round<std::chrono::milliseconds>(duration).count());
}

} // namespace

//! One request on its way.
struct Relay::Job
{
    Job(HttpExchange &given, Time now)
        : exchange(given)
        , arrived(now)
    {
    }

    HttpExchange &exchange;
    Time arrived;
    Time deadline{};
    RelayCall call{};
    std::shared_ptr<const ActivePlan> plan{};
    const Route *route = nullptr;
    const GatewayService *service = nullptr;
    std::shared_ptr<ServicePool> pool{};
    std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
    StreamProgress progress{};
    std::optional<RetryPlan> retries{};
    std::optional<HttpResponse> answer{};
    bool streamed = false;
    std::optional<Error> lastRefusal{};
    EndpointId endpoint{};
    std::uint32_t sends = 0;
    Duration waited{};
    int status = 0;
    std::string outcome{};
};

Relay::Relay(const Parts &parts)
    : parts(parts)
    , requestSeconds(parts.metrics.histogram("oleandergate_request_seconds"))
{
    std::vector<std::string> outcomes{streamedOutcome, answeredOutcome, brokenOffOutcome, callerLeftOutcome};
    for (const NamedValue<ErrorCode> &code : errorCodeNames) {
        outcomes.emplace_back(code.name);
    }
    for (const std::string &outcome : outcomes) {
        this->ended[outcome] = &parts.metrics.counter("oleandergate_requests_total", "outcome=\"" + outcome + "\"");
    }
}

void Relay::endBy(Time newEnd)
{
    this->end = newEnd;
}

asio::awaitable<void> Relay::handle(HttpRequest request, HttpExchange &exchange)
{
    Job job(exchange, currentTime());
    job.plan = this->parts.plans.current();
    Result<RelayCall> decoded = this->parts.dialect.decode(std::move(request));
    if (!decoded) {
        co_await this->refuse(job, decoded.error());
    } else {
        job.call = std::move(decoded.value());
        co_await this->serve(job);
    }
    this->note(job);
}

asio::awaitable<void> Relay::awaitPlan(Job &job)
{
    while (!job.plan && currentTime() < job.arrived + planPatience) {
        co_await sleepFor(planLook);
        job.plan = this->parts.plans.current();
    }
}

asio::awaitable<void> Relay::serve(Job &job)
{
    co_await this->awaitPlan(job);
    if (!job.plan) {
        co_await this->refuse(job, error(ErrorCode::ServiceUnavailable, Step::ConfigFetch, Ran::No, "no configuration is known yet"));
        co_return;
    }
    job.route = job.plan->routes.find(job.call.host, std::string_view(job.call.target).substr(0, job.call.target.find('?')));
    if (job.route == nullptr || job.route->targets.empty()) {
        co_await this->refuse(job, error(ErrorCode::NotFound, Step::Parse, Ran::No, "no route leads to " + job.call.host + job.call.target));
        co_return;
    }
    const std::string &key = job.call.program ? job.call.program->line : job.call.requestId;
    const std::string &service = targetFor(*job.route, key).service;
    const auto known = job.plan->services.find(service);
    job.pool = this->parts.pools.find(service);
    if (known == job.plan->services.end() || !job.pool) {
        co_await this->refuse(job, error(ErrorCode::NoEndpoint, Step::Queue, Ran::No, "the service " + service + " is not known"));
        co_return;
    }
    job.service = &known->second;
    job.deadline = job.arrived + std::min(job.call.timeLeft.value_or(job.route->timeout), job.route->timeout);
    if (std::min(job.deadline, job.arrived + job.pool->usualLongest()) > this->end.load()) {
        job.exchange.closeAfterResponse();
        Error ending = error(ErrorCode::ServiceUnavailable, Step::Drain, Ran::No, "the instance ends before the request could");
        ending.retryAfter = otherInstanceRetryAfter;
        co_await this->refuse(job, ending);
        co_return;
    }
    job.retries.emplace(job.route->kind, job.route->resumable, job.route->maxAttempts);
    if (job.route->kind != RouteKind::Once) {
        // A request that runs at most once has its effect whether or not somebody waits for the answer.
        job.exchange.onCallerDisconnected([cancellation = job.cancellation]() {
            cancellation->cancel();
        });
    }
    const bool budgeted = job.route->kind == RouteKind::Stream && job.call.program && job.call.program->tokenBudget;
    if (budgeted) {
        const Result<void> reserved = co_await this->parts.budget.reserve(*job.call.program, job.call.maxTokens, job.call.requestId);
        if (!reserved) {
            co_await this->refuse(job, reserved.error());
            co_return;
        }
    }
    co_await this->serveAdmitted(job);
    if (budgeted) {
        const auto used = static_cast<Tokens>(job.progress.events) * job.service->tokensPerEvent;
        this->parts.budget.settle(*job.call.program, job.call.requestId, used);
    }
}

asio::awaitable<void> Relay::serveAdmitted(Job &job)
{
    NextStep step = NextStep::TryElsewhere;
    while (step == NextStep::TryElsewhere || step == NextStep::TrySame) {
        EndpointId only;
        if (step == NextStep::TrySame) {
            only = job.endpoint;
        }
        step = co_await this->sendOnce(job, std::move(only));
    }
    co_await this->conclude(job, step);
}

asio::awaitable<NextStep> Relay::sendOnce(Job &job, EndpointId only)
{
    QueuedCall queued;
    queued.call = this->nextCall++;
    queued.program = job.call.program ? job.call.program->program : job.call.requestId;
    queued.branch = job.call.program ? job.call.program->line : std::string();
    queued.priority = -job.route->rank;
    queued.parts = job.call.parts;
    queued.promptTokens = job.call.promptTokens;
    queued.maxTokens = job.call.maxTokens;
    queued.deadline = job.deadline;
    queued.programDeadline = job.arrived + (job.call.program ? job.call.program->timeToFinish : std::nullopt).value_or(job.route->objective);
    queued.only = std::move(only);
    queued.avoid = job.retries->avoided();
    const CallId id = queued.call;
    const Time queuedAt = currentTime();
    const Result<Placement> placed = co_await job.pool->place(std::move(queued), job.cancellation);
    job.waited += currentTime() - queuedAt;
    if (!placed) {
        job.lastRefusal = placed.error();
        if (job.cancellation->isCancelled()) {
            co_return NextStep::Stop;
        }
        co_return job.retries->mayHaveRun() ? NextStep::FailUnknown : NextStep::RefuseNotRun;
    }
    const EndpointSpec endpoint = placed.value().endpoint;
    job.endpoint = endpoint.id;
    job.sends += 1;
    const auto onEvents = [&job, id](std::uint64_t events) {
        job.pool->progress(id, static_cast<Tokens>(events) * job.service->tokensPerEvent, currentTime());
    };
    EndpointSend send(
        EndpointSend::Parts{this->parts.client, this->parts.dialect, job.exchange, job.progress, onEvents}, job.call, job.route->kind, job.cancellation);
    const int urgency = std::min(leastUrgent, job.route->rank);
    SendResult result = co_await send.run(endpoint, urgency, job.deadline, currentTime());
    const bool healthy = result.report.end == SendEnd::Answered || result.report.end == SendEnd::Refused || result.report.end == SendEnd::CallerLeft;
    job.pool->finish(id, healthy, currentTime());
    const NextStep next = job.retries->after(result.report);
    if (result.report.end != SendEnd::Answered) {
        this->parts.metrics.count("oleandergate_sends_failed_total", "end=\"" + std::string(nameIn(sendEndNames, result.report.end)) + "\"");
        logRecord(LogLevel::Info,
                  "relay",
                  "a send did not end with an answer",
                  {{"request", job.call.requestId},
                   {"endpoint", endpoint.id},
                   {"address", endpoint.address},
                   {"end", std::string(nameIn(sendEndNames, result.report.end))},
                   {"next", std::string(nameIn(nextStepNames, next))},
                   {"events", std::to_string(job.progress.events)},
                   {"left_ms", milliseconds(job.deadline - currentTime())},
                   {"detail", result.detail}});
        job.lastRefusal = error(ErrorCode::NoEndpoint, Step::Send, Ran::No, result.detail);
    }
    job.answer = std::move(result.answer);
    job.streamed = result.streamed;
    co_return next;
}

asio::awaitable<void> Relay::conclude(Job &job, NextStep step)
{
    if (job.progress.headSent && !job.streamed) {
        // Closing without the last chunk shows the caller that the stream is not whole.
        job.exchange.closeAfterResponse();
        job.outcome = brokenOffOutcome;
        co_return;
    }
    switch (step) {
    case NextStep::Deliver:
        if (job.streamed) {
            job.status = 200;
            job.outcome = streamedOutcome;
            co_await job.exchange.endStream();
            co_return;
        }
        job.answer->headers = endToEndHeaders(job.answer->headers);
        job.answer->contentType.clear();
        job.status = job.answer->status;
        job.outcome = answeredOutcome;
        co_await job.exchange.respond(std::move(*job.answer));
        co_return;
    case NextStep::RefuseNotRun:
        co_await this->refuse(job, job.lastRefusal.value_or(error(ErrorCode::NoEndpoint, Step::Send, Ran::No, "no endpoint took the request")));
        co_return;
    case NextStep::FailLate:
        co_await this->refuse(job, error(ErrorCode::Timeout, Step::Stream, Ran::Unknown, "the endpoint did not answer in time"));
        co_return;
    case NextStep::Stop:
        job.outcome = callerLeftOutcome;
        job.exchange.closeAfterResponse();
        co_return;
    case NextStep::FailUnknown:
    case NextStep::TryElsewhere:
    case NextStep::TrySame:
        break;
    }
    co_await this->refuse(job, error(ErrorCode::OutcomeUnknown, Step::Send, Ran::Unknown, "the endpoint gave no whole answer"));
}

asio::awaitable<void> Relay::refuse(Job &job, const Error &error)
{
    HttpResponse response = responseOf(error);
    std::erase_if(response.headers, [](const HttpHeader &header) {
        return header.name == "Retry-After";
    });
    if (error.ran == Ran::No && error.retryAfter) {
        response.headers.push_back(this->parts.dialect.retryAfter(*error.retryAfter));
    }
    job.status = response.status;
    job.outcome = std::string(errorCodeName(error.code));
    job.lastRefusal = error;
    co_await job.exchange.respond(std::move(response));
}

void Relay::note(const Job &job) const
{
    const Time now = currentTime();
    const std::string route = job.route == nullptr ? std::string("none") : job.route->name;
    this->ended.at(job.outcome)->add();
    this->requestSeconds.observe(now - job.arrived);
    const bool failed = job.outcome != answeredOutcome && job.outcome != streamedOutcome;
    logRecord(LogLevel::Info,
              "relay",
              "request ended",
              {{"request", job.call.requestId},
               {"program", job.call.program ? job.call.program->program : std::string()},
               {"route", route},
               {"config", std::to_string(job.plan ? job.plan->configuration.version : 0)},
               {"endpoint", job.endpoint},
               {"outcome", job.outcome},
               {"status", std::to_string(job.status)},
               {"sends", std::to_string(job.sends)},
               {"events", std::to_string(job.progress.events)},
               {"waited_ms", milliseconds(job.waited)},
               {"took_ms", milliseconds(now - job.arrived)},
               {"detail", failed && job.lastRefusal ? job.lastRefusal->detail : std::string()}});
}

} // namespace oleandergate
