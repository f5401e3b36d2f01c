#include "decision/routetargethistory.h"

#include "decision/routetable.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Duration timeout = std::chrono::seconds(4);
constexpr Time start{std::chrono::seconds(100)};

Route splitRoute(std::uint32_t first, std::uint32_t second)
{
    Route route;
    route.host = "h.example";
    route.prefix = "/split/";
    route.kind = RouteKind::Stream;
    route.resumable = true;
    route.timeout = timeout;
    route.targets = {RouteTarget{"one", first}, RouteTarget{"two", second}};
    return route;
}

} // namespace

// Guards against a stream that goes on at another service: it began before the shares of its route changed.
TEST_CASE("Route targets: a stream may have begun at the service of a former share until its caller has given up")
{
    const Route before = splitRoute(100, 0);
    const Route after = splitRoute(0, 100);
    RouteTargetHistory history;
    CHECK(history.originsOf(before, "/split/1", "key", start).services == std::set<std::string>{"one"});
    history.onReplaced({before}, {after}, start);
    CHECK(history.originsOf(after, "/split/1", "key", start).services == std::set<std::string>{"one", "two"});
    CHECK(history.originsOf(after, "/split/1", "key", start + timeout).services == std::set<std::string>{"one", "two"});
    CHECK(history.originsOf(after, "/split/1", "key", start + 3 * timeout).services == std::set<std::string>{"two"});
}

TEST_CASE("Route targets: a change that leaves the targets as they are tells nothing")
{
    const Route before = splitRoute(50, 50);
    Route after = before;
    after.timeout = 2 * timeout;
    RouteTargetHistory history;
    history.onReplaced({before}, {after}, start);
    for (const std::string key : {"a", "b", "c", "d"}) {
        CHECK(history.originsOf(after, "/split/1", key, start).services == std::set<std::string>{targetFor(after, key).service});
    }
}

TEST_CASE("Route targets: streams whose key has the same service before and after a change are certain")
{
    const Route before = splitRoute(50, 50);
    const Route after = splitRoute(60, 40);
    RouteTargetHistory history;
    history.onReplaced({before}, {after}, start);
    std::size_t certain = 0;
    constexpr int keys = 200;
    for (int number = 0; number < keys; ++number) {
        const std::string key = "key-" + std::to_string(number);
        const bool isSame = targetFor(before, key).service == targetFor(after, key).service;
        CHECK((history.originsOf(after, "/split/1", key, start).services.size() == 1) == isSame);
        certain += isSame ? 1 : 0;
    }
    CHECK(certain > keys / 2);
    CHECK(certain < keys);
}

// Guards against a stream that goes on at another service: its route was removed and came back with other targets.
TEST_CASE("Route targets: a route that was removed and added again has its former targets")
{
    const Route before = splitRoute(100, 0);
    const Route after = splitRoute(0, 100);
    RouteTargetHistory history;
    history.onReplaced({before}, {}, start);
    history.onReplaced({}, {after}, start + std::chrono::seconds(1));
    CHECK(history.originsOf(after, "/split/1", "key", start + std::chrono::seconds(2)).services == std::set<std::string>{"one", "two"});
}

// Guards against a stream that goes on at another service: its route was removed, and one with a longer prefix came behind that.
TEST_CASE("Route targets: a route with a longer prefix that is added behind the removal of a shorter one has its former targets")
{
    const Route shorter = splitRoute(100, 0);
    Route longer = splitRoute(0, 100);
    longer.prefix = "/split/1/";
    RouteTargetHistory history;
    history.onReplaced({shorter}, {}, start);
    history.onReplaced({}, {longer}, start + std::chrono::seconds(1));
    CHECK(history.originsOf(longer, "/split/1/turn", "key", start + std::chrono::seconds(2)).services == std::set<std::string>{"one", "two"});
}
