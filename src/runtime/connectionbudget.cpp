#include "runtime/connectionbudget.h"

#include "runtime/asyncsignal.h"

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! How often, and how many times, a place is asked for while other connections are being ended.
constexpr Duration askInterval = std::chrono::milliseconds(1);
constexpr int maxAsks = 100;

} // namespace

ConnectionBudget::ConnectionBudget(const ConnectionLimits &limits, Metrics &givenMetrics)
    : ledger(limits)
    , metrics(givenMetrics)
    , endedCounters(metrics.counters("oleandergate_connections_ended_for_others_total", "kind", connectionKindNames))
    , refusedCounters(metrics.counters("oleandergate_connections_refused_total", "kind", connectionKindNames))
{
}

std::unique_ptr<ConnectionPlace> ConnectionBudget::open(ConnectionKind kind)
{
    Admission admission = Admission::Admitted;
    return this->open(kind, admission);
}

asio::awaitable<std::unique_ptr<ConnectionPlace>> ConnectionBudget::openInTime(ConnectionKind kind)
{
    Admission admission = Admission::Admitted;
    std::unique_ptr<ConnectionPlace> place = this->open(kind, admission);
    for (int asks = 1; admission == Admission::Wait && asks < maxAsks; ++asks) {
        co_await sleepFor(askInterval);
        place = this->open(kind, admission);
    }
    co_return place;
}

std::unique_ptr<ConnectionPlace> ConnectionBudget::open(ConnectionKind kind, Admission &admission)
{
    ConnectionLedger::Decision decision;
    std::function<void()> endOther;
    {
        const std::lock_guard lock(this->mutex);
        decision = this->ledger.open(kind);
        const auto ending = decision.ended ? this->endings.find(*decision.ended) : this->endings.end();
        if (ending != this->endings.end()) {
            endOther = ending->second;
        }
    }
    if (endOther) {
        this->endedCounters.at(static_cast<std::size_t>(kind))->add();
        endOther();
    }
    admission = decision.admission;
    if (admission == Admission::Wait) {
        return nullptr;
    }
    if (admission != Admission::Admitted) {
        this->refusedCounters.at(static_cast<std::size_t>(kind))->add();
    }
    if (admission == Admission::Dropped) {
        return nullptr;
    }
    return std::make_unique<ConnectionPlace>(*this, decision.connection, admission == Admission::TurnedAway);
}

std::unique_ptr<ConnectionPlace> ConnectionBudget::openAdmitted(ConnectionKind kind)
{
    std::unique_ptr<ConnectionPlace> place = this->open(kind);
    return place && place->isTurnedAway() ? nullptr : std::move(place);
}

void ConnectionBudget::exportGauges()
{
    const std::lock_guard lock(this->mutex);
    for (const NamedValue<ConnectionKind> &kind : connectionKindNames) {
        const std::string label = "kind=\"" + std::string(kind.name) + "\"";
        this->metrics.setGauge("oleandergate_connections", static_cast<double>(this->ledger.openCount(kind.value)), label);
        this->metrics.setGauge("oleandergate_connections_limit", static_cast<double>(this->ledger.limit(kind.value)), label);
    }
}

ConnectionPlace::ConnectionPlace(ConnectionBudget &budget, ConnectionId id, bool isTurnedAway)
    : budget(budget)
    , id(id)
    , turnedAway(isTurnedAway)
{
}

ConnectionPlace::~ConnectionPlace()
{
    const std::lock_guard lock(this->budget.mutex);
    this->budget.ledger.close(this->id);
    this->budget.endings.erase(this->id);
}

bool ConnectionPlace::isTurnedAway() const
{
    return this->turnedAway;
}

void ConnectionPlace::setEnding(std::function<void()> onEnded)
{
    const std::lock_guard lock(this->budget.mutex);
    this->budget.endings[this->id] = std::move(onEnded);
}

void ConnectionPlace::rest()
{
    const std::lock_guard lock(this->budget.mutex);
    this->budget.ledger.rest(this->id);
}

void ConnectionPlace::occupy()
{
    const std::lock_guard lock(this->budget.mutex);
    this->budget.ledger.occupy(this->id);
}

bool ConnectionPlace::yieldsAfterRequest()
{
    const std::lock_guard lock(this->budget.mutex);
    return this->budget.ledger.yieldsAfterRequest(this->id);
}

} // namespace oleandergate
