#include "gateway/endpointsend.h"

#include "gateway/endtoend.h"
#include "runtime/cancellation.h"
#include "runtime/clock.h"

#include <boost/algorithm/string/predicate.hpp>

#include <utility>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! Requests that are not idempotent reuse a connection only if it was idle for at most this long: when the endpoint closes an
//! idle connection while the request is being sent, it is unknown whether the request ran.
constexpr Duration maxIdleForSingleSend = std::chrono::seconds(1);

constexpr Duration connectTimeout = std::chrono::milliseconds(500);

//! A process that ends closes its listening socket after its connections, with many of them some milliseconds later.
constexpr Duration probeSettleTime = std::chrono::milliseconds(20);

//! How long a stream with a stated length waits for bytes behind its end: a length that is too small ends it early.
constexpr Duration lengthSettleTime = std::chrono::milliseconds(20);

//! The same at an endpoint that has stated too small a length lately.
constexpr Duration doubtfulLengthSettleTime = std::chrono::milliseconds(200);

//! Connections that are opened as witnesses of the endpoint's process for one stream.
constexpr int maxWitnesses = 3;

//! Longest time that a stream waits at its end to learn whether the endpoint still listens.
constexpr Duration probeTimeout = std::chrono::milliseconds(100);

//! Limits of what is held of an answer that is no stream, and of one event of a stream: endpoints in trouble send bytes without end,
//! and the smallest instances have 88 MB.
constexpr std::size_t maxAnswerBytes = 8UL * 1024 * 1024;
constexpr std::size_t maxEventBytes = 1024UL * 1024;

//! Longest text of the events without numbers at the end of streams that is remembered.
constexpr std::size_t maxTailBytes = 256;

constexpr int statusOk = 200;
constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int statusServiceUnavailable = 503;
constexpr int firstServerError = 500;

//! Statuses that tell a caller that its request did not run. From an endpoint, all but 421 count only with its explicit
//! statement that it did not run the request.
bool promisesNotRun(int status)
{
    return status == statusTooManyRequests || status == statusServiceUnavailable || status == statusRequestTimeout || status == statusMisdirected;
}

bool isEventStream(const HttpResponse &head)
{
    return head.status == statusOk && boost::algorithm::istarts_with(head.contentType, "text/event-stream");
}

//! Returns whether \p bytes begin with the event behind the one with the number \p last.
bool beginsWithNext(const std::string &bytes, const std::optional<std::uint64_t> &last)
{
    EventSplitter behind;
    const std::vector<StreamEvent> events = behind.feed(bytes + "\n\n");
    return !events.empty() && !events.front().isForeign && events.front().number && last && *events.front().number == *last + 1;
}

} // namespace

EndpointSend::EndpointSend(const Parts &parts, const RelayCall &call, RouteKind kind, bool isRepeatable, std::shared_ptr<Cancellation> cancellation)
    : parts(parts)
    , call(call)
    , kind(kind)
    , isRepeatable(isRepeatable)
    , cancellation(std::move(cancellation))
{
}

HttpCall EndpointSend::makeCall(const EndpointSpec &endpoint, int priority, Time deadline, Time now) const
{
    ForwardingOptions options;
    options.expectedEndpoint = endpoint.id;
    options.timeLeft = deadline - now;
    options.priority = priority;
    options.resumeAfter = this->parts.progress.continuity.lastNumber();
    options.expectedWeights = this->parts.progress.weights;
    HttpCall out;
    out.address = endpoint.address;
    out.method = this->call.method;
    out.target = this->call.target;
    out.headers = this->parts.headerCodec.encode(this->call, options);
    out.bodyInPlace = this->call.body;
    out.connectTimeout = connectTimeout;
    out.idleTimeout = deadline - now;
    out.deadline = deadline;
    out.reuse = !this->parts.needsNewConnection;
    out.maxIdleAge = this->kind == RouteKind::Idempotent ? out.maxIdleAge : maxIdleForSingleSend;
    out.resendOnStale = this->kind == RouteKind::Idempotent;
    out.isRepeatable = this->isRepeatable;
    out.maySend = this->parts.maySend;
    out.cancellation = this->cancellation;
    out.mayEndWithConnection = true;
    out.collectBody = false;
    return out;
}

asio::awaitable<bool> EndpointSend::deliver(const HttpResponse &head, std::string events)
{
    bool sent = true;
    if (!this->parts.progress.headSent) {
        this->parts.progress.headSent = true;
        HttpResponse start;
        start.status = head.status;
        start.contentType.clear();
        start.headers = endToEndHeaders(head.headers);
        sent = co_await this->parts.exchange.startStream(std::move(start));
    }
    if (sent && !events.empty()) {
        sent = co_await this->parts.exchange.sendChunk(std::move(events));
    }
    if (!sent) {
        this->parts.progress.callerDisconnected = true;
    }
    co_return sent;
}

bool EndpointSend::collect(const HttpResponse &head, const std::string &chunk)
{
    // The head is the same for all chunks.
    if (this->collected.empty() && this->classifyAnswer(head, this->rejection) == SendOutcome::Broken) {
        return false;
    }
    if (this->collected.size() + chunk.size() > maxAnswerBytes) {
        this->rejection = "the answer is longer than " + std::to_string(maxAnswerBytes) + " bytes";
        return false;
    }
    this->collected += chunk;
    return true;
}

bool EndpointSend::isForwardableStream(const HttpResponse &head) const
{
    std::string ignored;
    return isEventStream(head) && this->kind == RouteKind::Stream && this->classifyAnswer(head, ignored) == SendOutcome::Answered;
}

asio::awaitable<bool> EndpointSend::forwardChunk(const HttpResponse &head, std::string chunk)
{
    if (!this->isForwardableStream(head)) {
        co_return this->collect(head, chunk);
    }
    co_return co_await this->forwardEvents(head, chunk);
}

bool EndpointSend::acceptWeights()
{
    std::optional<std::int64_t> &begun = this->parts.progress.weights;
    if (begun && this->answerWeights && *begun != *this->answerWeights) {
        return false;
    }
    begun = begun ? begun : this->answerWeights;
    return true;
}

bool EndpointSend::keepForEnd(const StreamEvent &event)
{
    const bool mayBelong = event.hasData && !event.number && this->parts.progress.continuity.mayEndWith(this->keptEnd + event.text);
    if (mayBelong) {
        this->keptEnd += event.text;
    }
    return mayBelong;
}

void EndpointSend::noteTail(const StreamEvent &event)
{
    if (event.number) {
        this->tail.clear();
    } else if (event.hasData && this->tail.size() <= maxTailBytes) {
        this->tail += event.text;
    }
}

void EndpointSend::noteWeights(std::string_view event)
{
    const std::optional<std::int64_t> stated = this->parts.headerCodec.readEventWeights(event);
    if (stated) {
        this->answerWeights = stated;
        this->parts.progress.weights = stated;
    }
}

asio::awaitable<bool> EndpointSend::forwardEvents(const HttpResponse &head, const std::string &chunk)
{
    if (!this->isFramed && !this->isRepeatable && this->isDirect) {
        co_await this->watchEndpoint();
    }
    if (!this->acceptWeights()) {
        this->rejection = "the answer names other weights than those of the stream's last event";
        co_return false;
    }
    StreamContinuity &continuity = this->parts.progress.continuity;
    const std::uint64_t before = continuity.passedOnInRun();
    std::string accepted;
    for (const StreamEvent &event : this->splitter.feed(chunk)) {
        if (event.isForeign) {
            this->rejection = "the head of another answer behind an event";
            break;
        }
        const std::optional<std::uint64_t> last = continuity.lastNumber();
        if (this->keepForEnd(event)) {
            continue;
        }
        const bool isBehindEnd = !this->keptEnd.empty();
        const EventPosition position = isBehindEnd ? EventPosition::Unplaced : event.hasData ? continuity.add(event.number) : EventPosition::Next;
        if (position != EventPosition::Next && position != EventPosition::Held) {
            this->rejection = "event " + (event.number ? std::to_string(*event.number) : std::string("without a number")) + " behind event "
                + (last ? std::to_string(*last) : std::string("without a number")) + ": " + std::string(nameIn(eventPositionNames, position));
            break;
        }
        if (event.number) {
            this->streamRun.firstEvent = this->streamRun.firstEvent ? this->streamRun.firstEvent : event.number;
            this->streamRun.lastEvent = event.number;
        }
        this->noteTail(event);
        if (continuity.isHolding()) {
            this->heldEvents += event.text;
            continue;
        }
        const std::string held = std::exchange(this->heldEvents, {});
        this->noteWeights(held);
        this->noteWeights(event.text);
        accepted += held + event.text;
    }
    if (this->rejection.empty() && this->splitter.pendingSize() + this->heldEvents.size() > maxEventBytes) {
        this->rejection = "an event is longer than " + std::to_string(maxEventBytes) + " bytes";
    }
    this->streamRun.events = continuity.passedOnInRun();
    if (accepted.empty()) {
        co_return this->rejection.empty();
    }
    this->disproveOpenEnd(currentTime());
    this->parts.onEvents(this->streamRun.events - before);
    const bool delivered = co_await this->deliver(head, std::move(accepted));
    co_return delivered &&this->rejection.empty();
}

asio::awaitable<void> EndpointSend::watchEndpoint()
{
    // One that has ended before the stream did may have timed out.
    const bool isMissing = !this->witness || this->witness->hasEnded();
    if (isMissing && this->witnessesOpened < maxWitnesses) {
        this->witnessesOpened += 1;
        this->witness = std::make_unique<WitnessConnection>(co_await asio::this_coro::executor, this->endpointAddress, connectTimeout);
    }
}

asio::awaitable<void> EndpointSend::findWhetherEnded(const std::string &address, SendResult &result)
{
    result.listening = co_await this->parts.client.probe(address, probeTimeout, probeSettleTime);
    result.report.endpointGone = result.listening == Listening::No;
}

void EndpointSend::disproveOpenEnd(Time now)
{
    EndpointId &openEndAt = this->parts.progress.openEndAt;
    if (!openEndAt.empty() && (this->streamRun.events > 0 || !this->keptEnd.empty())) {
        this->parts.habits.onCut(openEndAt, this->endpointId, this->call.requestId, now);
        // What other streams show of it meanwhile does not make it a witness of this one.
        this->parts.progress.brokenAt.insert(std::exchange(openEndAt, {}));
    }
}

void EndpointSend::noteBreak(const EndpointSpec &endpoint, const SendResult &result, Time now)
{
    if (result.report.outcome != SendOutcome::Broken || !this->hasHead) {
        return;
    }
    if (this->isFramed && this->streamRun.events > 0) {
        RunObservation run;
        run.endpoint = this->endpointId;
        run.events = this->streamRun.events;
        run.framed = true;
        this->parts.habits.onRunEnd(ServiceVersion{this->parts.service, endpoint.version}, run, now);
    }
    if (!result.connectionLost && !this->isOutOfRoom && !result.endedForMemory) {
        this->parts.progress.brokenAt.insert(this->endpointId);
    }
    // Bytes that are not passed on for another reason tell nothing of the stream.
    if (this->rejection.empty() && this->splitter.hasBegunEvent()) {
        this->parts.progress.continuity.showFurtherEvent();
    }
}

Evidence EndpointSend::judgeEnd(const EndpointSpec &endpoint, StreamEnd &end, Time now)
{
    StreamProgress &progress = this->parts.progress;
    const ServiceVersion group{this->parts.service, endpoint.version};
    end.isDoubtful = !end.framed && (progress.brokenAt.contains(endpoint.id) || this->parts.habits.isUnframedDoubtful(group, endpoint.id, now));
    const Evidence complete = progress.continuity.endRun(end);
    if (complete != Evidence::Disproved) {
        RunObservation run;
        run.endpoint = endpoint.id;
        run.events = progress.continuity.passedOnInRun();
        run.framed = end.framed;
        run.proved = complete == Evidence::Proved;
        if (complete == Evidence::Proved && end.framed && run.events == 0 && end.tail.empty()) {
            run.provedEndAt = progress.openEndAt;
        } else if (complete == Evidence::Proved && !end.framed && run.events > 0) {
            run.provedEndAt = endpoint.id;
        }
        if (complete == Evidence::Proved && end.framed && this->streamRun.lastEvent && this->tail.size() <= maxTailBytes) {
            run.tail = this->tail;
        }
        if (progress.continuity.passedOnInRun() > 0) {
            progress.agreedAt.clear();
        } else if (!end.framed && !end.isDoubtful) {
            progress.agreedAt.insert(endpoint.id);
        }
        run.agreedAt = run.proved ? progress.agreedAt : std::set<EndpointId>();
        run.risesByOne = complete == Evidence::Proved ? progress.continuity.stepsByOne() : std::nullopt;
        this->parts.habits.onRunEnd(group, run, now);
    }
    if (complete == Evidence::Proved && !end.tail.empty()) {
        this->disproveOpenEnd(now);
    }
    if (complete == Evidence::Unknown && progress.continuity.passedOnInRun() > 0) {
        progress.openEndAt = endpoint.id;
    }
    return complete;
}

bool EndpointSend::isContinuedBy(const std::string &bytes) const
{
    return beginsWithNext(bytes, this->parts.progress.continuity.lastNumber());
}

std::function<void(const std::string &bytes)> EndpointSend::lateBytesObserver() const
{
    return [&habits = this->parts.habits, endpoint = this->endpointId, requestId = this->call.requestId, last = this->lastEvent](const std::string &bytes) {
        if (beginsWithNext(bytes, *last)) {
            habits.onShortLength(endpoint, requestId, currentTime());
        }
    };
}

bool EndpointSend::takeUnterminatedEvent(const HttpResponse &answer)
{
    const std::optional<StreamEvent> event = this->splitter.unterminatedEvent();
    // Bytes behind a stated length that ends inside an event may be the rest of that.
    if (answer.endsWithConnection || !answer.bytesBehind.empty() || !event || !this->keptEnd.empty()) {
        return false;
    }
    StreamContinuity &continuity = this->parts.progress.continuity;
    const std::uint64_t before = continuity.passedOnInRun();
    if (continuity.add(event->number) != EventPosition::Next) {
        return false;
    }
    this->streamRun.firstEvent = this->streamRun.firstEvent ? this->streamRun.firstEvent : event->number;
    this->streamRun.lastEvent = event->number;
    this->streamRun.events = continuity.passedOnInRun();
    this->noteTail(*event);
    this->disproveOpenEnd(currentTime());
    this->parts.onEvents(this->streamRun.events - before);
    return true;
}

asio::awaitable<void> EndpointSend::endStream(const HttpResponse &answer, const EndpointSpec &endpoint, SendResult &result)
{
    StreamEnd end;
    end.betweenEvents = this->splitter.isBetweenEvents() || this->takeUnterminatedEvent(answer);
    end.framed = !answer.endsWithConnection;
    result.run = this->streamRun;
    *this->lastEvent = this->parts.progress.continuity.lastNumber();
    end.tail = this->keptEnd;
    end.isContinued = this->isContinuedBy(answer.bytesBehind);
    if (end.betweenEvents && !end.framed) {
        // The connections of a process that ends are closed in order.
        co_await this->findWhetherEnded(endpoint.address, result);
        end.endpointEnded = result.report.endpointGone || (this->witness && this->witness->hasEnded());
    }
    const bool isHolding = this->parts.progress.continuity.isHolding();
    result.run.complete = this->judgeEnd(endpoint, end, currentTime());
    if (result.run.complete == Evidence::Disproved) {
        result.report.outcome = SendOutcome::Broken;
        result.detail = end.isContinued ? "the next event follows behind the stated end of the answer"
            : end.endpointEnded         ? "the connection ended behind an event, and so did the endpoint"
            : isHolding                 ? "the stream ended behind an event with numbers missing in front of it, as in an earlier run"
                                        : "the stream ended inside an event or before its first one";
        co_return;
    }
    result.report.outcome = SendOutcome::Answered;
    if (result.run.complete == Evidence::Unknown) {
        result.report.outcome = SendOutcome::Unconfirmed;
        const ServiceVersion group{this->parts.service, endpoint.version};
        result.report.isDoubtfulEnd = !this->parts.habits.isUnframedUsual(group, endpoint.id, this->parts.isOnlyEndpoint, currentTime());
        result.detail = end.isDoubtful    ? "the connection ended behind an event, though this version frames its streams or the endpoint has cut some"
            : result.report.isDoubtfulEnd ? "the connection ended behind an event, and it is not known that this version's streams usually end so"
                                          : "the connection ended behind an event, which does not prove that the stream is complete";
    }
    // Bytes after the last event, such as a comment, are part of the answer.
    std::string rest
        = std::exchange(this->heldEvents, {}) + (result.run.complete == Evidence::Proved ? this->keptEnd : std::string()) + this->splitter.takeRest();
    if (result.run.complete == Evidence::Proved || !rest.empty()) {
        const bool delivered = co_await this->deliver(answer, std::move(rest));
        result.report.outcome = delivered ? result.report.outcome : SendOutcome::CallerLeft;
    }
    result.streamed = result.report.outcome != SendOutcome::CallerLeft;
}

SendOutcome EndpointSend::classifyAnswer(const HttpResponse &answer, std::string &detail) const
{
    const AnswerMetadata metadata = this->parts.headerCodec.readAnswerMetadata(answer);
    const bool saysNotRun = metadata.notRun || answer.status == statusMisdirected;
    if (saysNotRun && metadata.requestId.empty() && this->streamRun.onUsedConnection) {
        detail = "a refusal that names no request, on a connection of earlier requests: it may be a copy of one of theirs";
        return SendOutcome::Broken;
    }
    if (saysNotRun) {
        detail = "refused with status " + std::to_string(answer.status);
        return SendOutcome::Refused;
    }
    if (metadata.requestId.empty()) {
        detail = "the answer carries no request identifier";
        return SendOutcome::Broken;
    }
    if (!answer.header("Content-Encoding").empty()) {
        detail = "the answer has a Content-Encoding";
        return SendOutcome::Broken;
    }
    if (!metadata.signedByEndpoint && answer.status < firstServerError) {
        detail = "the answer is not signed by the endpoint";
        return SendOutcome::Broken;
    }
    if (promisesNotRun(answer.status)) {
        detail = "status " + std::to_string(answer.status) + " without a statement that the request did not run";
        return SendOutcome::Broken;
    }
    return SendOutcome::Answered;
}

SendResult EndpointSend::resultOfFailure(const EndpointSpec &endpoint, const HttpFailure &failure, Time deadline, Time now) const
{
    SendResult result;
    result.report.endpoint = endpoint.id;
    result.report.endpointGone = failure.connectionRefused;
    result.noConnectionLeft = failure.noConnectionLeft;
    result.connectionLost = failure.connectionLost;
    result.detail = this->rejection.empty() ? failure.error.detail : this->rejection;
    const std::optional<CancelReason> cancelled = this->cancellation->reason();
    if (cancelled == CancelReason::CallerLeft || this->parts.progress.callerDisconnected) {
        result.report.outcome = SendOutcome::CallerLeft;
    } else if (failure.provablyNotSent) {
        result.report.outcome = SendOutcome::NotSent;
    } else if (cancelled) {
        result.report.outcome = SendOutcome::CutOff;
        result.detail = "the instance shut down before the endpoint answered";
    } else if (failure.error.code == ErrorCode::Timeout && now >= deadline) {
        result.report.outcome = SendOutcome::TimedOut;
    } else {
        result.report.outcome = SendOutcome::Broken;
    }
    return result;
}

asio::awaitable<bool> EndpointSend::holdAnswer(std::size_t bytes, Time deadline)
{
    const bool granted
        = co_await this->parts.held.hold(bytes + this->collected.capacity() + this->heldEvents.capacity() + this->splitter.pendingSize(), deadline);
    this->isOutOfRoom = !granted;
    if (!granted && this->rejection.empty()) {
        this->rejection = "the instance has no room for the rest of the answer";
    }
    co_return granted;
}

asio::awaitable<SendResult> EndpointSend::run(EndpointSpec endpoint, int priority, Time deadline, Time now)
{
    this->endpointId = endpoint.id;
    this->endpointAddress = endpoint.address;
    const ServiceVersion group{this->parts.service, endpoint.version};
    this->parts.progress.continuity.expectUnitSteps(this->parts.habits.numbersRiseByOne(group, now));
    this->parts.progress.continuity.expectUnevenSteps(this->parts.habits.numbersAreUneven(group, now));
    this->parts.progress.continuity.expectConfirmations(this->parts.habits.confirmationsNeeded(group, now));
    this->parts.progress.continuity.expectTail(this->parts.habits.usualTail(group, now));
    this->parts.progress.continuity.beginRun();
    this->streamRun.resumedAfter = this->parts.progress.continuity.lastNumber();
    HttpCall out = this->makeCall(endpoint, priority, deadline, now);
    out.accepts = [this](const HttpResponse &head) {
        const AnswerMetadata metadata = this->parts.headerCodec.readAnswerMetadata(head);
        const bool isOwn = metadata.requestId.empty() || metadata.requestId == this->call.requestId;
        // With this status another endpoint answers, which has the address now.
        if (isOwn && head.status != statusMisdirected) {
            this->parts.onAnswerHead(metadata);
        }
        this->isUnnamed = metadata.requestId.empty() && this->streamRun.onUsedConnection;
        this->answerWeights = metadata.weights;
        this->hasHead = isOwn && !this->isUnnamed;
        this->isFramed = !head.endsWithConnection;
        this->hasLength = !head.header("Content-Length").empty();
        this->parts.held.describe(HeldFor::Answer, this->hasLength);
        return isOwn;
    };
    this->parts.held.release();
    this->parts.held.describe(HeldFor::Answer, false);
    out.abort = std::make_shared<Cancellation>();
    this->parts.held.setEnding([abort = out.abort]() {
        abort->cancel();
    });
    out.mayHold = [this, deadline](std::size_t bytes) {
        return this->holdAnswer(bytes, deadline);
    };
    out.onConnection = [this](const ConnectionPath &path, bool wasUsed) {
        this->streamRun.onUsedConnection = wasUsed;
        this->isDirect = path.peer.empty();
        this->parts.onConnection(path);
    };
    out.lookBehind = [this](const HttpResponse &response) {
        if (!this->isForwardableStream(response) || response.header("Content-Length").empty()) {
            return Duration::zero();
        }
        return this->parts.habits.isLengthDoubtful(this->endpointId, currentTime()) ? doubtfulLengthSettleTime : lengthSettleTime;
    };
    if (this->kind == RouteKind::Stream) {
        out.onLateBytes = this->lateBytesObserver();
    }
    out.forwardChunk = [this](const HttpResponse &head, std::string chunk) {
        return this->forwardChunk(head, std::move(chunk));
    };
    HttpOutcome outcome = co_await this->parts.client.send(std::move(out), Step::Send);
    if (!outcome) {
        SendResult failed = this->resultOfFailure(endpoint, outcome.error(), deadline, currentTime());
        failed.run = this->streamRun;
        failed.report.isUnnamedAnswer = this->isUnnamed && failed.report.outcome == SendOutcome::Broken;
        failed.endedForMemory = this->hasLength && this->parts.held.wasEnded();
        this->noteBreak(endpoint, failed, currentTime());
        this->parts.held.release();
        co_return failed;
    }
    SendResult result;
    result.report.endpoint = endpoint.id;
    result.run = this->streamRun;
    result.endedWithConnection = outcome.value().endsWithConnection;
    result.unfinishedBytes = this->splitter.pendingSize();
    if (this->isForwardableStream(outcome.value())) {
        co_await this->endStream(outcome.value(), endpoint, result);
        this->noteBreak(endpoint, result, currentTime());
        co_return result;
    }
    result.report.outcome = this->classifyAnswer(outcome.value(), result.detail);
    result.report.isUnnamedAnswer = this->isUnnamed && result.report.outcome == SendOutcome::Broken;
    result.refusedAsMisdirected = outcome.value().status == statusMisdirected;
    if (result.report.outcome == SendOutcome::Answered && result.endedWithConnection) {
        co_await this->findWhetherEnded(endpoint.address, result);
        if (result.report.endpointGone) {
            result.report.outcome = SendOutcome::Broken;
            result.detail = "the connection ended the answer, and the endpoint ended with it";
            co_return result;
        }
    }
    result.report.endpointFailed = outcome.value().status >= firstServerError;
    result.answer = std::move(outcome.value());
    result.answer->body = std::move(this->collected);
    co_return result;
}

} // namespace oleandergate
