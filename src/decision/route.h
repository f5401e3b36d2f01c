#ifndef OLEANDERGATE_DECISION_ROUTE_H
#define OLEANDERGATE_DECISION_ROUTE_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! Whether a request may be repeated.
enum class RouteKind : std::uint8_t {
    Idempotent, //!< May run more than once.
    Once, //!< Not idempotent: runs at most once.
    Stream //!< A stream of events; runs at most once unless it can be resumed.
};

inline constexpr std::array<NamedValue<RouteKind>, 3> routeKindNames{{
    {RouteKind::Idempotent, "idempotent"},
    {RouteKind::Once, "once"},
    {RouteKind::Stream, "stream"},
}};

//! A service that gets a share of the requests of a route.
struct RouteTarget
{
    std::string service{};
    std::uint32_t weight = 1; //!< Share of the requests, relative to the sum of the weights.
};

//! Describes how requests for one host and path prefix are handled.
struct Route
{
    std::string name{};
    std::string host{}; //!< Lower case, without a port.
    std::string prefix{}; //!< Begins and ends with a slash.
    RouteKind kind = RouteKind::Once;
    bool resumable = false; //!< A broken stream can be resumed after its last event.
    Duration timeout{}; //!< Longest time that a caller waits for the answer.
    Duration objective{}; //!< Target latency of the answer, for streams of the first event.
    Duration maxEventGap{}; //!< Streams: target for the longest gap between two events.
    int rank = 0; //!< Urgency; 0 is the most urgent.
    bool isOpen = false; //!< Takes requests without a key, where the configuration has organisations.
    std::uint32_t maxAttempts = 1; //!< Number of endpoints at which one request may run.
    std::optional<Duration> retention{}; //!< How long a program may be idle behind a turn, and return; nothing where none is named.
    std::vector<RouteTarget> targets{};
};

} // namespace oleandergate

#endif
