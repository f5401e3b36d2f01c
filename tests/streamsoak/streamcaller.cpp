#include "streamcaller.h"

#include "runtime/clock.h"
#include "soak/sightings.h"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <memory>
#include <thread>

namespace oleandergate::streamsoak {

namespace {

constexpr Milliseconds connectPause{20};
constexpr Milliseconds refusedPause{60};
constexpr Milliseconds pollInterval{20};

//! A caller abandons an attempt that pauses for longer.
constexpr Milliseconds patience{2000};

//! Returns the number of \p event; empty for none.
std::string numberOf(const std::string &event)
{
    constexpr std::string_view field = "id: ";
    return event.starts_with(field) ? event.substr(field.size(), event.find('\n') - field.size()) : std::string();
}

std::unique_ptr<support::CallerConnection> connectTo(const std::string &address)
{
    try {
        return std::make_unique<support::CallerConnection>(address);
    } catch (const boost::system::system_error &) {
        return nullptr;
    }
}

//! Returns the status of the answer that begins with \p bytes; 0 when it has no whole head.
int statusOf(const std::string &bytes)
{
    constexpr std::size_t statusAt = 9;
    return bytes.find("\r\n\r\n") == std::string::npos ? 0 : std::stoi("0" + bytes.substr(statusAt, 3));
}

std::string answeredIdOf(const std::string &bytes)
{
    constexpr std::string_view field = "\r\nOleandergate-Request-Id: ";
    const std::size_t at = bytes.substr(0, bytes.find("\r\n\r\n")).find(field);
    return at == std::string::npos ? std::string() : bytes.substr(at + field.size(), bytes.find("\r\n", at + 2) - at - field.size());
}

} // namespace

StreamCaller::StreamCaller(const std::vector<PlannedStream> &plan, const std::deque<GatewayState> &gateways)
    : plan(plan)
    , gateways(gateways)
{
}

void StreamCaller::run(Time beginAt, Time endAt)
{
    for (const PlannedStream &planned : this->plan) {
        const Duration untilPlanned = std::min(beginAt + planned.at, endAt) - currentTime();
        std::this_thread::sleep_for(std::max<Duration>(planned.pauseBefore, untilPlanned));
        if (currentTime() >= endAt) {
            return;
        }
        this->receive(planned, this->streams.emplace_back(SeenStream{&planned, {}}));
    }
}

void StreamCaller::receive(const PlannedStream &planned, SeenStream &seen) const
{
    std::string firstAttempt;
    std::string lastEvent;
    std::size_t gateway = planned.gateway;
    const Time leaveAt = planned.leaveAfter.count() > 0 ? currentTime() + planned.leaveAfter : Time::max();
    while (seen.attempts.size() < planned.maxAttempts) {
        Attempt next;
        next.id = planned.id + "-a" + std::to_string(seen.attempts.size());
        next.gateway = gateway;
        next.lastEvent = lastEvent;
        next.resumes = lastEvent.empty() ? std::string() : planned.namedAttempt(firstAttempt, seen.attempts.back().id);
        const std::optional<Attempt> made = this->attempt(planned, next, leaveAt);
        if (!made) {
            return;
        }
        seen.attempts.push_back(*made);
        if (!made->events.empty()) {
            firstAttempt = firstAttempt.empty() ? made->id : firstAttempt;
            lastEvent = numberOf(made->events.back());
        }
        const bool isRefused = made->status == 503 || made->status == 429;
        const bool mayGoOn = planned.route != Route::Single && (firstAttempt.empty() || !lastEvent.empty());
        if (made->left || (made->complete && made->status == 200) || (!isRefused && !mayGoOn)) {
            return;
        }
        const int takenUpAt = this->gateways[made->gateway].takenUpAt;
        gateway = takenUpAt < 0 ? (made->gateway + 1) % this->gateways.size() : static_cast<std::size_t>(takenUpAt);
        if (isRefused) {
            std::this_thread::sleep_for(refusedPause);
        }
    }
}

std::optional<Attempt> StreamCaller::attempt(const PlannedStream &planned, Attempt next, Time leaveAt) const
{
    std::unique_ptr<support::CallerConnection> connection;
    for (int count = 0; count < planned.maxConnects && !connection; ++count) {
        const GatewayState &state = this->gateways[next.gateway];
        connection = state.avoided ? nullptr : connectTo(state.address);
        if (!connection) {
            next.gateway = (next.gateway + 1) % this->gateways.size();
            std::this_thread::sleep_for(connectPause);
        }
    }
    if (!connection) {
        return std::nullopt;
    }
    next.beganAt = currentTime();
    const std::atomic<std::uint32_t> &breaks = this->gateways[next.gateway].breaks;
    const std::uint32_t breaksBefore = breaks;
    connection->send(planned.bytes(next.id, next.lastEvent, next.resumes));
    Time heardAt = next.beganAt;
    while (connection->end() == support::ConnectionEnd::Open && currentTime() < heardAt + patience && !next.left && breaks == breaksBefore) {
        if (connection->receiveSome(static_cast<int>(pollInterval.count()))) {
            heardAt = currentTime();
            std::this_thread::sleep_for(planned.readPause);
        }
        next.left = currentTime() >= leaveAt;
    }
    next.endedAt = currentTime();
    const std::vector<HttpResponse> answers = connection->responses();
    next.complete = !answers.empty();
    next.status = statusOf(connection->bytes());
    next.answeredId = answeredIdOf(connection->bytes());
    if (next.status == 200) {
        next.events = soak::piecesOf(next.complete ? answers.front().body : connection->incompleteBody());
    }
    return next;
}

} // namespace oleandergate::streamsoak
