#include "decision/connectionledger.h"

#include <algorithm>

namespace oleandergate {

namespace {

//! The part of a kind's connections that may be on their way out at a time: half of it turned away, half of it ended for others.
constexpr std::size_t leavingDivisor = 8;
constexpr std::size_t minLeaving = 2;
constexpr std::size_t maxLeaving = 64;

std::size_t leavingLimit(std::size_t limit)
{
    return std::clamp(limit / leavingDivisor, minLeaving, maxLeaving);
}

} // namespace

ConnectionLedger::ConnectionLedger(const ConnectionLimits &limits)
{
    for (std::size_t index = 0; index < this->kinds.size(); ++index) {
        this->kinds[index].limit = limits.byKind[index];
    }
}

ConnectionLedger::Kind &ConnectionLedger::kindOf(const Connection &connection)
{
    return this->kinds.at(static_cast<std::size_t>(connection.kind));
}

ConnectionLedger::Decision ConnectionLedger::open(ConnectionKind kind)
{
    Connection opened;
    opened.kind = kind;
    Kind &own = this->kindOf(opened);
    const std::size_t leaving = leavingLimit(own.limit);
    const std::size_t staying = own.open - own.turnedAway - own.ending;
    Decision decision;
    const bool isFull = own.open >= own.limit;
    if (staying >= own.limit - leaving) {
        if (own.ending >= leaving / 2) {
            decision.admission = Admission::Wait;
        } else if (!own.resting.empty()) {
            decision.ended = own.resting.front();
            this->change(*decision.ended, Standing::Ending);
            decision.admission = isFull ? Admission::Wait : Admission::Admitted;
        } else if (isFull || own.turnedAway >= leaving / 2) {
            decision.admission = Admission::Dropped;
        } else {
            opened.standing = Standing::TurnedAway;
            decision.admission = Admission::TurnedAway;
        }
    }
    if (decision.admission == Admission::Dropped || decision.admission == Admission::TurnedAway) {
        own.missed = std::min(own.missed + 1, leaving);
    }
    if (decision.admission == Admission::Dropped || decision.admission == Admission::Wait) {
        return decision;
    }
    decision.connection = this->nextConnection++;
    own.open += 1;
    this->enter(decision.connection, this->connections[decision.connection] = opened, opened.standing);
    return decision;
}

void ConnectionLedger::close(ConnectionId connection)
{
    const auto closed = this->connections.find(connection);
    this->leave(closed->second);
    this->kindOf(closed->second).open -= 1;
    this->connections.erase(closed);
}

void ConnectionLedger::rest(ConnectionId connection)
{
    this->change(connection, Standing::Resting);
}

void ConnectionLedger::occupy(ConnectionId connection)
{
    this->change(connection, Standing::Occupied);
}

bool ConnectionLedger::yieldsAfterRequest(ConnectionId connection)
{
    Kind &kind = this->kindOf(this->connections.at(connection));
    if (kind.missed == 0) {
        return false;
    }
    kind.missed -= 1;
    return true;
}

void ConnectionLedger::change(ConnectionId id, Standing standing)
{
    Connection &changed = this->connections.at(id);
    if (changed.standing != Standing::TurnedAway) {
        this->leave(changed);
        this->enter(id, changed, standing);
    }
}

void ConnectionLedger::enter(ConnectionId id, Connection &connection, Standing standing)
{
    Kind &kind = this->kindOf(connection);
    connection.standing = standing;
    if (standing == Standing::Resting) {
        connection.position = kind.resting.insert(kind.resting.end(), id);
    }
    kind.ending += standing == Standing::Ending ? 1 : 0;
    kind.turnedAway += standing == Standing::TurnedAway ? 1 : 0;
}

void ConnectionLedger::leave(Connection &connection)
{
    Kind &kind = this->kindOf(connection);
    if (connection.standing == Standing::Resting) {
        kind.resting.erase(connection.position);
    }
    kind.ending -= connection.standing == Standing::Ending ? 1 : 0;
    kind.turnedAway -= connection.standing == Standing::TurnedAway ? 1 : 0;
}

std::size_t ConnectionLedger::openCount(ConnectionKind kind) const
{
    return this->kinds.at(static_cast<std::size_t>(kind)).open;
}

std::size_t ConnectionLedger::limit(ConnectionKind kind) const
{
    return this->kinds.at(static_cast<std::size_t>(kind)).limit;
}

} // namespace oleandergate
