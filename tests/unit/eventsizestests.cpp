#include "decision/eventsizes.h"

#include <doctest/doctest.h>

using namespace oleandergate;

// Guards against a cut stream that counts as complete: its endpoint writes smaller events than the configuration says since a moment ago.
TEST_CASE("Event sizes: a smaller former size counts until the streams from before are over")
{
    constexpr Time start{std::chrono::seconds(100)};
    constexpr Duration retention = std::chrono::seconds(13);
    EventSizes sizes;
    CHECK(sizes.smallest("engine", 30, start) == 30);
    sizes.addFormer("engine", 10, retention, start);
    CHECK(sizes.smallest("engine", 30, start + retention) == 10);
    CHECK(sizes.smallest("engine", 5, start) == 5);
    CHECK(sizes.smallest("other", 30, start) == 30);
    CHECK(sizes.smallest("engine", 30, start + 2 * retention) == 30);
}
