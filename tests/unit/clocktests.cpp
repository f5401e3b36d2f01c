#include "runtime/clock.h"

#include <doctest/doctest.h>

#include <ctime>

using namespace oleandergate;

namespace {

Duration sinceBoot()
{
    std::timespec time{};
    REQUIRE(::clock_gettime(CLOCK_BOOTTIME, &time) == 0);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

// Guards against knowledge that seems young after its machine was suspended: the clock has to be one that runs on meanwhile.
TEST_CASE("Clock: the current time goes on with the clock that counts suspensions")
{
    const Duration before = sinceBoot();
    const Time first = currentTime();
    const Duration between = sinceBoot();
    const Time second = currentTime();
    const Duration after = sinceBoot();
    constexpr Duration rounding = std::chrono::microseconds(2);
    CHECK(second >= first);
    CHECK(second - first <= after - before + rounding);
    // The offset between both stays the same.
    const Duration offset = first.time_since_epoch() - before;
    CHECK(second.time_since_epoch() - between >= offset - (between - before) - rounding);
    CHECK(second.time_since_epoch() - after <= offset + rounding);
}
