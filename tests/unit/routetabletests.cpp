#include "decision/routetable.h"

#include <doctest/doctest.h>

#include <map>

using namespace oleandergate;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    made.targets.push_back(RouteTarget{"service", 1});
    return made;
}

} // namespace

TEST_CASE("The route with the longest matching prefix is chosen among those of the host")
{
    const RouteTable table(
        {route("root", "a.example", "/"), route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")});
    CHECK(table.find("a.example", "/x/y/z")->name == "long");
    CHECK(table.find("a.example", "/x/z")->name == "short");
    CHECK(table.find("A.Example:8080", "/x/y/")->name == "long");
    CHECK(table.find("a.example", "/xy/z")->name == "root");
    CHECK(table.find("b.example", "/x/")->name == "other");
}

TEST_CASE("A prefix matches whole path segments only")
{
    const RouteTable table({route("only", "a.example", "/x/")});
    CHECK(table.find("a.example", "/x") == nullptr);
    CHECK(table.find("a.example", "/xy/") == nullptr);
    CHECK(table.find("c.example", "/x/") == nullptr);
    CHECK(table.find("a.example", "") == nullptr);
}

TEST_CASE("A split route sends equal keys to the same target and distributes keys by weight")
{
    Route split = route("split", "a.example", "/");
    split.targets = {RouteTarget{"old", 90}, RouteTarget{"new", 10}};
    std::map<std::string, int> counts;
    for (int key = 0; key < 10000; ++key) {
        const std::string text = std::to_string(key);
        counts[targetFor(split, text).service] += 1;
        CHECK(&targetFor(split, text) == &targetFor(split, text));
    }
    CHECK(counts["new"] > 800);
    CHECK(counts["new"] < 1200);
}

TEST_CASE("A split route without weights sends everything to its first target")
{
    Route split = route("split", "a.example", "/");
    split.targets = {RouteTarget{"old", 0}, RouteTarget{"new", 0}};
    CHECK(targetFor(split, "k").service == "old");
}
