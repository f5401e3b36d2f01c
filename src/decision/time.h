#ifndef OLEANDERGATE_DECISION_TIME_H
#define OLEANDERGATE_DECISION_TIME_H

#include <chrono>
#include <cstdint>

namespace oleandergate {

//! Length of time, in microseconds.
using Duration = std::chrono::microseconds;

//! Point in time, in microseconds since the Unix epoch. The decision code takes the current time as an argument.
using Time = std::chrono::sys_time<Duration>;

//! Minute since the Unix epoch; the model supplier bills by the minute.
using Minute = std::int64_t;

//! Returns the minute that contains \p now.
constexpr Minute minuteOf(Time now)
{
    return std::chrono::floor<std::chrono::minutes>(now).time_since_epoch().count();
}

//! Returns the start of \p minute.
constexpr Time startOfMinute(Minute minute)
{
    return Time(std::chrono::minutes(minute));
}

//! Returns the time \p microseconds behind the Unix epoch, as messages state it.
constexpr Time timeOf(std::uint64_t microseconds)
{
    return Time(Duration(static_cast<Duration::rep>(microseconds)));
}

//! Returns \p duration in seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

//! Returns \p seconds as a Duration.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace oleandergate

#endif
