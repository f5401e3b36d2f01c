//! Token budgets over real processes, from what callers got.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int budget = 1000;
constexpr int mostOfOneTurn = 100;
constexpr int tokensOfOneTurn = 10 * StandinEndpoint::eventCount;
constexpr int patienceMs = 20000;

//! Sends turns through all fronts until the program is told that its budget is spent. Returns the tokens handed out.
int loopUntilSpent(GatewayCluster &cluster, const std::string &program)
{
    int tokens = 0;
    for (int turn = 0; turn < 200; ++turn) {
        const std::optional<HttpResponse> answer = cluster.turn(static_cast<std::size_t>(turn) % cluster.fronts.size(), program, budget);
        REQUIRE(answer);
        if (answer->status == 402) {
            return tokens;
        }
        tokens += answer->status == 200 ? tokensOfOneTurn : 0;
    }
    return tokens;
}

bool allSlotsKept(const GatewayCluster &cluster)
{
    for (int slot = 0; slot < 128; ++slot) {
        if (cluster.store.value("oleandergate/budget/slots/" + std::to_string(slot)).empty()) {
            return false;
        }
    }
    return true;
}

//! Two fronts that serve before one endpoint and keep all slots between them.
struct Kept : GatewayCluster
{
    Kept()
        : GatewayCluster(2, 1)
    {
        this->configure(1);
        this->announce(0);
        REQUIRE(this->waitReady());
        REQUIRE(waitFor(
            [this]() {
                return allSlotsKept(*this);
            },
            patienceMs));
    }
};

} // namespace

TEST_CASE("A program that loops is stopped at its budget, through any front, and stays stopped over the loss of all")
{
    Kept cluster;
    const int tokens = loopUntilSpent(cluster, "looping");
    CHECK(tokens <= budget);
    // What the budget holds is handed out, but for what one turn may need.
    CHECK(tokens > budget - mostOfOneTurn - tokensOfOneTurn);
    const std::size_t before = cluster.seenCount();
    CHECK(cluster.turn(0, "looping", budget)->status == 402);
    CHECK(cluster.turn(1, "looping", budget)->status == 402);
    CHECK(cluster.seenCount() == before);

    for (std::size_t front = 0; front < 2; ++front) {
        cluster.fronts[front].kill();
        cluster.startFront(front);
    }
    REQUIRE(cluster.waitReady());
    CHECK(tokens + loopUntilSpent(cluster, "looping") <= budget + mostOfOneTurn);
}

TEST_CASE("A program whose keeper died gets what is left and never more than one turn above its budget")
{
    Kept cluster;
    // Enough programs that both fronts keep some of them.
    for (int program = 0; program < 6; ++program) {
        const std::string name = "program-" + std::to_string(program);
        for (int turn = 0; turn < 3; ++turn) {
            REQUIRE(cluster.turn(0, name, budget)->status == 200);
        }
    }
    cluster.fronts[1].kill();
    for (int program = 0; program < 6; ++program) {
        const std::string name = "program-" + std::to_string(program);
        int tokens = 3 * tokensOfOneTurn;
        for (int turn = 0; turn < 100; ++turn) {
            const std::optional<HttpResponse> answer = cluster.turn(0, name, budget);
            REQUIRE(answer);
            if (answer->status == 402) {
                break;
            }
            tokens += answer->status == 200 ? tokensOfOneTurn : 0;
        }
        CHECK(tokens <= budget + mostOfOneTurn);
        CHECK(tokens >= budget / 2);
    }
}
