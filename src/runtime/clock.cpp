#include "runtime/clock.h"

#include <array>
#include <ctime>

namespace oleandergate {

Time currentTime()
{
    struct Origin
    {
        Time wall = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
        std::chrono::steady_clock::time_point steady = std::chrono::steady_clock::now();
    };
    static const Origin origin;
    return origin.wall + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - origin.steady);
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
