#include "decision/streamretention.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::seconds(100)};
constexpr Duration longTimeout = std::chrono::seconds(30);
constexpr Duration shortTimeout = std::chrono::seconds(6);

} // namespace

// Guards against streams joined from two versions: what a change replaced was forgotten while streams from before their route's timeout became shorter went on.
TEST_CASE("Stream retention: it follows a shorter timeout once the streams from before are over")
{
    StreamRetention retention;
    retention.update(longTimeout, start);
    retention.update(shortTimeout, start + shortTimeout);
    CHECK(retention.current() == longTimeout);
    retention.update(shortTimeout, start + longTimeout);
    CHECK(retention.current() == longTimeout);
    retention.update(shortTimeout, start + longTimeout + shortTimeout);
    CHECK(retention.current() == shortTimeout);
}

TEST_CASE("Stream retention: it follows a longer timeout at once")
{
    StreamRetention retention;
    retention.update(shortTimeout, start);
    retention.update(longTimeout, start);
    CHECK(retention.current() == longTimeout);
}
