//! Allowances of organisations: an organisation that sends several times what it may, through all instances at once.

#include "bench/sharing/allowancefleet.h"
#include "decision/allowanceissuer.h"
#include "decision/allowancereserves.h"
#include "decision/organisationtable.h"

#include <doctest/doctest.h>

#include <set>

using namespace oleandergate;
using namespace oleandergate::bench;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr std::uint64_t organisation = 5;
const AllowanceTolerance noTolerance{std::chrono::seconds(5), 0.0, 0.0};

AllowanceCall callOf(double callsPerSecond, double burst, std::uint64_t program = 0, std::uint64_t configVersion = 1)
{
    return AllowanceCall{organisation, Allowance{callsPerSecond, burst}, configVersion, program};
}

AllowanceRequest requestOf(const AllowanceCall &call, double demand = 0.0, std::uint32_t instance = 1)
{
    AllowanceRequest request;
    request.call = call;
    request.instance = instance;
    request.callsPerSecond = demand;
    return request;
}

//! Plays \p load at several sizes and seeds. \p maxCut bounds the programs that were begun and then ended by a denied call.
void checkFleets(const AllowanceLoad &load, double minUsed, double maxCut = 1.0)
{
    for (const std::size_t size : {8U, 60U, 79U}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            AllowanceFleet fleet(size, load, AllowanceSharing::Reserves, seed);
            fleet.run();
            CHECK(fleet.excess() <= 0.0);
            CHECK(fleet.used() >= minUsed);
            CHECK(fleet.cutPrograms() <= maxCut);
        }
    }
}

} // namespace

// Guards against an organisation that gets several times its allowance, as each instance knows only what it lets through itself.
TEST_CASE("Allowances: without issuers an organisation gets all that it sends")
{
    AllowanceFleet fleet(60, AllowanceLoad{100.0, 0.6, 3.75}, AllowanceSharing::Unbounded, 1);
    fleet.run();
    CHECK(fleet.excess() > 1.0);
}

TEST_CASE("Allowances: six times the usual load keeps to the allowance, uses it, and ends hardly any program under way")
{
    checkFleets(AllowanceLoad{800.0, 0.6, 3.75}, 0.8, 0.02);
    checkFleets(AllowanceLoad{100.0, 0.6, 3.75, true}, 0.8, 0.02);
}

TEST_CASE("Allowances: the usual load is let through, and most of its calls need no message")
{
    for (const std::size_t size : {8U, 79U}) {
        AllowanceFleet fleet(size, AllowanceLoad{800.0, 0.6}, AllowanceSharing::Reserves, 1);
        fleet.run();
        CHECK(fleet.refusedPrograms() == 0.0);
        CHECK(fleet.cutPrograms() == 0.0);
        CHECK(fleet.messagesPerCall() < 0.5);
    }
}

TEST_CASE("Allowances: hold while issuers restart, requests to them are lost, instances end, and all of them restart")
{
    AllowanceLoad load{100.0, 5.0};
    load.issuerRestarts = true;
    checkFleets(load, 0.5);
    load = AllowanceLoad{100.0, 5.0};
    load.askLoss = 0.02;
    checkFleets(load, 0.5);
    load = AllowanceLoad{100.0, 5.0};
    load.isSkewed = true;
    load.quarterEnds = true;
    checkFleets(load, 0.5);
    load = AllowanceLoad{100.0, 5.0};
    load.allEnd = true;
    checkFleets(load, 0.5);
}

TEST_CASE("Allowances: a lower one holds from one window after its configuration on")
{
    AllowanceLoad load{100.0, 0.6};
    load.lowered = 0.25;
    checkFleets(load, 0.5);
}

TEST_CASE("Allowances: an issuer grants the burst at once, then one call for each that the rate allows")
{
    AllowanceIssuer issuer(noTolerance, Time{});
    for (int call = 0; call < 10; ++call) {
        CHECK(issuer.decide(requestOf(callOf(10.0, 10.0)), 1.0, start).granted);
    }
    const AllowanceDecision denied = issuer.decide(requestOf(callOf(10.0, 10.0)), 1.0, start);
    CHECK_FALSE(denied.granted);
    CHECK(denied.bound == AllowanceBound::Rate);
    CHECK(denied.retryAfter >= std::chrono::milliseconds(100));
    CHECK(issuer.decide(requestOf(callOf(10.0, 10.0)), 1.0, start + std::chrono::milliseconds(110)).granted);
    CHECK_FALSE(issuer.decide(requestOf(callOf(10.0, 10.0)), 1.0, start + std::chrono::milliseconds(110)).granted);
}

TEST_CASE("Allowances: an allowance without a burst lets single calls through")
{
    AllowanceIssuer issuer(noTolerance, Time{});
    CHECK(issuer.decide(requestOf(callOf(2.0, 0.0)), 1.0, start).granted);
    CHECK_FALSE(issuer.decide(requestOf(callOf(2.0, 0.0)), 1.0, start).granted);
    CHECK(issuer.decide(requestOf(callOf(2.0, 0.0)), 1.0, start + std::chrono::milliseconds(600)).granted);
}

// Guards against reserves that add up to more than the allowance, as every instance may use its own at any time.
TEST_CASE("Allowances: reserves of all instances and what is left together never exceed the bucket")
{
    AllowanceIssuer issuer(noTolerance, Time{});
    double taken = 0.0;
    for (std::uint32_t instance = 0; instance < 200; ++instance) {
        const AllowanceDecision decision = issuer.decide(requestOf(callOf(100.0, 100.0), 40.0, instance), 1.0, start);
        taken += decision.granted ? 1.0 + decision.reserve : 0.0;
    }
    CHECK(taken <= 100.0);
    CHECK(taken >= 99.0);
}

TEST_CASE("Allowances: an issuer that may have followed another one, or stood still, does not grant the burst again")
{
    AllowanceIssuer issuer(noTolerance, start);
    CHECK_FALSE(issuer.decide(requestOf(callOf(10.0, 50.0)), 1.0, start).granted);
    CHECK(issuer.decide(requestOf(callOf(10.0, 50.0)), 1.0, start + std::chrono::milliseconds(200)).granted);

    AllowanceIssuer frozen(noTolerance, Time{});
    CHECK(frozen.decide(requestOf(callOf(10.0, 50.0)), 1.0, start).granted);
    frozen.onPaused(start + std::chrono::seconds(4));
    CHECK_FALSE(frozen.decide(requestOf(callOf(10.0, 50.0)), 1.0, start + std::chrono::seconds(4)).granted);
}

// Guards against both sides of a cut with a whole allowance each.
TEST_CASE("Allowances: an issuer that reaches half of the instances has half of the allowance")
{
    AllowanceIssuer issuer(noTolerance, Time{});
    int granted = 0;
    for (int tenth = 0; tenth < 100; ++tenth) {
        for (int call = 0; call < 5; ++call) {
            granted += issuer.decide(requestOf(callOf(10.0, 10.0)), 0.5, start + std::chrono::milliseconds(100) * tenth).granted ? 1 : 0;
        }
    }
    CHECK(granted <= 5 + 50);
}

TEST_CASE("Allowances: a newer configuration counts, an older one does not")
{
    AllowanceIssuer issuer(noTolerance, Time{});
    CHECK(issuer.decide(requestOf(callOf(1.0, 2.0, 0, 4)), 1.0, start).granted);
    CHECK(issuer.decide(requestOf(callOf(100.0, 100.0, 0, 3)), 1.0, start).granted);
    CHECK_FALSE(issuer.decide(requestOf(callOf(100.0, 100.0, 0, 3)), 1.0, start).granted);
    CHECK(issuer.decide(requestOf(callOf(100.0, 100.0, 0, 5)), 1.0, start + std::chrono::milliseconds(20)).granted);
}

// Guards against programs that use up the allowance and are then ended in the middle.
TEST_CASE("Allowances: new programs are denied before calls of programs under way")
{
    AllowanceIssuer issuer(noTolerance, Time{});
    std::uint64_t program = 0;
    AllowanceDecision decision;
    do {
        program += 1;
        decision = issuer.decide(requestOf(callOf(20.0, 100.0, program)), 1.0, start);
    } while (decision.granted);
    CHECK(decision.bound == AllowanceBound::OpenPrograms);
    CHECK(program > 2);
    CHECK(decision.retryAfter > Duration::zero());
    for (int call = 0; call < 20; ++call) {
        CHECK(issuer.decide(requestOf(callOf(20.0, 100.0)), 1.0, start).granted);
    }
    // A call that names a program which has begun is one under way, wherever it arrives.
    CHECK(issuer.decide(requestOf(callOf(20.0, 100.0, 1), 0.0, 2), 1.0, start).granted);
}

TEST_CASE("Allowances: an instance uses its reserve before it asks, and asks for each program that it does not know")
{
    AllowanceReserves reserves(1);
    const AllowanceCall first = callOf(10.0, 10.0, 7);
    CHECK(reserves.decide(first, start).step == AllowanceStep::Ask);
    reserves.onDecision(first, AllowanceDecision{true, AllowanceBound::None, 1, std::chrono::seconds(1), {}}, start);
    CHECK(reserves.decide(first, start).step == AllowanceStep::LetThrough);
    CHECK(reserves.decide(first, start).step == AllowanceStep::Ask);
    CHECK_FALSE(reserves.decide(first, start).begins);
    reserves.onDecision(first, AllowanceDecision{true, AllowanceBound::None, 5, std::chrono::seconds(1), {}}, start);
    const AllowanceReserves::Verdict other = reserves.decide(callOf(10.0, 10.0, 8), start);
    CHECK(other.step == AllowanceStep::Ask);
    CHECK(other.begins);
    CHECK(other.request.call.program == 8);
    CHECK(other.request.reserve == 5);
    // Reserves end.
    CHECK(reserves.decide(first, start + std::chrono::seconds(2)).step == AllowanceStep::Ask);
}

TEST_CASE("Allowances: what the issuer denied is not asked for again for a while, and programs under way do not wait for new ones")
{
    AllowanceReserves reserves(1);
    const AllowanceCall underWay = callOf(10.0, 10.0, 7);
    reserves.onDecision(underWay, AllowanceDecision{true}, start);
    reserves.onDecision(callOf(10.0, 10.0, 8), AllowanceDecision{false, AllowanceBound::OpenPrograms, 0, {}, std::chrono::seconds(1)}, start);
    CHECK(reserves.decide(callOf(10.0, 10.0, 9), start).step == AllowanceStep::Wait);
    CHECK(reserves.decide(underWay, start).step == AllowanceStep::Ask);
    reserves.onDecision(underWay, AllowanceDecision{false, AllowanceBound::Rate, 0, {}, std::chrono::milliseconds(60)}, start);
    CHECK(reserves.decide(underWay, start).wait == std::chrono::milliseconds(60));
    CHECK(reserves.decide(underWay, start + std::chrono::milliseconds(60)).step == AllowanceStep::Ask);
}

TEST_CASE("Allowances: an organisation without one is never asked for, and a call that was not sent is given back")
{
    AllowanceReserves reserves(1);
    CHECK(reserves.decide(callOf(0.0, 5.0, 3), start).step == AllowanceStep::LetThrough);
    reserves.giveBack(organisation, start);
    CHECK(reserves.decide(callOf(10.0, 10.0), start).step == AllowanceStep::LetThrough);
    CHECK(reserves.decide(callOf(10.0, 10.0), start).step == AllowanceStep::Ask);
}

TEST_CASE("Organisations are found by the hash of a key or of their name, also ten thousand of them")
{
    std::vector<Organisation> organisations;
    for (int index = 0; index < 10'000; ++index) {
        const std::string number = std::to_string(index);
        organisations.push_back(Organisation{"o" + number, {"a" + number, "b" + number}, index, {}});
    }
    const OrganisationTable table(organisations);
    CHECK(table.size() == 10'000);
    REQUIRE(table.findByKeyHash("b9999") != nullptr);
    CHECK(table.findByKeyHash("b9999")->name == "o9999");
    CHECK(table.findByKeyHash("a0")->name == "o0");
    CHECK(table.findByKeyHash("c0") == nullptr);
    CHECK(table.findByKeyHash("") == nullptr);
    CHECK(table.findByHash(organisationHash("o17"))->rank == 17);
    CHECK(table.findByHash(1) == nullptr);
}
