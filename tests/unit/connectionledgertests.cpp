#include "decision/connectionledger.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

using namespace oleandergate;

namespace {

constexpr std::size_t limit = 32;

//! Of the limit, four connections may be on their way out: two turned away, two ended for others.
constexpr std::size_t places = 28;

ConnectionLimits limits()
{
    ConnectionLimits all;
    all.byKind.fill(limit);
    return all;
}

struct FullLedger
{
    FullLedger()
    {
        for (std::size_t index = 0; index < places; ++index) {
            const ConnectionLedger::Decision decision = this->ledger.open(ConnectionKind::Caller);
            CHECK(decision.admission == Admission::Admitted);
            CHECK_FALSE(decision.ended);
            this->connections.push_back(decision.connection);
        }
    }

    ConnectionLedger ledger{limits()};
    std::vector<ConnectionId> connections{};
};

} // namespace

// Load: callers that open connections and stop, beside ordinary ones that open connections and send requests.
TEST_CASE("Connections: a new one goes before the one that has rested for longest")
{
    FullLedger full;
    full.ledger.rest(full.connections[0]);
    const ConnectionLedger::Decision decision = full.ledger.open(ConnectionKind::Caller);
    CHECK(decision.admission == Admission::Admitted);
    CHECK(decision.ended == full.connections[1]);
    full.ledger.close(*decision.ended);
    CHECK(full.ledger.open(ConnectionKind::Caller).ended == full.connections[2]);
}

TEST_CASE("Connections: one whose request is being served is never ended, and the newcomer is told")
{
    FullLedger full;
    for (const ConnectionId connection : full.connections) {
        full.ledger.occupy(connection);
    }
    CHECK(full.ledger.open(ConnectionKind::Caller).admission == Admission::TurnedAway);
    const ConnectionLedger::Decision second = full.ledger.open(ConnectionKind::Caller);
    CHECK(second.admission == Admission::TurnedAway);
    CHECK(full.ledger.open(ConnectionKind::Caller).admission == Admission::Dropped);
    full.ledger.close(second.connection);
    CHECK(full.ledger.open(ConnectionKind::Caller).admission == Admission::TurnedAway);
    full.ledger.rest(full.connections[3]);
    CHECK(full.ledger.open(ConnectionKind::Caller).ended == full.connections[3]);
}

TEST_CASE("Connections: one that was to end and on which something has happened goes on")
{
    FullLedger full;
    const ConnectionLedger::Decision first = full.ledger.open(ConnectionKind::Caller);
    REQUIRE(first.ended == full.connections[0]);
    full.ledger.occupy(full.connections[0]);
    // It is one more than there are places, and the next newcomer has another one ended all the same.
    CHECK(full.ledger.open(ConnectionKind::Caller).ended == full.connections[1]);
}

// Load: a crowd that opens connections faster than what it sends on them is read, so that those which were to end go on.
TEST_CASE("Connections: a kind that is full of resting ones lets a new one in when one of them has ended")
{
    FullLedger full;
    for (std::size_t number = places; number < limit; ++number) {
        const ConnectionLedger::Decision decision = full.ledger.open(ConnectionKind::Caller);
        REQUIRE(decision.admission == Admission::Admitted);
        full.ledger.rest(decision.ended.value());
    }
    REQUIRE(full.ledger.openCount(ConnectionKind::Caller) == limit);
    const ConnectionLedger::Decision decision = full.ledger.open(ConnectionKind::Caller);
    CHECK(decision.admission == Admission::Wait);
    REQUIRE(decision.ended);
    full.ledger.close(*decision.ended);
    CHECK(full.ledger.open(ConnectionKind::Caller).admission == Admission::Admitted);
}

TEST_CASE("Connections: few are ended for others at a time")
{
    FullLedger full;
    const ConnectionLedger::Decision first = full.ledger.open(ConnectionKind::Caller);
    CHECK(first.ended);
    CHECK(full.ledger.open(ConnectionKind::Caller).ended);
    const ConnectionLedger::Decision third = full.ledger.open(ConnectionKind::Caller);
    CHECK(third.admission == Admission::Wait);
    CHECK_FALSE(third.ended);
    full.ledger.close(*first.ended);
    CHECK(full.ledger.open(ConnectionKind::Caller).ended);
}

// Guards against a kind with so few places that none of its connections is ended for a new one.
TEST_CASE("Connections: a new one finds a place in the smallest kind, too")
{
    ConnectionLimits few;
    few.byKind.fill(3);
    ConnectionLedger ledger(few);
    const ConnectionLedger::Decision first = ledger.open(ConnectionKind::Operator);
    const ConnectionLedger::Decision second = ledger.open(ConnectionKind::Operator);
    CHECK(second.admission == Admission::Admitted);
    CHECK(second.ended == first.connection);
}

TEST_CASE("Connections: one kind takes no place of another")
{
    FullLedger full;
    const ConnectionLedger::Decision other = full.ledger.open(ConnectionKind::Operator);
    CHECK(other.admission == Admission::Admitted);
    CHECK_FALSE(other.ended);
    CHECK(full.ledger.openCount(ConnectionKind::Operator) == 1);
    CHECK(full.ledger.openCount(ConnectionKind::Caller) == places);
}

// Load: callers that send many requests at once, and whose connections never rest.
TEST_CASE("Connections: for each new one without a place one yields behind its request")
{
    FullLedger full;
    for (const ConnectionId connection : full.connections) {
        full.ledger.occupy(connection);
    }
    CHECK_FALSE(full.ledger.yieldsAfterRequest(full.connections[0]));
    const ConnectionId turnedAway = full.ledger.open(ConnectionKind::Caller).connection;
    CHECK(full.ledger.yieldsAfterRequest(full.connections[0]));
    CHECK_FALSE(full.ledger.yieldsAfterRequest(full.connections[1]));
    full.ledger.close(turnedAway);
    full.ledger.close(full.connections[0]);
    const ConnectionLedger::Decision again = full.ledger.open(ConnectionKind::Caller);
    CHECK(again.admission == Admission::Admitted);
    CHECK_FALSE(again.ended);
    CHECK_FALSE(full.ledger.yieldsAfterRequest(full.connections[1]));
}

// Load: any order of openings, requests and closes, with connections that end late or go on.
TEST_CASE("Connections: no kind exceeds its limit, and no connection with a request is ended")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        ConnectionLedger ledger(limits());
        std::vector<ConnectionId> open;
        std::set<ConnectionId> occupied;
        for (int step = 0; step < 5000; ++step) {
            const bool opens = open.empty() || random() % 3 == 0;
            const std::size_t picked = open.empty() ? 0 : random() % open.size();
            if (opens) {
                const ConnectionLedger::Decision decision = ledger.open(ConnectionKind::Caller);
                if (decision.admission != Admission::Dropped && decision.admission != Admission::Wait) {
                    open.push_back(decision.connection);
                }
                CHECK((!decision.ended || !occupied.contains(*decision.ended)));
            } else if (random() % 3 == 0) {
                ledger.close(open[picked]);
                occupied.erase(open[picked]);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(picked));
            } else if (random() % 2 == 0) {
                ledger.occupy(open[picked]);
                occupied.insert(open[picked]);
            } else {
                ledger.rest(open[picked]);
                occupied.erase(open[picked]);
            }
            CHECK(ledger.openCount(ConnectionKind::Caller) == open.size());
            CHECK(open.size() <= limit);
        }
    }
}
