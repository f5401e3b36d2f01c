#include "standinendpoint.h"

#include "runtime/address.h"
#include "runtime/clock.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace oleandergate::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds pollInterval{2};
constexpr std::size_t shortLengthEvents = 4;
constexpr std::chrono::milliseconds shortLengthPause{5};
constexpr std::chrono::milliseconds longShortLengthPause{30};
constexpr std::uint64_t weightsChangeEvent = 4; //!< Number of the event of Behaviour::WeightsChange that states other weights.
constexpr const char *interimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
constexpr const char *doneEvent = "data: [DONE]\n\n";
constexpr int misdirectedStatus = 421;
constexpr std::uint64_t brokenEvent = 2; //!< Position of the incomplete event of Behaviour::BreakMidEvent.
constexpr std::size_t brokenEventBytes = 8;
constexpr std::chrono::milliseconds slowEventGap{400};
constexpr int refusedStatus = 503;
constexpr std::chrono::milliseconds trickleGap{50};
constexpr std::chrono::milliseconds workPollInterval{5};
constexpr std::size_t floodBlockBytes = 64UL * 1024;
constexpr std::size_t maxFloodBytes = 256UL * 1024 * 1024; //!< Ends an endless answer whose connection is never closed.

std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string unchanged(const std::string &text)
{
    return text;
}

std::string event(const std::string &name, std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + name + " " + std::to_string(number) + "\n\n";
}

std::string unnumberedEvent(const std::string &name, std::uint64_t number)
{
    return "data: " + name + " " + std::to_string(number) + "\n\n";
}

//! Returns the position of the event behind the one with the number \p last, of a stream whose events have \p numbers, or the default ones when that is
//! empty.
std::uint64_t positionBehind(const std::string &last, const std::vector<std::uint64_t> &numbers)
{
    const std::uint64_t number = last.empty() ? 0 : std::stoull(last);
    return numbers.empty() ? number + 1 : static_cast<std::uint64_t>(std::ranges::upper_bound(numbers, number) - numbers.begin()) + 1;
}

//! Returns \p event with its number among \p numbers, if it has one.
std::string renumbered(const std::string &event, const std::vector<std::uint64_t> &numbers)
{
    const std::string field = "id: ";
    if (numbers.empty() || !event.starts_with(field)) {
        return event;
    }
    const std::size_t position = std::stoull(event.substr(field.size()));
    return field + std::to_string(numbers.at(position - 1)) + event.substr(event.find('\n'));
}

//! Returns \p event with a further line of \p size bytes.
std::string enlarged(const std::string &event, std::size_t size)
{
    return size == 0 || !event.ends_with("\n\n") ? event : event.substr(0, event.size() - 1) + "data: " + std::string(size, 'x') + "\n\n";
}

//! What a stream consists of.
struct StreamPlan
{
    std::vector<std::string> events{}; //!< In the order in which they are sent.
    std::string rest{}; //!< A part of an event behind them.
    bool ends = true; //!< The stream ends as complete, if its framing can tell.
};

//! Returns the events with the text \p name from number \p first on, as \p behaviour has them.
StreamPlan planStream(Behaviour behaviour, const std::string &name, std::uint64_t first)
{
    StreamPlan plan;
    if (behaviour == Behaviour::FromStart || behaviour == Behaviour::BreakFromStart) {
        first = 1;
    }
    const bool isUnnumbered = behaviour == Behaviour::Unnumbered || behaviour == Behaviour::BreakUnnumbered || behaviour == Behaviour::EndUnnumbered;
    for (std::uint64_t number = first; number <= StandinEndpoint::eventCount; ++number) {
        const bool hasNumber = !isUnnumbered && (behaviour != Behaviour::BreakBehindUnnumbered || number == first);
        plan.events.push_back(hasNumber ? event(name, number) : unnumberedEvent(name, number));
    }
    const auto cutBehind = [&plan](std::size_t size) {
        plan.ends = false;
        if (plan.events.size() > size) {
            plan.rest = plan.events[size].substr(0, brokenEventBytes);
            plan.events.resize(size);
        }
    };
    switch (behaviour) {
    case Behaviour::BreakMidEvent:
    case Behaviour::SlowBreakMidEvent:
    case Behaviour::CrashMidEvent:
    case Behaviour::EndMidEvent:
        cutBehind(brokenEvent);
        break;
    case Behaviour::BreakMidNextEvent:
    case Behaviour::EndMidNextEvent:
        cutBehind(0);
        break;
    case Behaviour::BreakBehindUnnumbered:
        cutBehind(brokenEvent + 1);
        break;
    case Behaviour::BreakBehindThird:
    case Behaviour::BreakFromStart:
        cutBehind(brokenEvent + 1);
        plan.rest.clear();
        break;
    case Behaviour::BreakBetweenEvents:
    case Behaviour::BreakUnnumbered:
    case Behaviour::EndBetweenEvents:
    case Behaviour::EndUnnumbered:
    case Behaviour::CrashBetweenEvents:
    case Behaviour::ResetBetweenEvents:
        cutBehind(brokenEvent);
        plan.rest.clear();
        break;
    case Behaviour::BreakOrLeaveOut:
        if (first == 1) {
            cutBehind(brokenEvent + 1);
            plan.rest.clear();
        } else {
            plan.events.erase(plan.events.begin());
        }
        break;
    case Behaviour::BreakBehindFirst:
        cutBehind(1);
        plan.rest.clear();
        break;
    case Behaviour::EndBehindHalf:
        cutBehind(plan.events.size() / 2);
        plan.rest.clear();
        break;
    case Behaviour::EndsWithoutBlankLine:
    case Behaviour::LengthWithoutBlankLine:
        if (!plan.events.empty()) {
            plan.events.back().pop_back();
        }
        break;
    case Behaviour::EndsInLine:
        cutBehind(brokenEvent);
        plan.ends = true;
        break;
    case Behaviour::Done:
        plan.events.emplace_back(doneEvent);
        break;
    case Behaviour::BreakBeforeDone:
        plan.ends = false;
        break;
    case Behaviour::BreakBehindDone:
        plan.events.emplace_back(doneEvent);
        plan.ends = false;
        break;
    case Behaviour::WeightsChange:
        cutBehind(weightsChangeEvent);
        plan.rest.clear();
        break;
    case Behaviour::LeaveOut:
        plan.events.erase(plan.events.begin(), plan.events.begin() + (plan.events.empty() ? 0 : 1));
        break;
    case Behaviour::LeaveOutFourth:
        plan.events.erase(plan.events.begin() + 3);
        break;
    case Behaviour::Repeat:
        plan.events.insert(plan.events.begin() + 1, plan.events.at(1));
        break;
    case Behaviour::GoBack:
        plan.events.insert(plan.events.begin() + 3, plan.events.front());
        break;
    default:
        break;
    }
    return plan;
}

bool send(tcp::socket &socket, const std::string &text)
{
    boost::system::error_code error;
    asio::write(socket, asio::buffer(text), error);
    return !error;
}

HttpRequest read(tcp::socket &socket, beast::flat_buffer &buffer, boost::system::error_code &error)
{
    http::request<http::string_body> message;
    http::read(socket, buffer, message, error);
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    for (const auto &field : message) {
        request.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

} // namespace

StandinEndpoint::StandinEndpoint(std::string id)
    : StandinEndpoint(std::move(id), unusedAddress())
{
}

StandinEndpoint::StandinEndpoint(std::string id, std::string address)
    : id(std::move(id))
    , listenAddress(std::move(address))
    , acceptor(context, *parseTcpAddress(listenAddress))
    , acceptThread([this]() {
        this->accept();
    })
{
}

StandinEndpoint::~StandinEndpoint()
{
    this->end();
}

void StandinEndpoint::end()
{
    if (!this->acceptThread.joinable()) {
        return;
    }
    this->stopping = true;
    boost::system::error_code ignored;
    // One more connection unblocks the accepting thread.
    tcp::socket wake(this->context);
    wake.connect(*parseTcpAddress(this->listenAddress), ignored);
    this->acceptThread.join();
    for (std::thread &worker : this->workers) {
        worker.join();
    }
    this->workers.clear();
}

std::string StandinEndpoint::registration(const std::string &service, const std::string &state) const
{
    namespace json = boost::json;
    return json::serialize(json::object{{"Service", service},
                                        {"Address", this->listenAddress},
                                        {"Zone", "a"},
                                        {"Version", this->version},
                                        {"Slots", 8},
                                        {"State", state},
                                        {"Seq", 1},
                                        {"born", 1}});
}

void StandinEndpoint::setVersion(const std::string &newVersion)
{
    this->version = newVersion;
}

const std::string &StandinEndpoint::softwareVersion() const
{
    return this->version;
}

const std::string &StandinEndpoint::identifier() const
{
    return this->id;
}

const std::string &StandinEndpoint::address() const
{
    return this->listenAddress;
}

void StandinEndpoint::setNextBehaviours(const std::vector<Behaviour> &behaviours)
{
    const std::lock_guard lock(this->mutex);
    this->nextBehaviours.assign(behaviours.begin(), behaviours.end());
}

std::vector<ReceivedRequest> StandinEndpoint::received() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedRequests;
}

std::size_t StandinEndpoint::receivedCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedRequests.size();
}

std::size_t StandinEndpoint::abandonedCount() const
{
    return this->abandoned;
}

void StandinEndpoint::release()
{
    this->released = true;
}

Behaviour StandinEndpoint::nextBehaviour()
{
    const std::lock_guard lock(this->mutex);
    if (this->nextBehaviours.empty()) {
        return Behaviour::Normal;
    }
    const Behaviour next = this->nextBehaviours.front();
    this->nextBehaviours.pop_front();
    return next;
}

Behaviour StandinEndpoint::behaviourFor(const HttpRequest &request)
{
    const std::string fault = request.query("fault");
    if (fault.empty()) {
        return this->nextBehaviour();
    }
    const auto planned = static_cast<Behaviour>(std::stoi(fault));
    const bool goesOn = !request.header("Last-Event-Id").empty();
    if (planned != Behaviour::FromStart) {
        return goesOn ? Behaviour::Normal : planned;
    }
    if (!goesOn) {
        return Behaviour::BreakBehindThird;
    }
    const std::string requestId = request.header("Oleandergate-Request-Id");
    const std::lock_guard lock(this->mutex);
    const bool wasFaulty = std::ranges::any_of(this->receivedRequests, [&requestId](const ReceivedRequest &received) {
        return received.behaviour == Behaviour::FromStart && received.request.header("Oleandergate-Request-Id") == requestId;
    });
    return wasFaulty ? Behaviour::Normal : planned;
}

void StandinEndpoint::accept()
{
    while (!this->stopping) {
        boost::system::error_code error;
        tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (!error && !this->stopping) {
            this->workers.emplace_back([this, moved = std::make_shared<tcp::socket>(std::move(socket))]() {
                this->serve(std::move(*moved));
            });
        }
    }
    // Child processes may have inherited the socket, so closing it is not enough.
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->listening = false;
}

void StandinEndpoint::crash()
{
    this->stopping = true;
    boost::system::error_code ignored;
    // One more connection unblocks the accepting thread.
    tcp::socket wake(this->context);
    wake.connect(*parseTcpAddress(this->listenAddress), ignored);
    while (this->listening) {
        std::this_thread::sleep_for(pollInterval);
    }
}

void StandinEndpoint::serve(tcp::socket socket)
{
    beast::flat_buffer buffer;
    bool open = true;
    std::string lateCopy;
    while (open && this->waitWhileStandingStill()) {
        // Polls, so that the endpoint can end while connections are idle.
        if (buffer.size() == 0) {
            boost::system::error_code error;
            socket.non_blocking(true, error);
            char probe = 0;
            socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, error);
            socket.non_blocking(false);
            if (error == asio::error::would_block) {
                std::this_thread::sleep_for(pollInterval);
                continue;
            }
        }
        boost::system::error_code error;
        const HttpRequest request = read(socket, buffer, error);
        if (error) {
            return;
        }
        const Behaviour behaviour = this->behaviourFor(request);
        std::size_t index = 0;
        {
            const std::lock_guard lock(this->mutex);
            index = this->receivedRequests.size();
            this->receivedRequests.push_back(ReceivedRequest{request, behaviour, currentTime(), Time{}});
        }
        if (!lateCopy.empty()) {
            send(socket, lateCopy);
        }
        lateCopy = this->lateCopyOf(request, behaviour);
        open = this->answer(socket, request, behaviour);
        const std::lock_guard lock(this->mutex);
        this->receivedRequests[index].endedAt = currentTime();
    }
}

std::string StandinEndpoint::head(const HttpRequest &request, const std::string &framing, int status) const
{
    const std::lock_guard lock(this->mutex);
    const std::string limit = this->rateLimit.empty() ? std::string() : "Server-Limit: " + this->rateLimit + "\r\n";
    const std::string weights = this->weightsVersion ? "Oleandergate-Weight-Versions: " + std::to_string(*this->weightsVersion) + "\r\n" : std::string();
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nOleandergate-Request-Id: " + request.header("Oleandergate-Request-Id")
        + "\r\nOleandergate-Server-Stamp: stamp-" + this->id + "\r\n" + limit + weights + (this->statesLeaving ? "Server-Leaving: 1\r\n" : "") + framing
        + "\r\n\r\n";
}

std::string StandinEndpoint::refusal(const HttpRequest &request) const
{
    return this->head(request, "Oleandergate-Not-Run: 1\r\nContent-Length: 0", refusedStatus);
}

std::string StandinEndpoint::lateCopyOf(const HttpRequest &request, Behaviour behaviour) const
{
    switch (behaviour) {
    case Behaviour::LateCopy:
        return this->head(request, "Content-Length: 5") + "right";
    case Behaviour::LateRefusal:
        return this->refusal(request);
    case Behaviour::LateStream:
        return this->wholeStream(this->head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"), request);
    case Behaviour::LateUnnamedStream:
        return this->wholeStream("HTTP/1.1 200 OK\r\nOleandergate-Server-Stamp: stamp-" + this->id
                                     + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                                 request);
    case Behaviour::LateUnnamedRefusal:
        return "HTTP/1.1 503 Status\r\nOleandergate-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    default:
        return {};
    }
}

std::string StandinEndpoint::eventName(const HttpRequest &request) const
{
    const std::string stream = request.query("stream");
    if (!stream.empty()) {
        return stream + " " + this->id + " " + this->version;
    }
    // A planned answer names its request.
    return request.query("gap_ms").empty() ? "token" : request.header("Oleandergate-Request-Id");
}

std::string StandinEndpoint::wholeStream(const std::string &head, const HttpRequest &request) const
{
    std::string text = head;
    for (std::uint64_t number = 1; number <= eventCount; ++number) {
        text += chunk(event(this->eventName(request), number));
    }
    return text + "0\r\n\r\n";
}

void StandinEndpoint::setStandingStill(bool newStandsStill)
{
    this->standsStill = newStandsStill;
}

bool StandinEndpoint::waitWhileStandingStill() const
{
    while (this->standsStill && !this->stopping) {
        std::this_thread::sleep_for(pollInterval);
    }
    return !this->stopping;
}

void StandinEndpoint::setStatesLeaving(bool newStatesLeaving)
{
    this->statesLeaving = newStatesLeaving;
}

void StandinEndpoint::setWeightsVersion(std::optional<int> newVersion)
{
    const std::lock_guard lock(this->mutex);
    this->weightsVersion = newVersion;
}

void StandinEndpoint::setEventNumbers(const std::vector<std::uint64_t> &numbers)
{
    const std::lock_guard lock(this->mutex);
    this->eventNumbers = numbers;
}

void StandinEndpoint::setRateLimit(const std::string &limit)
{
    const std::lock_guard lock(this->mutex);
    this->rateLimit = limit;
}

bool StandinEndpoint::trickle(tcp::socket &socket, const HttpRequest &request)
{
    bool open = send(socket, this->head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
    while (open && !this->stopping) {
        open = send(socket, chunk("d"));
        std::this_thread::sleep_for(trickleGap);
    }
    this->abandoned += 1;
    return false;
}

bool StandinEndpoint::answerSlowly(tcp::socket &socket, const std::string &text)
{
    while (!this->released && !this->stopping) {
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char probe = 0;
        const std::size_t size = socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, error);
        socket.non_blocking(false);
        if (size == 0 && error != asio::error::would_block) {
            this->abandoned += 1;
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return send(socket, text);
}

std::size_t StandinEndpoint::closedFloodCount() const
{
    return this->closedFloods;
}

std::size_t StandinEndpoint::largestFlood() const
{
    return this->largestFloodBytes;
}

bool StandinEndpoint::flood(tcp::socket &socket, const std::string &start, const std::string &filler)
{
    std::string block;
    while (block.size() < floodBlockBytes) {
        block += filler;
    }
    std::size_t sent = 0;
    bool open = send(socket, start);
    while (open && !this->stopping && sent < maxFloodBytes) {
        open = send(socket, block);
        sent += block.size();
    }
    this->largestFloodBytes = std::max(this->largestFloodBytes.load(), sent);
    this->closedFloods += open ? 0 : 1;
    return false;
}

bool StandinEndpoint::isMisdirected(const HttpRequest &request) const
{
    const std::string expectedEndpoint = request.header("Oleandergate-Expect-Instance");
    if (!expectedEndpoint.empty() && expectedEndpoint != this->id) {
        return true;
    }
    const std::lock_guard lock(this->mutex);
    const std::string expected = request.header("Oleandergate-Expect-Version");
    return !expected.empty() && this->weightsVersion && expected != std::to_string(*this->weightsVersion);
}

bool StandinEndpoint::answer(tcp::socket &socket, const HttpRequest &request, Behaviour behaviour)
{
    if (this->isMisdirected(request)) {
        return send(socket, this->head(request, "Oleandergate-Not-Run: 1\r\nContent-Length: 0", misdirectedStatus));
    }
    switch (behaviour) {
    case Behaviour::Refuse:
    case Behaviour::LateRefusal:
    case Behaviour::LateUnnamedRefusal:
        return send(socket, this->refusal(request));
    case Behaviour::Failure:
        return send(socket, this->head(request, "Content-Type: text/plain\r\nContent-Length: 12", 500) + "failure text");
    case Behaviour::ZeroStatus:
    case Behaviour::LowStatus:
    case Behaviour::SwitchStatus:
    case Behaviour::HighStatus:
    case Behaviour::HighestStatus: {
        constexpr std::array<const char *, 5> statuses{"000", "099", "101", "600", "999"};
        std::string answer = this->head(request, "Content-Length: 5");
        answer.replace(
            std::string_view("HTTP/1.1 ").size(), 3, statuses.at(static_cast<std::size_t>(behaviour) - static_cast<std::size_t>(Behaviour::ZeroStatus)));
        return send(socket, answer + "right");
    }
    case Behaviour::EndMidHead:
        send(socket, "HTTP/1.1 200 OK\r\nOleandergate-Request-Id: " + request.header("Oleandergate-Request-Id") + "\r\nContent-Len");
        return false;
    case Behaviour::CloseUnanswered:
        return false;
    case Behaviour::Truncate:
        send(socket, this->head(request, "Content-Length: 100") + "short");
        return false;
    case Behaviour::Unsigned:
        return send(socket, "HTTP/1.1 200 OK\r\nOleandergate-Request-Id: " + request.header("Oleandergate-Request-Id") + "\r\nContent-Length: 2\r\n\r\nok");
    case Behaviour::FullWithoutStatement:
        return send(socket, this->head(request, "Content-Length: 0", 503));
    case Behaviour::ExtraAnswer: {
        HttpRequest other = request;
        other.headers = {{"Oleandergate-Request-Id", "another"}};
        return send(socket, this->head(request, "Content-Length: 5") + "right" + this->head(other, "Content-Length: 5") + "wrong");
    }
    case Behaviour::EndlessHead:
        return this->flood(socket, "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n");
    case Behaviour::EndlessInterim:
        return this->flood(socket, interimAnswer, interimAnswer);
    case Behaviour::EndlessUnsignedBody:
        return this->flood(socket, "HTTP/1.1 200 OK\r\n\r\n", "filler");
    case Behaviour::EndlessBody:
        return this->flood(socket, this->head(request, "Connection: close"), "filler");
    case Behaviour::EndlessEvent:
        return this->flood(socket, this->head(request, "Content-Type: text/event-stream\r\nConnection: close") + "data: ", "filler");
    case Behaviour::EndlessChunkHead:
        return this->flood(socket, this->head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked") + "5;", "filler");
    case Behaviour::Crash:
        this->crash();
        return false;
    case Behaviour::CrashInAnswer:
        send(socket, this->head(request, "Connection: close") + "ri");
        this->crash();
        return false;
    case Behaviour::Trickle:
        return this->trickle(socket, request);
    case Behaviour::Slow:
        return this->answerSlowly(socket, this->head(request, "Content-Length: 4") + "late");
    case Behaviour::SlowRefusal:
        return this->answerSlowly(socket, this->refusal(request));
    case Behaviour::EndBeforeFirstEvent:
        send(socket, this->head(request, "Content-Type: text/event-stream\r\nConnection: close"));
        return false;
    case Behaviour::OnlyComment:
        return send(socket, this->head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked") + chunk(": none\n") + "0\r\n\r\n");
    default:
        break;
    }
    const bool framed = behaviour != Behaviour::EndMidEvent && behaviour != Behaviour::EndMidNextEvent && behaviour != Behaviour::Unframed
        && behaviour != Behaviour::EndBetweenEvents && behaviour != Behaviour::EndUnnumbered && behaviour != Behaviour::CrashBetweenEvents
        && behaviour != Behaviour::ResetBetweenEvents && behaviour != Behaviour::UnframedTwice && behaviour != Behaviour::SlowUnframed
        && behaviour != Behaviour::EndBehindHalf;
    if (!request.query("work_ms").empty()) {
        return this->answerPlanned(socket, request, behaviour, framed);
    }
    if (request.header("Oleandergate-Token-Counts").empty()) {
        return send(socket, this->head(request, framed ? "Content-Length: 5" : "Connection: close") + "right") && framed;
    }
    return this->stream(socket, request, behaviour, framed);
}

bool StandinEndpoint::work(tcp::socket &socket, Duration duration)
{
    const Time until = currentTime() + duration;
    while (this->waitWhileStandingStill() && currentTime() < until) {
        boost::system::error_code error;
        socket.non_blocking(true, error);
        char probe = 0;
        const std::size_t size = socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, error);
        socket.non_blocking(false);
        if (size == 0 && error != asio::error::would_block) {
            this->abandoned += 1;
            return false;
        }
        std::this_thread::sleep_for(workPollInterval);
    }
    return !this->stopping;
}

std::string StandinEndpoint::plannedAnswer(const std::string &requestId, const HttpRequest &request)
{
    std::string text;
    if (!request.query("gap_ms").empty()) {
        for (std::uint64_t number = 1; number <= eventCount; ++number) {
            text += event(requestId, number);
        }
        return text;
    }
    text = requestId + "|" + request.body + "|";
    const std::size_t fillerBytes = std::stoul("0" + request.query("bytes"));
    for (std::size_t position = 0; position < fillerBytes; ++position) {
        text += static_cast<char>('a' + (position + requestId.size() * requestId.back()) % 26);
    }
    return text;
}

bool StandinEndpoint::answerPlanned(tcp::socket &socket, const HttpRequest &request, Behaviour behaviour, bool framed)
{
    const std::string requestId = request.header("Oleandergate-Request-Id");
    if (!this->work(socket, std::chrono::milliseconds(std::stoi(request.query("work_ms"))))) {
        return false;
    }
    if (request.query("gap_ms").empty()) {
        const std::string text = plannedAnswer(requestId, request);
        return send(socket, this->head(request, "Content-Length: " + std::to_string(text.size())) + text);
    }
    return this->stream(socket, request, behaviour, framed);
}

bool StandinEndpoint::sendShortLength(tcp::socket &socket, const HttpRequest &request, const std::vector<std::string> &events, Behaviour behaviour)
{
    std::string stated;
    std::string rest;
    for (std::size_t index = 0; index < events.size(); ++index) {
        (index < shortLengthEvents ? stated : rest) += events[index];
    }
    if (behaviour == Behaviour::LengthWithoutBlankLine) {
        stated += rest;
        rest.clear();
    } else if (behaviour == Behaviour::LengthBeforeBlankLine) {
        stated.pop_back();
        rest = "\n" + rest;
    }
    const std::string start = this->head(request, "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(stated.size())) + stated;
    const bool isLate = behaviour == Behaviour::LateShortLength || behaviour == Behaviour::VeryLateShortLength;
    if (!isLate) {
        return send(socket, start + rest);
    }
    const bool open = send(socket, start);
    std::this_thread::sleep_for(behaviour == Behaviour::LateShortLength ? shortLengthPause : longShortLengthPause);
    return open && send(socket, rest);
}

bool StandinEndpoint::stream(tcp::socket &socket, const HttpRequest &request, Behaviour behaviour, bool framed)
{
    std::vector<std::uint64_t> numbers;
    {
        const std::lock_guard lock(this->mutex);
        numbers = this->eventNumbers;
    }
    const std::uint64_t first = positionBehind(request.header("Last-Event-Id"), numbers);
    if (behaviour == Behaviour::ShortLength || behaviour == Behaviour::LateShortLength || behaviour == Behaviour::VeryLateShortLength
        || behaviour == Behaviour::LengthWithoutBlankLine || behaviour == Behaviour::LengthBeforeBlankLine) {
        return this->sendShortLength(socket, request, planStream(behaviour, this->eventName(request), first).events, behaviour);
    }
    if (behaviour == Behaviour::Interim) {
        send(socket, std::string(interimAnswer) + interimAnswer);
    }
    send(socket, this->head(request, std::string("Content-Type: text/event-stream\r\n") + (framed ? "Transfer-Encoding: chunked" : "Connection: close")));
    const auto encode = framed ? chunk : unchanged;
    StreamPlan plan = planStream(behaviour, this->eventName(request), first);
    if (behaviour == Behaviour::WeightsChange) {
        const std::lock_guard lock(this->mutex);
        this->weightsVersion = this->weightsVersion.value_or(0) + 1;
        plan.events.back().insert(0, "oleandergate-weight-versions: " + std::to_string(*this->weightsVersion) + "\n");
    }
    const std::string gap = request.query("gap_ms");
    const std::size_t filler = std::stoul("0" + request.query("event_bytes"));
    for (const std::string &event : plan.events) {
        const bool open = send(socket, encode(enlarged(renumbered(event, numbers), filler)));
        if (!gap.empty()) {
            if (!open || !this->work(socket, std::chrono::milliseconds(std::stoi(gap)))) {
                return false;
            }
        } else if (behaviour == Behaviour::SlowStream || behaviour == Behaviour::SlowBreakMidEvent || behaviour == Behaviour::SlowUnframed) {
            std::this_thread::sleep_for(slowEventGap);
        }
    }
    if (!plan.rest.empty()) {
        send(socket, encode(plan.rest));
    }
    if (behaviour == Behaviour::UnframedTwice) {
        send(socket, this->wholeStream(this->head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"), request));
    }
    if (behaviour == Behaviour::CrashMidEvent || behaviour == Behaviour::CrashBetweenEvents) {
        this->crash();
    }
    if (behaviour == Behaviour::ResetBetweenEvents) {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (!plan.ends || !framed || !send(socket, "0\r\n\r\n")) {
        return false;
    }
    const Behaviour copied = behaviour == Behaviour::ExtraStream ? Behaviour::LateStream : Behaviour::LateUnnamedStream;
    const bool hasCopy = behaviour == Behaviour::ExtraStream || behaviour == Behaviour::ExtraUnnamedStream;
    return !hasCopy || send(socket, this->lateCopyOf(request, copied));
}

} // namespace oleandergate::support
