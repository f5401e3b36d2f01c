#include "gateway/endpointsend.h"

#include "gateway/endtoend.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"

#include <boost/algorithm/string/predicate.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Requests that run at most once use a kept connection only while it is this fresh: one that its peer closes under the
//! request leaves open whether it ran.
constexpr Duration freshEnough = std::chrono::seconds(1);

constexpr Duration connectTimeout = std::chrono::milliseconds(500);

constexpr int statusOk = 200;
constexpr int statusMisdirected = 421;
constexpr int firstFailure = 500;

//! Statuses that promise a caller that its request did not run. From an endpoint they do so only beside its own statement.
bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == statusMisdirected;
}

bool isEventStream(const HttpResponse &head)
{
    return head.status == statusOk && boost::algorithm::istarts_with(head.contentType, "text/event-stream");
}

} // namespace

EndpointSend::EndpointSend(const Parts &parts, const RelayCall &call, RouteKind kind, std::shared_ptr<Cancellation> cancellation)
    : parts(parts)
    , call(call)
    , kind(kind)
    , cancellation(std::move(cancellation))
{
}

HttpCall EndpointSend::makeCall(const EndpointSpec &endpoint, int urgency, Time deadline, Time now) const
{
    EndpointOrder order;
    order.expected = endpoint.id;
    order.timeLeft = deadline - now;
    order.urgency = urgency;
    order.resumeAfter = this->parts.progress.lastEvent ? this->parts.progress.lastEvent : this->call.resumeAfter;
    HttpCall out;
    out.address = endpoint.address;
    out.method = this->call.method;
    out.target = this->call.target;
    out.headers = this->parts.dialect.encode(this->call, order);
    out.body = this->call.body;
    out.connectTimeout = connectTimeout;
    out.idleTimeout = deadline - now;
    out.deadline = deadline;
    out.maxIdleAge = this->kind == RouteKind::Idempotent ? out.maxIdleAge : freshEnough;
    out.resendOnStale = this->kind == RouteKind::Idempotent;
    out.cancellation = this->cancellation;
    out.collectBody = false;
    return out;
}

asio::awaitable<bool> EndpointSend::deliver(std::string events)
{
    if (events.empty()) {
        co_return true;
    }
    const bool sent = co_await this->parts.exchange.sendChunk(std::move(events));
    if (!sent) {
        this->parts.progress.callerGone = true;
    }
    co_return sent;
}

asio::awaitable<bool> EndpointSend::passOn(const HttpResponse &head, std::string piece)
{
    const EndpointReply reply = this->parts.dialect.readReply(head);
    const bool whole = reply.signedByEndpoint && head.header("Content-Encoding").empty();
    if (!isEventStream(head) || this->kind != RouteKind::Stream || !whole) {
        this->collected += piece;
        co_return true;
    }
    StreamProgress &progress = this->parts.progress;
    const std::uint64_t before = this->splitter.eventCount();
    std::string events = this->splitter.feed(piece);
    this->streaming = true;
    if (events.empty()) {
        co_return true;
    }
    if (!progress.headSent) {
        progress.headSent = true;
        HttpResponse start;
        start.status = head.status;
        start.contentType.clear();
        start.headers = endToEndHeaders(head.headers);
        const bool started = co_await this->parts.exchange.startStream(std::move(start));
        if (!started) {
            progress.callerGone = true;
            co_return false;
        }
    }
    const std::uint64_t count = this->splitter.eventCount() - before;
    progress.events += count;
    progress.lastEvent = this->splitter.lastId() ? this->splitter.lastId() : progress.lastEvent;
    this->parts.onEvents(count);
    co_return co_await this->deliver(std::move(events));
}

SendEnd EndpointSend::judge(const HttpResponse &answer, std::string &detail) const
{
    const EndpointReply reply = this->parts.dialect.readReply(answer);
    if (reply.notRun || answer.status == statusMisdirected) {
        detail = "refused with status " + std::to_string(answer.status);
        return SendEnd::Refused;
    }
    if (reply.requestId.empty()) {
        detail = "the answer names no request";
        return SendEnd::Broken;
    }
    if (!answer.header("Content-Encoding").empty()) {
        detail = "the answer is encoded";
        return SendEnd::Broken;
    }
    if (!reply.signedByEndpoint && answer.status < firstFailure) {
        detail = "the answer is not signed";
        return SendEnd::Broken;
    }
    if (promisesNotRun(answer.status)) {
        detail = "status " + std::to_string(answer.status) + " without a statement that the request did not run";
        return SendEnd::Broken;
    }
    return SendEnd::Answered;
}

SendResult EndpointSend::fromFailure(const EndpointSpec &endpoint, const HttpFailure &failure, Time deadline, Time now) const
{
    SendResult result;
    result.report.endpoint = endpoint.id;
    result.report.endpointGone = failure.connectionRefused;
    result.detail = failure.error.detail;
    if (this->cancellation->isCancelled() || this->parts.progress.callerGone) {
        result.report.end = SendEnd::CallerLeft;
    } else if (failure.provablyNotSent) {
        result.report.end = SendEnd::NotSent;
    } else if (failure.error.code == ErrorCode::Timeout && now >= deadline) {
        result.report.end = SendEnd::TimedOut;
    } else {
        result.report.end = SendEnd::Broken;
    }
    return result;
}

asio::awaitable<SendResult> EndpointSend::run(EndpointSpec endpoint, int urgency, Time deadline, Time now)
{
    HttpCall out = this->makeCall(endpoint, urgency, deadline, now);
    out.accepts = [this](const HttpResponse &head) {
        const RequestId answered = this->parts.dialect.readReply(head).requestId;
        return answered.empty() || answered == this->call.requestId;
    };
    out.forwardChunk = [this](const HttpResponse &head, std::string piece) {
        return this->passOn(head, std::move(piece));
    };
    HttpOutcome outcome = co_await this->parts.client.send(std::move(out), Step::Send);
    if (!outcome) {
        co_return this->fromFailure(endpoint, outcome.error(), deadline, currentTime());
    }
    SendResult result;
    result.report.endpoint = endpoint.id;
    if (this->streaming) {
        // Bytes behind the last whole event, such as a comment, belong to the whole answer.
        const bool delivered = co_await this->deliver(this->splitter.takeRest());
        result.report.end = delivered ? SendEnd::Answered : SendEnd::CallerLeft;
        result.streamed = delivered;
        co_return result;
    }
    result.report.end = this->judge(outcome.value(), result.detail);
    result.report.endpointFailed = outcome.value().status >= firstFailure;
    result.answer = std::move(outcome.value());
    result.answer->body = std::move(this->collected);
    co_return result;
}

} // namespace oleandergate
