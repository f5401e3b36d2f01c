#ifndef OLEANDERGATE_DECISION_RATELIMITTABLE_H
#define OLEANDERGATE_DECISION_RATELIMITTABLE_H

#include "decision/nametable.h"
#include "decision/ratelimitstatement.h"

#include <cstddef>
#include <map>
#include <vector>

namespace oleandergate {

//! How a statement changed the known limit of an endpoint.
enum class RateLimitChange : std::uint8_t { None, Named, Changed, Lifted };

//! Names of the changes in logs.
inline constexpr std::array<NamedValue<RateLimitChange>, 4> rateLimitChangeNames{{
    {RateLimitChange::None, "none"},
    {RateLimitChange::Named, "named"},
    {RateLimitChange::Changed, "changed"},
    {RateLimitChange::Lifted, "lifted"},
}};

//! A rate limit in force.
struct RateLimit
{
    double callsPerSecond = 0.0; //!< From all instances together.
    Time since{}; //!< When this instance first knew a limit of the endpoint.
};

//! The rate limits that endpoints named in their answers, here or at other instances. The latest statement counts.
//!
//! Bounded in memory. Not thread-safe.
class RateLimitTable
{
public:
    //! Largest number of endpoints with a statement.
    static constexpr std::size_t maxEntries = 4096;

    //! Processes a statement. One that is older than the known one is ignored.
    RateLimitChange onStatement(const RateLimitStatement &statement, Time now);

    //! Returns the limit of an endpoint, or nothing when it has none.
    std::optional<RateLimit> limitOf(std::uint32_t endpoint) const;

    //! Returns up to \p count statements to report to other instances next: changes, and at intervals some of the limits in force, for
    //! instances that started or missed a report.
    std::vector<RateLimitStatement> nextReport(std::size_t count, Time now);

    //! Returns true when a change is so recent that not all peers may have it.
    bool hasNews() const;

    //! Drops lifted limits that no late report names any more, and limits whose endpoint has not answered for long.
    void expire(Time now);

    //! Returns the number of endpoints with a limit.
    std::size_t limitedCount() const;

private:
    struct Entry
    {
        RateLimitStatement latest{};
        std::optional<double> announced{}; //!< Limit that was last reported as a change.
        Time since{};
        std::uint32_t newsLeft = 0; //!< Number of reports that are still to name the latest change.
    };

    std::map<std::uint32_t, Entry> entries;
    std::uint32_t lastRepeated = 0; //!< Position of the rotation in \ref nextReport().
    Time repeatedAt{};
};

} // namespace oleandergate

#endif
