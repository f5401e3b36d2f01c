#include "soakcaller.h"

#include "runtime/clock.h"

#include <boost/system/system_error.hpp>

#include <thread>

namespace oleandergate::soak {

namespace {

constexpr int unreceivedBytes = 16384; //!< Of a caller that reads slowly.
constexpr Milliseconds pollInterval{20};

//! A caller gives up this long after its request should have been answered.
constexpr Milliseconds patience{3000};

//! The other side closes its connection within this time after its last answer.
constexpr Milliseconds closeTime{2000};

bool asksToClose(const HttpResponse &answer)
{
    return answer.header("Connection") == "close";
}

} // namespace

SoakCaller::SoakCaller(const PlannedCaller &plan, GatewayState &state, Milliseconds readPause)
    : plan(plan)
    , state(state)
    , readPause(readPause)
{
}

void SoakCaller::run(Time startAt)
{
    while (currentTime() < startAt && !this->state.gone) {
        std::this_thread::sleep_for(pollInterval);
    }
    std::size_t position = 0;
    while (position < this->plan.requests.size() && !this->state.gone && !this->state.quiet) {
        const PlannedRequest &request = this->plan.requests[position];
        if (this->connection) {
            this->receiveFor(request.pauseBefore);
        }
        if (this->connection && (request.newConnection || this->connection->end() != support::ConnectionEnd::Open)) {
            this->finishConnection();
        }
        if (!this->connection && !this->open()) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        position += this->sendFrom(position);
        this->awaitAnswers();
    }
    // A kept connection stays open until the process is gone.
    while (this->connection && this->connection->end() == support::ConnectionEnd::Open && !this->state.gone) {
        this->receiveFor(pollInterval);
    }
    if (this->connection) {
        this->finishConnection();
    }
}

bool SoakCaller::open()
{
    try {
        this->connection = std::make_unique<support::CallerConnection>(this->state.address);
    } catch (const boost::system::system_error &) {
        return false;
    }
    this->firstOnConnection = this->exchanges.size();
    this->answeredOnConnection = 0;
    return true;
}

std::size_t SoakCaller::sendFrom(std::size_t position)
{
    const std::size_t first = this->exchanges.size();
    std::string together;
    std::size_t count = 0;
    bool more = true;
    while (more) {
        const PlannedRequest &request = this->plan.requests[position + count];
        Exchange exchange;
        exchange.request = &request;
        exchange.gateway = this->plan.gateway;
        exchange.beganAt = currentTime();
        this->exchanges.push_back(exchange);
        count += 1;
        constexpr std::size_t maxTogether = 3;
        const bool isPipelined = request.style == Style::Pipelined;
        if (isPipelined) {
            together += request.bytes().front();
        }
        more = isPipelined && count < maxTogether && position + count < this->plan.requests.size()
            && this->plan.requests[position + count].style == Style::Pipelined;
    }
    if (this->exchanges[first].request->style == Style::SlowReader) {
        this->connection->limitUnreceived(unreceivedBytes);
    }
    if (together.empty()) {
        this->sendParts(this->exchanges[first]);
        return count;
    }
    const bool sent = this->connection->send(together);
    for (std::size_t index = first; sent && index < this->exchanges.size(); ++index) {
        this->exchanges[index].sentAt = currentTime();
    }
    return count;
}

void SoakCaller::sendParts(Exchange &exchange)
{
    const std::vector<std::string> parts = exchange.request->bytes();
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (index > 0) {
            this->receiveFor(exchange.request->pause);
            this->noteAnswers();
            // An answer before the end of the request is a refusal.
            if (exchange.answeredAt || this->connection->end() != support::ConnectionEnd::Open) {
                return;
            }
        }
        if (!this->connection->send(parts[index])) {
            return;
        }
    }
    exchange.sentAt = currentTime();
}

void SoakCaller::receiveFor(Milliseconds duration)
{
    const Time until = currentTime() + duration;
    Duration left = duration;
    do {
        const auto waitMs = std::chrono::duration_cast<Milliseconds>(left).count();
        this->connection->receiveSome(static_cast<int>(std::max<std::int64_t>(0, waitMs)));
        left = until - currentTime();
    } while (left > Duration::zero() && this->connection->end() == support::ConnectionEnd::Open);
}

void SoakCaller::awaitAnswers()
{
    const PlannedRequest &last = *this->exchanges.back().request;
    const Time giveUpAt = currentTime() + (this->exchanges.size() - this->firstOnConnection > 0 ? routeTimeout * 3 : routeTimeout) + patience;
    this->noteAnswers();
    while (this->connection->end() == support::ConnectionEnd::Open && this->firstOnConnection + this->answeredOnConnection < this->exchanges.size()
           && currentTime() < giveUpAt) {
        if (this->connection->receiveSome(static_cast<int>(pollInterval.count()))) {
            this->noteAnswers();
            if (last.style == Style::SlowReader) {
                std::this_thread::sleep_for(this->readPause);
            }
        }
    }
    const bool isClosing = this->answeredOnConnection > 0 && asksToClose(this->exchanges[this->firstOnConnection + this->answeredOnConnection - 1].answer);
    const bool isAnswered = this->firstOnConnection + this->answeredOnConnection == this->exchanges.size();
    if (isClosing || !isAnswered) {
        this->finishConnection();
    }
}

void SoakCaller::noteAnswers()
{
    const std::vector<HttpResponse> answers = this->connection->responses();
    for (; this->answeredOnConnection < answers.size(); ++this->answeredOnConnection) {
        const std::size_t position = this->firstOnConnection + this->answeredOnConnection;
        if (position >= this->exchanges.size()) {
            this->strayAnswers += answers.size() - this->answeredOnConnection;
            return;
        }
        this->exchanges[position].answer = answers[this->answeredOnConnection];
        this->exchanges[position].answeredAt = currentTime();
    }
}

void SoakCaller::finishConnection()
{
    if (this->connection->end() == support::ConnectionEnd::Open && this->answeredOnConnection > 0
        && asksToClose(this->exchanges[this->firstOnConnection + this->answeredOnConnection - 1].answer)) {
        this->connection->receiveToEnd(static_cast<int>(closeTime.count()));
    }
    this->noteAnswers();
    const Time endedAt = currentTime();
    bool isFirst = true;
    for (std::size_t position = this->firstOnConnection + this->answeredOnConnection; position < this->exchanges.size(); ++position) {
        this->exchanges[position].endedAt = endedAt;
        this->exchanges[position].end = this->connection->end();
        this->exchanges[position].statusBefore
            = this->answeredOnConnection > 0 ? this->exchanges[this->firstOnConnection + this->answeredOnConnection - 1].answer.status : 0;
        const std::size_t incompleteBytes = this->connection->incompleteBytes();
        this->exchanges[position].incompleteBytes = isFirst ? incompleteBytes : 0;
        if (isFirst && this->exchanges[position].request->kind == Kind::Turn) {
            this->exchanges[position].incompleteBody = this->connection->incompleteBody();
        }
        this->exchanges[position].isBehindBroken = !isFirst && incompleteBytes > 0;
        isFirst = false;
    }
    this->strayAnswers += isFirst && this->connection->incompleteBytes() > 0 ? 1 : 0;
    this->connection.reset();
}

} // namespace oleandergate::soak
