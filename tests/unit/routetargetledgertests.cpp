#include "decision/routetargetledger.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Duration timeout = std::chrono::seconds(4);
constexpr Time start{std::chrono::seconds(100)};
constexpr const char *path = "/a/b/turn";

Route routeTo(const std::string &prefix, const std::string &service)
{
    Route route;
    route.host = "h.example";
    route.prefix = prefix;
    route.kind = RouteKind::Stream;
    route.resumable = true;
    route.timeout = timeout;
    route.targets = {RouteTarget{service, 1}};
    return route;
}

VersionedTargets version(std::uint64_t number, const std::vector<Route> &routes)
{
    return VersionedTargets{number, streamTargets(routes)};
}

//! A record that holds \p targets, as an instance that has just started reads it.
RouteTargetLedger ledgerWith(const VersionedTargets &targets)
{
    RouteTargetLedger ledger;
    ledger.reset();
    ledger.setPresent(targets, 1);
    return ledger;
}

std::set<std::string> servicesBy(const RouteTargetLedger &ledger, const Route &matched, Time now = start)
{
    StreamOrigins origins;
    origins.services = {matched.targets.front().service};
    ledger.addOrigins(matched, path, "key", now, origins);
    return origins.services;
}

bool mayBeUnresumable(const RouteTargetLedger &ledger, const Route &matched, Time now = start)
{
    StreamOrigins origins;
    ledger.addOrigins(matched, path, "key", now, origins);
    return origins.mayBeUnresumable;
}

Route unresumable(Route route)
{
    route.resumable = false;
    return route;
}

} // namespace

TEST_CASE("Target record: it holds a configuration with its targets, whatever else differs")
{
    const RouteTargetLedger ledger = ledgerWith(version(3, {routeTo("/a/", "one")}));
    Route faster = routeTo("/a/", "one");
    faster.timeout = timeout / 2;
    CHECK(ledger.holds(version(3, {routeTo("/a/", "one")})));
    CHECK(ledger.holds(version(9, {faster})));
    CHECK_FALSE(ledger.isAsNewAs(version(9, {faster})));
    CHECK_FALSE(ledger.holds(version(4, {routeTo("/a/", "two")})));
    CHECK_FALSE(ledger.holds(version(4, {routeTo("/a/", "one"), routeTo("/b/", "one")})));
}

// Guards against streams that begin by targets which no record names: those of a version that the writer of a newer one never had.
TEST_CASE("Target record: an instance that is behind neither undoes a newer record nor begins streams by its own targets")
{
    const RouteTargetLedger ledger = ledgerWith(version(3, {routeTo("/a/", "one"), routeTo("/s/", "two")}));
    const VersionedTargets skipped = version(2, {routeTo("/a/", "two"), routeTo("/s/", "one")});
    CHECK_FALSE(ledger.holds(skipped));
    CHECK_FALSE(ledger.changeTo(skipped, {}));
}

// Guards against "nothing is known" taken for "nothing has changed": a record that was not read, and one that is empty.
TEST_CASE("Target record: one that has not been read covers nothing, and neither does an empty one")
{
    RouteTargetLedger ledger;
    const VersionedTargets targets = version(1, {routeTo("/a/", "one")});
    CHECK_FALSE(ledger.holds(targets));
    CHECK_FALSE(ledger.changeTo(targets, {}));
    ledger.reset();
    CHECK_FALSE(ledger.holds(targets));
    const std::optional<RouteTargetLedger::Change> change = ledger.changeTo(targets, {});
    REQUIRE(change);
    CHECK(change->expectedRevision == 0);
    CHECK(change->former.empty());
}

// Guards against streams joined from two services at an instance that started after their route had moved.
TEST_CASE("Target record: what a change replaced is known to an instance that reads it")
{
    RouteTargetLedger writer = ledgerWith(version(1, {routeTo("/a/", "one")}));
    const VersionedTargets moved = version(2, {routeTo("/a/", "two")});
    const std::optional<RouteTargetLedger::Change> change = writer.changeTo(moved, {});
    REQUIRE(change);
    CHECK(change->expectedRevision == 1);
    CHECK(change->retention == timeout + targetChangeDelay);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    CHECK(servicesBy(reader, routeTo("/a/", "two")) == std::set<std::string>{"one", "two"});
    reader.dropFormer("former");
    CHECK(servicesBy(reader, routeTo("/a/", "two")) == std::set<std::string>{"two"});
}

// The same where no instance was left to write the change.
TEST_CASE("Target record: an instance whose configuration is newer than the record takes its targets for former ones")
{
    const RouteTargetLedger ledger = ledgerWith(version(1, {routeTo("/a/", "one")}));
    CHECK(servicesBy(ledger, routeTo("/a/", "two")) == std::set<std::string>{"one", "two"});
}

// Guards against a change that is left out by an instance that could not reach the record for two changes.
TEST_CASE("Target record: targets by which the writer has begun streams without a record are recorded later, also where the present ones came back")
{
    const RouteTargetLedger ledger = ledgerWith(version(1, {routeTo("/a/", "one")}));
    const std::vector<VersionedTargets> unrecorded{version(2, {routeTo("/a/", "two")})};
    for (const std::string service : {"three", "one"}) {
        const std::optional<RouteTargetLedger::Change> change = ledger.changeTo(version(3, {routeTo("/a/", service)}), unrecorded);
        REQUIRE(change);
        RouteTargetLedger reader = ledgerWith(change->present);
        reader.addFormer("former", change->former, change->retention, start);
        CHECK(servicesBy(reader, routeTo("/a/", service)) == std::set<std::string>{"one", service, "two"});
    }
    // A newer record keeps its targets.
    const RouteTargetLedger newer = ledgerWith(version(4, {routeTo("/a/", "one")}));
    const std::optional<RouteTargetLedger::Change> change = newer.changeTo(version(3, {routeTo("/a/", "three")}), unrecorded);
    REQUIRE(change);
    CHECK(change->present.version == 4);
    CHECK(hasSameTargets(change->present.routes, version(4, {routeTo("/a/", "one")}).routes));
    // What was written is not written again.
    CHECK_FALSE(ledger.changeTo(version(3, {routeTo("/a/", "one")}), {version(2, {routeTo("/a/", "one")})}));
}

// Guards against former targets that lapse while streams that began by them may be taken up: the timeout of their route had grown without a change of targets.
TEST_CASE("Target record: former targets are kept for as long as streams may have lasted")
{
    constexpr Duration longTimeout = std::chrono::seconds(60);
    Route slower = routeTo("/a/b/", "one");
    slower.timeout = longTimeout;
    const RouteTargetLedger before = ledgerWith(version(1, {routeTo("/a/b/", "one"), routeTo("/a/", "one")}));
    const VersionedTargets grown = version(2, {slower, routeTo("/a/", "one")});
    CHECK_FALSE(before.holds(grown));
    const std::optional<RouteTargetLedger::Change> change = before.changeTo(grown, {});
    REQUIRE(change);
    CHECK(change->former.empty());
    const std::optional<RouteTargetLedger::Change> removed = ledgerWith(change->present).changeTo(version(3, {routeTo("/a/", "one")}), {});
    REQUIRE(removed);
    CHECK(removed->retention == longTimeout + targetChangeDelay);
}

// Guards against refusals without end where the event that former targets have lapsed does not arrive.
TEST_CASE("Target record: former targets lapse by themselves")
{
    const RouteTargetLedger writer = ledgerWith(version(1, {routeTo("/a/", "one")}));
    const std::optional<RouteTargetLedger::Change> change = writer.changeTo(version(2, {routeTo("/a/", "two")}), {});
    REQUIRE(change);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    // Another reading does not prolong them.
    reader.reset();
    reader.setPresent(change->present, 2);
    reader.addFormer("former", change->former, change->retention, start + timeout);
    CHECK(servicesBy(reader, routeTo("/a/", "two"), start + change->retention) == std::set<std::string>{"one", "two"});
    CHECK(servicesBy(reader, routeTo("/a/", "two"), start + change->retention + timeout) == std::set<std::string>{"two"});
}

// Guards against refusing what can go on: the streams of one route last much longer than those of the others.
TEST_CASE("Target record: former targets of a route count for its own timeout")
{
    Route slow = unresumable(routeTo("/slow/", "one"));
    slow.timeout = 100 * timeout;
    const RouteTargetLedger writer = ledgerWith(version(1, {routeTo("/a/", "one"), slow}));
    const std::optional<RouteTargetLedger::Change> change = writer.changeTo(version(2, {routeTo("/a/", "two"), slow}), {});
    REQUIRE(change);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    CHECK(servicesBy(reader, routeTo("/a/", "two"), start + timeout) == std::set<std::string>{"one", "two"});
    CHECK(servicesBy(reader, routeTo("/a/", "two"), start + 3 * timeout) == std::set<std::string>{"two"});
    CHECK(reader.longestResumableTimeout(start) == timeout);
}

// Guards against streams joined from two services by a route with a longer prefix that is added or removed.
TEST_CASE("Target record: a route with a longer prefix takes over streams of a shorter one, and leaves them to it")
{
    const std::vector<Route> shorter{routeTo("/a/", "one")};
    const std::vector<Route> both{routeTo("/a/", "one"), routeTo("/a/b/", "two")};
    for (const bool isAdded : {true, false}) {
        CAPTURE(isAdded);
        const RouteTargetLedger writer = ledgerWith(version(1, isAdded ? shorter : both));
        const std::optional<RouteTargetLedger::Change> change = writer.changeTo(version(2, isAdded ? both : shorter), {});
        REQUIRE(change);
        RouteTargetLedger reader = ledgerWith(change->present);
        reader.addFormer("former", change->former, change->retention, start);
        CHECK(servicesBy(reader, isAdded ? both.back() : shorter.front()) == std::set<std::string>{"one", "two"});
    }
}

// Guards against a change that is forgotten where the route that took streams over came later.
TEST_CASE("Target record: a route that is added knows the former targets of the route whose streams it takes over")
{
    RouteTargetLedger ledger = ledgerWith(version(1, {routeTo("/a/", "one")}));
    const std::optional<RouteTargetLedger::Change> moved = ledger.changeTo(version(2, {routeTo("/a/", "two")}), {});
    REQUIRE(moved);
    ledger.setPresent(moved->present, 2);
    ledger.addFormer("moved", moved->former, moved->retention, start);
    const std::optional<RouteTargetLedger::Change> added = ledger.changeTo(version(3, {routeTo("/a/", "two"), routeTo("/a/b/", "two")}), {});
    REQUIRE(added);
    ledger.setPresent(added->present, 3);
    ledger.addFormer("added", added->former, added->retention, start);
    CHECK(servicesBy(ledger, routeTo("/a/b/", "two")) == std::set<std::string>{"one", "two"});
}

// Guards against refusing what can go on: changes of a route with a shorter prefix do not concern streams that match a longer one.
TEST_CASE("Target record: a change of a shorter prefix leaves the streams of a longer one alone")
{
    const VersionedTargets before = version(1, {routeTo("/a/", "one"), routeTo("/a/b/", "two")});
    const VersionedTargets after = version(2, {routeTo("/a/", "three"), routeTo("/a/b/", "two")});
    const std::optional<RouteTargetLedger::Change> change = ledgerWith(before).changeTo(after, {});
    REQUIRE(change);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    CHECK(servicesBy(reader, routeTo("/a/b/", "two")) == std::set<std::string>{"two"});
}

// Guards against streams joined from two software versions: one that began while its route could not be resumed left no trace, and that was taken for none.
TEST_CASE("Target record: a change of whether streams may be resumed is a change of the route")
{
    const RouteTargetLedger before = ledgerWith(version(1, {unresumable(routeTo("/a/", "one"))}));
    const VersionedTargets after = version(2, {routeTo("/a/", "one")});
    CHECK_FALSE(before.holds(after));
    CHECK(mayBeUnresumable(before, routeTo("/a/", "one")));
    const std::optional<RouteTargetLedger::Change> change = before.changeTo(after, {});
    REQUIRE(change);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    CHECK(mayBeUnresumable(reader, routeTo("/a/", "one")));
    CHECK_FALSE(mayBeUnresumable(reader, routeTo("/a/", "one"), start + change->retention + timeout));
    // Streams of a longer prefix are as they were.
    const RouteTargetLedger longer = ledgerWith(version(1, {unresumable(routeTo("/a/", "one")), routeTo("/a/b/", "one")}));
    const std::optional<RouteTargetLedger::Change> shorterChange = longer.changeTo(version(2, {routeTo("/a/", "one"), routeTo("/a/b/", "one")}), {});
    REQUIRE(shorterChange);
    RouteTargetLedger longerReader = ledgerWith(shorterChange->present);
    longerReader.addFormer("former", shorterChange->former, shorterChange->retention, start);
    CHECK_FALSE(mayBeUnresumable(longerReader, routeTo("/a/b/", "one")));
}

// The same where the route is another one: it takes streams over from one that may not be resumed.
TEST_CASE("Target record: a route that may be resumed takes streams over that began on one that may not")
{
    const RouteTargetLedger writer = ledgerWith(version(1, {unresumable(routeTo("/a/", "one"))}));
    const VersionedTargets after = version(2, {unresumable(routeTo("/a/", "one")), routeTo("/a/b/", "one")});
    const std::optional<RouteTargetLedger::Change> change = writer.changeTo(after, {});
    REQUIRE(change);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    CHECK(mayBeUnresumable(reader, routeTo("/a/b/", "one")));
}

// Guards against the same beside an instance of an earlier build, whose records leave such routes out.
TEST_CASE("Target record: one that leaves routes out which may not be resumed is completed, and a route that it lacks may have been one of them")
{
    VersionedTargets partial = version(1, {routeTo("/b/", "one")});
    partial.hasUnresumable = false;
    const RouteTargetLedger ledger = ledgerWith(partial);
    const VersionedTargets sameVersion = version(1, {routeTo("/b/", "one"), unresumable(routeTo("/a/", "one"))});
    CHECK_FALSE(ledger.holds(sameVersion));
    CHECK_FALSE(ledger.isAsNewAs(sameVersion));
    const std::optional<RouteTargetLedger::Change> completed = ledger.changeTo(sameVersion, {});
    REQUIRE(completed);
    CHECK(completed->present.hasUnresumable);
    CHECK(completed->former.empty());
    const std::optional<RouteTargetLedger::Change> later = ledger.changeTo(version(2, {routeTo("/b/", "one"), routeTo("/a/", "one")}), {});
    REQUIRE(later);
    RouteTargetLedger reader = ledgerWith(later->present);
    reader.addFormer("former", later->former, later->retention, start);
    CHECK(mayBeUnresumable(reader, routeTo("/a/", "one")));
}

// Guards against a stream that is joined behind a change which an instance of an earlier build recorded.
TEST_CASE("Target record: a route that an earlier build records as resumable may not have been resumed before")
{
    RouteTargetLedger ledger = ledgerWith(version(5, {unresumable(routeTo("/a/", "one"))}));
    VersionedTargets partial = version(6, {routeTo("/a/", "one")});
    partial.hasUnresumable = false;
    ledger.reset();
    ledger.setPresent(partial, 2);
    const std::optional<RouteTargetLedger::Change> change = ledger.changeTo(version(6, {routeTo("/a/", "one")}), {});
    REQUIRE(change);
    RouteTargetLedger reader = ledgerWith(change->present);
    reader.addFormer("former", change->former, change->retention, start);
    CHECK(mayBeUnresumable(reader, routeTo("/a/", "one")));
}

// Guards against a record that doubles with each change of a route that comes and goes.
TEST_CASE("Target record: each former target of a route is held once in a record")
{
    RouteTargetLedger ledger = ledgerWith(version(1, {routeTo("/a/", "one")}));
    std::uint64_t number = 1;
    std::size_t largest = 0;
    for (int pair = 0; pair < 12; ++pair) {
        for (const std::vector<Route> &routes : {std::vector<Route>(), std::vector<Route>{routeTo("/a/", pair % 2 == 0 ? "two" : "one")}}) {
            number += 1;
            const std::optional<RouteTargetLedger::Change> change = ledger.changeTo(version(number, routes), {});
            REQUIRE(change);
            ledger.setPresent(change->present, number);
            ledger.addFormer("former-" + std::to_string(number), change->former, change->retention, start);
            for (const auto &[key, former] : change->former) {
                largest = std::max(largest, former.size());
            }
        }
    }
    CHECK(largest == 2);
}
