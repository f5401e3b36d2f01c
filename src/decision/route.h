#ifndef OLEANDERGATE_DECISION_ROUTE_H
#define OLEANDERGATE_DECISION_ROUTE_H

#include "decision/nametable.h"
#include "decision/time.h"

#include <string>
#include <vector>

namespace oleandergate {

//! What may be repeated of a request.
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

//! A service that gets a share of a route's requests.
struct RouteTarget
{
    std::string service{};
    std::uint32_t weight = 1;
};

//! Where requests of one host and path prefix go.
struct Route
{
    std::string name{};
    std::string host{}; //!< Lower case, without a port.
    std::string prefix{}; //!< Begins and ends with a slash.
    RouteKind kind = RouteKind::Once;
    bool resumable = false; //!< A broken stream may go on behind its last event.
    Duration timeout{}; //!< Longest time a caller is kept waiting.
    Duration objective{}; //!< Time within which the answer (streams: its first event) is on time.
    Duration maxEventGap{}; //!< Streams: longest pause between events that is still on time.
    int rank = 0; //!< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; //!< Endpoints at which one request may run.
    std::vector<RouteTarget> targets{};
};

} // namespace oleandergate

#endif
