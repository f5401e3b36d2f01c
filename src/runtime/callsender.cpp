#include "runtime/callsender.h"

#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/chatdocument.h"
#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "runtime/dispatchservice.h"
#include "runtime/enginestream.h"
#include "runtime/eventlog.h"
#include "runtime/metrics.h"
#include "runtime/programservice.h"
#include "runtime/requesttarget.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusInternalServerError = 500;
constexpr int statusServiceUnavailable = 503;
constexpr MicroUnits tokensPerPriceUnit = 1000;
constexpr int maxOutcomeQueries = 3;
constexpr Duration outcomeQueryInterval = std::chrono::milliseconds(200);

MicroUnits priceOf(Tokens tokens, MicroUnits pricePerThousand)
{
    return (tokens * pricePerThousand + tokensPerPriceUnit - 1) / tokensPerPriceUnit;
}

//! Answers of engines and services name no request: only on a connection without other calls is an answer certainly this call's.
void useOwnConnection(HttpCall &call)
{
    call.reuse = false;
    call.isUnique = [](const HttpResponse & /*response*/) {
        return false;
    };
}

AttemptFailure failureOf(const HttpFailure &failure, const EndpointId &endpoint)
{
    AttemptFailure attempt;
    attempt.error = failure.error;
    attempt.error.peer = endpoint;
    attempt.endpoint = endpoint;
    attempt.provablyNotSent = failure.provablyNotSent;
    return attempt;
}

AttemptFailure failureOf(ErrorCode code, Step step, const EndpointId &endpoint, bool notSent, const std::string &detail)
{
    AttemptFailure attempt;
    attempt.error = Error{code, step, endpoint, notSent ? Executed::No : Executed::Unknown, std::nullopt, detail};
    attempt.endpoint = endpoint;
    attempt.provablyNotSent = notSent;
    return attempt;
}

} // namespace

CallSender::CallSender(DispatchService &dispatch, ProgramService &programs, HttpClient &client, ClusterView &view, EventLog &events, Metrics &metrics)
    : dispatch(dispatch)
    , programs(programs)
    , client(client)
    , view(view)
    , events(events)
    , callSeconds(metrics.histogram("oleandergate_engine_call_seconds"))
{
}

asio::awaitable<void> CallSender::run(DispatchedCallPointer dispatched, DispatchPoolPointer pool, Placement placement)
{
    std::optional<PoolConfig> poolConfig;
    std::optional<ServiceConfig> serviceConfig;
    {
        const std::lock_guard lock(pool->mutex);
        poolConfig = pool->modelConfig;
        serviceConfig = pool->serviceConfig;
    }
    {
        const std::lock_guard lock(dispatched->mutex);
        dispatched->cancellation = std::make_shared<Cancellation>();
    }
    const Result<void> allowed = this->programs.beginSend(dispatched->call, placement.endpoint.id);
    if (!allowed) {
        AttemptFailure failure;
        failure.error = allowed.error();
        failure.provablyNotSent = true;
        this->programs.refuseReady(dispatched->call, allowed.error());
        this->dispatch.onFailed(dispatched, failure);
        co_return;
    }
    this->events.record(
        Step::Send, dispatched->request.program, dispatched->request.requestId, placement.endpoint.id + (placement.expectsCache ? " (cached)" : ""));
    if (poolConfig) {
        co_await this->callEngine(dispatched, *poolConfig, placement);
    } else if (serviceConfig) {
        co_await this->callService(dispatched, *serviceConfig, placement);
    }
}

HttpCall CallSender::makeCall(const DispatchedCall &dispatched, const Placement &placement) const
{
    HttpCall call;
    call.address = placement.endpoint.address;
    call.method = "POST";
    call.target = dispatched.request.path;
    call.mayEndWithConnection = true;
    useOwnConnection(call);
    call.cancellation = dispatched.cancellation;
    call.maySend = [this, id = dispatched.call]() {
        return this->programs.mayStillSend(id);
    };
    const SlotRecord slot = this->view.recordOf(slotOf(dispatched.request.program, this->view.slotCount()));
    call.headers = {
        {"Content-Type", "application/json"},
        {"Idempotency-Key", dispatched.request.requestId},
        {"Program-Id", dispatched.request.program},
        {"Program-Branch", dispatched.request.branch},
        {"Program-Sequence", std::to_string(dispatched.request.sequence)},
        {"Fencing-Number", std::to_string(slot.epoch)},
    };
    return call;
}

asio::awaitable<void> CallSender::callEngine(DispatchedCallPointer dispatched, PoolConfig config, Placement placement)
{
    std::string text;
    EngineStream stream([this, &dispatched, &text](const std::string &chunk, Tokens tokens) {
        text += chunk;
        this->programs.push(dispatched->call, chunk);
        this->dispatch.onProgress(dispatched, tokens);
    });
    HttpCall call = this->makeCall(*dispatched, placement);
    call.body = engineRequestBody(dispatched->request, dispatched->generated, dispatched->generatedTokens);
    call.idleTimeout = config.idleTimeout;
    call.onBodyChunk = [&stream](int status, std::string_view chunk) {
        if (status == statusOk) {
            stream.feed(chunk);
        }
    };
    const Time started = currentTime();
    const HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Stream);
    this->callSeconds.observe(currentTime() - started);
    this->handleEngineOutcome(dispatched, config, placement, outcome, stream, text);
}

void CallSender::handleEngineOutcome(const DispatchedCallPointer &dispatched,
                                     const PoolConfig &config,
                                     const Placement &placement,
                                     const HttpOutcome &outcome,
                                     const EngineStream &stream,
                                     const std::string &text)
{
    const EndpointId &endpoint = placement.endpoint.id;
    const int status = outcome ? outcome.value().status : 0;
    const bool complete = status == statusOk && stream.isDone() && !stream.isMalformed();
    if (complete) {
        const std::string fullText = dispatched->generated + text;
        CallAnswer answer{statusOk, "application/json"};
        answer.endpoint = endpoint;
        answer.promptTokens = dispatched->earlierPromptTokens + stream.promptTokens();
        answer.completionTokens = dispatched->generatedTokens + stream.completionTokens();
        answer.cost = priceOf(answer.promptTokens + answer.completionTokens, config.pricePerThousandTokens);
        answer.body = chatCompletion(dispatched->request, fullText, stream.finishReason(), answer.promptTokens, answer.completionTokens);
        this->dispatch.onAnswered(dispatched, std::move(answer));
        return;
    }
    // The text received before an interruption is kept; the next attempt continues after it.
    if (!text.empty()) {
        dispatched->generated += text;
        dispatched->generatedTokens += stream.completionTokens();
        dispatched->earlierPromptTokens += dispatched->request.promptTokens;
    }
    if (!outcome && dispatched->interrupted) {
        this->dispatch.onInterrupted(dispatched);
        return;
    }
    if (!outcome) {
        this->dispatch.onFailed(dispatched, failureOf(outcome.error(), endpoint));
        return;
    }
    if (status == statusOk) {
        this->dispatch.onFailed(dispatched,
                                failureOf(ErrorCode::EndpointGarbled, Step::Stream, endpoint, false, "the engine's stream was incomplete or malformed"));
    } else if (status == statusConflict && config.fencing) {
        this->dispatch.onFailed(dispatched, failureOf(ErrorCode::NotOwner, Step::Send, endpoint, true, "the engine refused the fencing number as outdated"));
    } else if (status == statusTooManyRequests || status == statusServiceUnavailable) {
        this->dispatch.onFailed(
            dispatched,
            failureOf(
                ErrorCode::EndpointFailed, Step::Send, endpoint, true, "the engine refused the call without running it, status " + std::to_string(status)));
    } else if (status >= statusInternalServerError) {
        this->dispatch.onFailed(dispatched,
                                failureOf(ErrorCode::EndpointFailed, Step::Stream, endpoint, false, "the engine failed with status " + std::to_string(status)));
    } else {
        CallAnswer answer{status, outcome.value().contentType, outcome.value().body};
        answer.endpoint = endpoint;
        this->dispatch.onAnswered(dispatched, std::move(answer));
    }
}

asio::awaitable<void> CallSender::callService(DispatchedCallPointer dispatched, ServiceConfig config, Placement placement)
{
    HttpCall call = this->makeCall(*dispatched, placement);
    call.body = dispatched->request.body;
    call.idleTimeout = config.timeout;
    const HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Stream);
    std::optional<HttpResponse> response;
    if (outcome) {
        response = outcome.value();
    } else if (!outcome.error().provablyNotSent && !dispatched->request.repeatable && !config.outcomePath.empty()) {
        response = co_await this->queryOutcome(dispatched, config, placement);
    }
    if (!response) {
        this->dispatch.onFailed(dispatched, failureOf(outcome.error(), placement.endpoint.id));
        co_return;
    }
    if (dispatched->request.repeatable && response->status >= statusInternalServerError) {
        this->dispatch.onFailed(
            dispatched,
            failureOf(
                ErrorCode::EndpointFailed, Step::Stream, placement.endpoint.id, false, "the service failed with status " + std::to_string(response->status)));
        co_return;
    }
    CallAnswer answer{response->status, response->contentType, response->body};
    answer.endpoint = placement.endpoint.id;
    answer.cost = dispatched->request.reserve;
    this->dispatch.onAnswered(dispatched, std::move(answer));
}

asio::awaitable<std::optional<HttpResponse>> CallSender::queryOutcome(DispatchedCallPointer dispatched, ServiceConfig config, Placement placement)
{
    for (int query = 0; query < maxOutcomeQueries; ++query) {
        co_await sleepFor(outcomeQueryInterval);
        HttpCall call;
        call.address = placement.endpoint.address;
        call.target = config.outcomePath + escapedSegment(dispatched->request.requestId);
        call.mayEndWithConnection = true;
        useOwnConnection(call);
        call.idleTimeout = config.timeout;
        const HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Stream);
        if (outcome && outcome.value().status == statusOk) {
            co_return outcome.value();
        }
    }
    co_return std::nullopt;
}

} // namespace oleandergate
