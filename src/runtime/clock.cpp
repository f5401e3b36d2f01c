#include "runtime/clock.h"

#include <array>
#include <ctime>

namespace oleandergate {

namespace {

//! The steady clock of the standard library stands still while the machine is suspended.
Duration sinceBoot()
{
    std::timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

Time currentTime()
{
    struct Origin
    {
        Time wall = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
        Duration boot = sinceBoot();
    };
    static const Origin origin;
    return origin.wall + (sinceBoot() - origin.boot);
}

std::string formatTime(Time time)
{
    constexpr std::int64_t microsPerSecond = 1000000;
    const std::int64_t micros = time.time_since_epoch().count();
    const auto seconds = static_cast<std::time_t>(micros / microsPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(microsPerSecond + micros % microsPerSecond).substr(1);
    return std::string(text.data(), length) + "." + fraction + "Z";
}

} // namespace oleandergate
