#include "decision/emptywatchpause.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

using std::chrono::milliseconds;

constexpr EmptyWatchPause::Limits limits{.initial = milliseconds(20), .longest = milliseconds(100), .soon = milliseconds(500)};

} // namespace

// Guards against watches that are asked without a pause because each is answered at once.
TEST_CASE("Empty watches: pauses grow with each answer without changes that comes at once, up to the longest")
{
    EmptyWatchPause pause(limits);
    CHECK(pause.afterAnswer(false, milliseconds(1)) == milliseconds(20));
    CHECK(pause.afterAnswer(false, milliseconds(1)) == milliseconds(40));
    CHECK(pause.afterAnswer(false, milliseconds(499)) == milliseconds(80));
    CHECK(pause.afterAnswer(false, milliseconds(1)) == milliseconds(100));
    CHECK(pause.afterAnswer(false, milliseconds(1)) == milliseconds(100));
}

TEST_CASE("Empty watches: there is no pause behind changes, or behind an answer that was held back")
{
    EmptyWatchPause pause(limits);
    CHECK(pause.afterAnswer(true, milliseconds(1)) == Duration::zero());
    CHECK(pause.afterAnswer(false, milliseconds(500)) == Duration::zero());
    REQUIRE(pause.afterAnswer(false, milliseconds(1)) == milliseconds(20));
    CHECK(pause.afterAnswer(true, milliseconds(1)) == Duration::zero());
    CHECK(pause.afterAnswer(false, milliseconds(1)) == milliseconds(20));
}
