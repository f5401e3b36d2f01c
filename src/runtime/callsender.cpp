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

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusTooMany = 429;
constexpr int statusServerError = 500;
constexpr int statusUnavailable = 503;
constexpr MicroUnits tokensPerPrice = 1000;
constexpr int outcomeTries = 3;
constexpr Duration outcomePause = std::chrono::milliseconds(200);

MicroUnits priceOf(Tokens tokens, MicroUnits pricePerThousand)
{
    return (tokens * pricePerThousand + tokensPerPrice - 1) / tokensPerPrice;
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
    attempt.error = Error{code, step, endpoint, notSent ? Ran::No : Ran::Unknown, std::nullopt, detail};
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

asio::awaitable<void> CallSender::run(CallWorkPointer work, DispatchPoolPointer pool, Placement placement)
{
    std::optional<PoolConfig> poolConfig;
    std::optional<ServiceConfig> serviceConfig;
    {
        const std::lock_guard lock(pool->mutex);
        poolConfig = pool->pool;
        serviceConfig = pool->service;
    }
    {
        const std::lock_guard lock(work->mutex);
        work->cancellation = std::make_shared<Cancellation>();
    }
    const Result<void> allowed = this->programs.beginSend(work->call, placement.endpoint.id);
    if (!allowed) {
        AttemptFailure failure;
        failure.error = allowed.error();
        failure.provablyNotSent = true;
        this->programs.refuseReady(work->call, allowed.error());
        this->dispatch.onFailed(work, failure);
        co_return;
    }
    this->events.record(Step::Send, work->request.program, work->request.requestId, placement.endpoint.id + (placement.expectsCache ? " (cached)" : ""));
    if (poolConfig) {
        co_await this->callEngine(work, *poolConfig, placement);
    } else if (serviceConfig) {
        co_await this->callService(work, *serviceConfig, placement);
    }
}

HttpCall CallSender::makeCall(const CallWork &work, const Placement &placement) const
{
    HttpCall call;
    call.address = placement.endpoint.address;
    call.method = "POST";
    call.target = work.request.path;
    call.cancellation = work.cancellation;
    call.maySend = [this, id = work.call]() {
        return this->programs.mayStillSend(id);
    };
    const SlotRecord slot = this->view.recordOf(slotOf(work.request.program, this->view.slotCount()));
    call.headers = {
        {"Content-Type", "application/json"},
        {"Idempotency-Key", work.request.requestId},
        {"Program-Id", work.request.program},
        {"Program-Branch", work.request.branch},
        {"Program-Sequence", std::to_string(work.request.sequence)},
        {"Fencing-Number", std::to_string(slot.epoch)},
    };
    return call;
}

asio::awaitable<void> CallSender::callEngine(CallWorkPointer work, PoolConfig config, Placement placement)
{
    std::string text;
    EngineStream stream([this, &work, &text](const std::string &piece, Tokens tokens) {
        text += piece;
        this->programs.push(work->call, piece);
        this->dispatch.onProgress(work, tokens);
    });
    HttpCall call = this->makeCall(*work, placement);
    call.body = engineBody(work->request, work->generated, work->generatedTokens);
    call.idleTimeout = config.idleTimeout;
    call.onBodyChunk = [&stream](int status, std::string_view piece) {
        if (status == statusOk) {
            stream.feed(piece);
        }
    };
    const Time started = currentTime();
    const HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Stream);
    this->callSeconds.observe(currentTime() - started);
    this->finishEngine(work, config, placement, outcome, stream, text);
}

void CallSender::finishEngine(const CallWorkPointer &work,
                              const PoolConfig &config,
                              const Placement &placement,
                              const HttpOutcome &outcome,
                              const EngineStream &stream,
                              const std::string &text)
{
    const EndpointId &endpoint = placement.endpoint.id;
    const int status = outcome ? outcome.value().status : 0;
    const bool whole = status == statusOk && stream.isDone() && !stream.isGarbled();
    if (whole) {
        const std::string all = work->generated + text;
        CallAnswer answer{statusOk, "application/json"};
        answer.endpoint = endpoint;
        answer.promptTokens = work->earlierPromptTokens + stream.promptTokens();
        answer.completionTokens = work->generatedTokens + stream.completionTokens();
        answer.cost = priceOf(answer.promptTokens + answer.completionTokens, config.pricePerThousandTokens);
        answer.body = chatCompletion(work->request, all, stream.finishReason(), answer.promptTokens, answer.completionTokens);
        this->dispatch.onAnswered(work, std::move(answer));
        return;
    }
    // What came before a cut is kept; the next attempt continues behind it.
    if (!text.empty()) {
        work->generated += text;
        work->generatedTokens += stream.completionTokens();
        work->earlierPromptTokens += work->request.promptTokens;
    }
    if (!outcome && work->interrupted) {
        this->dispatch.onInterrupted(work);
        return;
    }
    if (!outcome) {
        this->dispatch.onFailed(work, failureOf(outcome.error(), endpoint));
        return;
    }
    if (status == statusOk) {
        this->dispatch.onFailed(work, failureOf(ErrorCode::EndpointGarbled, Step::Stream, endpoint, false, "the engine's stream was not whole"));
    } else if (status == statusConflict && config.fencing) {
        this->dispatch.onFailed(work, failureOf(ErrorCode::NotOwner, Step::Send, endpoint, true, "the engine refused an old fencing number"));
    } else if (status == statusTooMany || status == statusUnavailable) {
        this->dispatch.onFailed(
            work, failureOf(ErrorCode::EndpointFailed, Step::Send, endpoint, true, "the engine refused the call unread, status " + std::to_string(status)));
    } else if (status >= statusServerError) {
        this->dispatch.onFailed(work,
                                failureOf(ErrorCode::EndpointFailed, Step::Stream, endpoint, false, "the engine failed, status " + std::to_string(status)));
    } else {
        CallAnswer answer{status, outcome.value().contentType, outcome.value().body};
        answer.endpoint = endpoint;
        this->dispatch.onAnswered(work, std::move(answer));
    }
}

asio::awaitable<void> CallSender::callService(CallWorkPointer work, ServiceConfig config, Placement placement)
{
    HttpCall call = this->makeCall(*work, placement);
    call.body = work->request.body;
    call.idleTimeout = config.timeout;
    call.reuse = work->request.repeatable;
    const HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Stream);
    std::optional<HttpResponse> response;
    if (outcome) {
        response = outcome.value();
    } else if (!outcome.error().provablyNotSent && !work->request.repeatable && !config.outcomePath.empty()) {
        response = co_await this->askOutcome(work, config, placement);
    }
    if (!response) {
        this->dispatch.onFailed(work, failureOf(outcome.error(), placement.endpoint.id));
        co_return;
    }
    if (work->request.repeatable && response->status >= statusServerError) {
        this->dispatch.onFailed(
            work,
            failureOf(ErrorCode::EndpointFailed, Step::Stream, placement.endpoint.id, false, "the service failed, status " + std::to_string(response->status)));
        co_return;
    }
    CallAnswer answer{response->status, response->contentType, response->body};
    answer.endpoint = placement.endpoint.id;
    answer.cost = work->request.reserve;
    this->dispatch.onAnswered(work, std::move(answer));
}

asio::awaitable<std::optional<HttpResponse>> CallSender::askOutcome(CallWorkPointer work, ServiceConfig config, Placement placement)
{
    for (int tried = 0; tried < outcomeTries; ++tried) {
        co_await sleepFor(outcomePause);
        HttpCall call;
        call.address = placement.endpoint.address;
        call.target = config.outcomePath + work->request.requestId;
        call.idleTimeout = config.timeout;
        const HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Stream);
        if (outcome && outcome.value().status == statusOk) {
            co_return outcome.value();
        }
    }
    co_return std::nullopt;
}

} // namespace oleandergate
