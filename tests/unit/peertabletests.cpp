#include "decision/peertable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <utility>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

PeerReport makeReport(const std::string &id, std::uint64_t number = 1)
{
    PeerReport result;
    result.instance = InstanceRecord{id, "10.0.0." + id + ":90", "a", false};
    result.number = number;
    return result;
}

} // namespace

TEST_CASE("Calls of live peers are added up, and those of peers without recent reports are ignored")
{
    PeerTable table("10.0.0.9:90", "a", {});
    PeerReport first = makeReport("1");
    first.loads[7] = 2;
    PeerReport second = makeReport("2");
    second.loads[7] = 3;
    table.onReport(first, start);
    table.onReport(second, start + std::chrono::milliseconds(600));
    CHECK(table.loads(start + std::chrono::milliseconds(650)).at(7) == 5);
    CHECK(table.loads(start + std::chrono::milliseconds(900)).at(7) == 3);
}

// Guards against totals that drift: they are kept up to date by each report instead of being added up anew.
TEST_CASE("The total of calls is the sum of the latest reports, whatever reports, losses and restarts came before")
{
    std::minstd_rand random(7);
    PeerTable table("10.0.0.200:90", "a", {});
    std::map<std::string, PeerReport> latest;
    std::map<std::string, Time> receivedAt;
    Time now = start;
    for (std::uint64_t number = 1; number <= 5000; ++number) {
        now += std::chrono::milliseconds(random() % 40);
        const std::string address = std::to_string(random() % 11);
        PeerReport report = makeReport(address, number);
        report.instance.id += "~" + std::to_string(number / 700);
        for (std::uint32_t endpoint = 0; endpoint < 6; ++endpoint) {
            if (random() % 2 == 0) {
                report.loads[endpoint] = random() % 4;
            }
        }
        table.onReport(report, now);
        latest[address] = report;
        receivedAt[address] = now;
        if (random() % 50 == 0) {
            now += std::chrono::milliseconds(random() % 3000);
            table.expire(now);
        }
        std::map<std::uint32_t, std::uint32_t> expected;
        for (const auto &[sender, sent] : latest) {
            for (const auto &[endpoint, calls] : sent.loads) {
                if (calls > 0 && now - receivedAt[sender] <= std::chrono::milliseconds(700)) {
                    expected[endpoint] += calls;
                }
            }
        }
        REQUIRE(table.loads(now) == expected);
    }
}

// Guards against consumers that miss a change: they are called only when this number grows.
TEST_CASE("The revision of the members grows when one comes, leaves, is lost or owns other slots, and not with its loads")
{
    PeerTable table("10.0.0.200:90", "a", {});
    std::uint64_t known = table.membersRevision();
    const auto changed = [&table, &known]() {
        return std::exchange(known, table.membersRevision()) != table.membersRevision();
    };
    PeerReport report = makeReport("1", 1);
    table.onReport(report, start);
    CHECK(changed());
    report.number = 2;
    report.loads[7] = 2;
    table.onReport(report, start);
    CHECK_FALSE(changed());
    report.number = 3;
    report.ownedBudgetSlots = {4};
    table.onReport(report, start);
    CHECK(changed());
    report.number = 4;
    report.instance.leaving = true;
    table.onReport(report, start);
    CHECK(changed());
    PeerReport restarted = makeReport("1", 5);
    restarted.instance.id = "1~2";
    table.onReport(restarted, start);
    CHECK(changed());
    table.expire(start + std::chrono::seconds(1));
    CHECK_FALSE(changed());
    table.expire(start + std::chrono::seconds(5));
    CHECK(changed());
}

TEST_CASE("A late or repeated report is ignored")
{
    PeerTable table("10.0.0.9:90", "a", {});
    CHECK(table.onReport(makeReport("1", 5), start));
    CHECK_FALSE(table.onReport(makeReport("1", 5), start));
    CHECK_FALSE(table.onReport(makeReport("1", 4), start));
    CHECK(table.onReport(makeReport("1", 6), start));
}

TEST_CASE("A peer without reports is removed, unless this process itself was paused")
{
    PeerTable table("10.0.0.9:90", "a", {});
    table.onReport(makeReport("1"), start);
    const Time later = start + std::chrono::seconds(5);
    SUBCASE("silent peer")
    {
        CHECK(table.expire(later) == std::vector<InstanceId>{"1"});
        CHECK(table.liveInstances().empty());
    }
    SUBCASE("paused process")
    {
        table.resetTimeouts(later);
        CHECK(table.expire(later).empty());
        CHECK(table.liveInstances().size() == 1);
    }
}

TEST_CASE("The address of every live peer is sent at some time, so that instances that are not seeds learn of each other")
{
    PeerTable table("10.0.0.9:90", "a", {});
    for (int peer = 1; peer <= 7; ++peer) {
        table.onReport(makeReport(std::to_string(peer)), start);
    }
    std::set<std::string> sentAddresses;
    for (int report = 0; report < 60; ++report) {
        for (const std::string &address : table.sampleAddresses(3)) {
            sentAddresses.insert(address);
        }
    }
    CHECK(sentAddresses.size() == 7);
}

TEST_CASE("Each report is sent to a limited number of peers, and over time reports are sent to all")
{
    PeerTable table("10.0.0.200:90", "b", {});
    for (int peer = 1; peer <= 40; ++peer) {
        table.onReport(makeReport(std::to_string(peer)), start);
    }
    std::set<std::string> allTargets;
    for (int report = 0; report < 14; ++report) {
        const std::vector<std::string> targets = table.nextTargets(true, start);
        CHECK(targets.size() <= 3);
        allTargets.insert(targets.begin(), targets.end());
    }
    CHECK(allTargets.size() == 40);
}

TEST_CASE("Few peers get only reports that differ, while a rotation goes on")
{
    PeerTable table("10.0.0.200:90", "b", {});
    for (int peer = 1; peer <= 12; ++peer) {
        table.onReport(makeReport(std::to_string(peer)), start);
    }
    CHECK(table.nextTargets(false, start).empty());
    CHECK(table.nextTargets(true, start).size() == 12);
    table.onReport(makeReport("13"), start);
    CHECK(table.nextTargets(false, start).size() == 3);
}

TEST_CASE("A changed report also goes to a limited number of peers in the own failure domain, and over time to all of them")
{
    PeerTable table("10.0.0.200:90", "a", {});
    for (int peer = 1; peer <= 51; ++peer) {
        table.onReport(makeReport(std::to_string(peer)), start);
    }
    std::set<std::string> reached;
    for (int report = 0; report < 4; ++report) {
        const std::vector<std::string> targets = table.nextTargets(true, start);
        CHECK(targets.size() <= 19);
        CHECK(std::set<std::string>(targets.begin(), targets.end()).size() == targets.size());
        reached.insert(targets.begin(), targets.end());
    }
    CHECK(reached.size() == 51);
    CHECK(table.nextTargets(false, start).size() == 3);
}

TEST_CASE("An address that never answered is retried at intervals")
{
    PeerTable table("10.0.0.9:90", "a", {"10.0.0.1:90", "10.0.0.9:90"});
    CHECK(table.nextTargets(true, start) == std::vector<std::string>{"10.0.0.1:90"});
    CHECK(table.nextTargets(true, start + std::chrono::milliseconds(100)).empty());
    CHECK(table.nextTargets(true, start + std::chrono::milliseconds(600)).size() == 1);
}

TEST_CASE("Only a peer that knows the endpoints up to a later revision is queried, regardless of when it read them")
{
    PeerTable table("10.0.0.9:90", "a", {});
    PeerReport other = makeReport("1");
    other.endpointDigest = 8;
    other.endpointRevision = 20;
    other.lastServiceContact = start - std::chrono::seconds(1);
    table.onReport(other, start);
    REQUIRE(table.offersOfEndpoints(9, 19).size() == 1);
    CHECK(table.offersOfEndpoints(9, 19).front().address == "10.0.0.1:90");
    CHECK(table.offersOfEndpoints(9, 19).front().reportedAt == start);
    CHECK(table.offersOfEndpoints(8, 19).empty());
    CHECK(table.offersOfEndpoints(9, 20).empty());
}

// Guards against instances that overlook news or search for some that nobody has: what the peers have at most is kept up to date by each report.
TEST_CASE("Offers and the latest contact to the service are those of the latest reports, whatever reports, losses and restarts came before")
{
    std::minstd_rand random(11);
    PeerTable table("10.0.0.200:90", "a", {});
    std::map<std::string, PeerReport> latest;
    std::map<std::string, Time> receivedAt;
    Time now = start;
    for (std::uint64_t number = 1; number <= 5000; ++number) {
        now += std::chrono::milliseconds(random() % 40);
        const std::string address = std::to_string(random() % 11);
        PeerReport report = makeReport(address, number);
        report.instance.id += "~" + std::to_string(number / 700);
        report.configVersion = random() % 4;
        report.endpointRevision = random() % 4;
        report.endpointDigest = random() % 2;
        report.lastServiceContact = now - std::chrono::milliseconds(random() % 2000);
        table.onReport(report, now);
        latest[address] = report;
        receivedAt[address] = now;
        if (random() % 50 == 0) {
            now += std::chrono::milliseconds(random() % 3000);
            table.expire(now);
            std::erase_if(latest, [&](const auto &entry) {
                return now - receivedAt[entry.first] > std::chrono::milliseconds(1800);
            });
        }
        Time contact{};
        for (const auto &[sender, sent] : latest) {
            contact = std::max(contact, sent.lastServiceContact);
        }
        REQUIRE(table.liveCount() == latest.size());
        REQUIRE(table.latestServiceContact() == contact);
        REQUIRE(table.hasServiceContactAfter(contact - Duration(1)) == !latest.empty());
        REQUIRE_FALSE(table.hasServiceContactAfter(contact));
        for (std::uint64_t known = 0; known < 4; ++known) {
            const auto newerConfiguration = std::count_if(latest.begin(), latest.end(), [known](const auto &entry) {
                return entry.second.configVersion > known;
            });
            const auto newerEndpoints = std::count_if(latest.begin(), latest.end(), [known](const auto &entry) {
                return entry.second.endpointRevision > known && entry.second.endpointDigest != 1;
            });
            REQUIRE(table.offersOfConfiguration(known).size() == static_cast<std::size_t>(newerConfiguration));
            REQUIRE(table.offersOfEndpoints(1, known).size() == static_cast<std::size_t>(newerEndpoints));
            REQUIRE(table.countReports([known](const PeerReport &report) {
                return report.configVersion > known;
            }) == static_cast<std::size_t>(newerConfiguration));
        }
    }
}

TEST_CASE("The owner of a budget slot is the live peer that reports it")
{
    PeerTable table("10.0.0.9:90", "a", {});
    PeerReport owner = makeReport("1");
    owner.ownedBudgetSlots = {3, 5};
    table.onReport(owner, start);
    CHECK(table.budgetSlotOwners().at(5) == "10.0.0.1:90");
    table.expire(start + std::chrono::seconds(5));
    CHECK(table.budgetSlotOwners().empty());
}

TEST_CASE("A new instance at an address replaces the previous one at once")
{
    PeerTable table("10.0.0.9:90", "a", {});
    table.onReport(makeReport("1"), start);
    PeerReport restarted = makeReport("1");
    restarted.instance.id = "1~2";
    table.onReport(restarted, start + std::chrono::milliseconds(500));
    REQUIRE(table.liveInstances().size() == 1);
    CHECK(table.liveInstances().front().id == "1~2");
}

TEST_CASE("Every peer receives the address of every other one, although addresses and targets are drawn from the same peers")
{
    PeerTable table("10.0.0.200:90", "b", {});
    constexpr int peers = 57;
    for (int peer = 1; peer <= peers; ++peer) {
        table.onReport(makeReport(std::to_string(peer)), start);
    }
    std::set<std::pair<std::string, std::string>> sentPairs;
    // Each report carries three addresses to three targets: 63000 pairs in total, about twenty times as many as there are.
    for (int report = 0; report < 7000; ++report) {
        const std::vector<std::string> names = table.sampleAddresses(3);
        for (const std::string &target : table.nextTargets(true, start)) {
            for (const std::string &name : names) {
                sentPairs.emplace(target, name);
            }
        }
    }
    CHECK(sentPairs.size() == static_cast<std::size_t>(peers) * peers);
}

// Guards against instances that are cut off together and take what they know for what all know.
TEST_CASE("An instance knows whether it hears most of the others")
{
    PeerTable table("10.0.0.9:90", "a", {"10.0.0.1:90", "10.0.0.9:90"});
    CHECK_FALSE(table.hearsMost(start));
    CHECK(table.hearsHalf(start));
    for (const std::string id : {"1", "2", "3", "4", "5"}) {
        table.onReport(makeReport(id), start);
    }
    CHECK(table.hearsMost(start));
    CHECK_FALSE(table.missesAny(start));
    Time now = start + std::chrono::milliseconds(1000);
    table.onReport(makeReport("1", 2), now);
    now += std::chrono::milliseconds(801);
    // Before the others count as lost.
    CHECK_FALSE(table.hearsMost(now));
    CHECK_FALSE(table.hearsHalf(now));
    CHECK(table.missesAny(now));
    REQUIRE(table.expire(now).size() == 4);
    CHECK_FALSE(table.hearsHalf(now));
    // Another process at the address of one that was lost takes its place.
    table.onReport(makeReport("2", 2), now);
    CHECK_FALSE(table.hearsMost(now));
    CHECK(table.hearsHalf(now));
    PeerReport successor = makeReport("3~1", 3);
    successor.instance.peerAddress = "10.0.0.3:90";
    table.onReport(successor, now);
    CHECK(table.hearsMost(now));
}

// Guards against budgets that are spent twice: an instance that hears nobody took that for nobody reaching the key-value service.
TEST_CASE("An instance that hears few of the others can't tell whether they reach the key-value service")
{
    const Time earlier = start - std::chrono::seconds(30);
    PeerTable alone("10.0.0.9:90", "a", {});
    CHECK_FALSE(alone.mayHaveServiceContactAfter(earlier, start));

    PeerTable table("10.0.0.9:90", "a", {});
    for (const std::string id : {"1", "2", "3"}) {
        PeerReport report = makeReport(id);
        report.lastServiceContact = earlier;
        table.onReport(report, start);
    }
    CHECK_FALSE(table.mayHaveServiceContactAfter(earlier, start));
    CHECK(table.mayHaveServiceContactAfter(earlier - Duration(1), start));
    const Time silent = start + std::chrono::seconds(2);
    CHECK(table.mayHaveServiceContactAfter(earlier, silent));
    REQUIRE(table.expire(silent).size() == 3);
    CHECK_FALSE(table.hasServiceContactAfter(earlier));
    CHECK(table.mayHaveServiceContactAfter(earlier, silent));
}

TEST_CASE("Lost instances are missed until this one knows that it is not the one that is cut off")
{
    PeerTable table("10.0.0.9:90", "a", {});
    CHECK(table.hearsMost(start));
    PeerReport leaving = makeReport("1");
    leaving.instance.leaving = true;
    table.onReport(leaving, start);
    table.onReport(makeReport("2"), start);
    const Time late = start + std::chrono::seconds(70);
    REQUIRE(table.expire(late).size() == 2);
    table.expire(late + std::chrono::seconds(70));
    CHECK_FALSE(table.hearsMost(late + std::chrono::seconds(70)));
    CHECK(table.hearsHalf(late + std::chrono::seconds(70)));
    table.forgetLost(late + std::chrono::seconds(61));
    CHECK(table.hearsMost(late + std::chrono::seconds(61)));
}

// Guards against a process that starts within a cut and knows of nobody that it could miss.
TEST_CASE("An instance misses those that its settings name")
{
    PeerTable table("10.0.0.9:90", "a", {"10.0.0.1:90", "10.0.0.2:90", "10.0.0.3:90"});
    CHECK_FALSE(table.hearsHalf(start));
    table.forgetLost(start);
    table.forgetLost(start + std::chrono::seconds(59));
    CHECK_FALSE(table.hearsHalf(start));
    table.forgetLost(start + std::chrono::seconds(61));
    CHECK(table.hearsMost(start));
}
