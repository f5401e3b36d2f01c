#ifndef OLEANDERGATE_DECISION_TRANSITTABLE_H
#define OLEANDERGATE_DECISION_TRANSITTABLE_H

#include "decision/ids.h"
#include "decision/time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace oleandergate {

//! Tells for how long reports of peers waited, at the sender, on the way and at the receiver. Not thread-safe.
//!
//! Clocks of two machines differ by an unknown time, which hardly changes. The least difference between the sender's clock when a report was made and the
//! receiver's clock when it arrived is that of a report that did not wait; what exceeds it is the time that another one waited.
class TransitTable
{
public:
    //! Records that a report which \p sender made at \p madeAt by its own clock arrived at \p now.
    void onReport(const InstanceId &sender, Time madeAt, Time now);

    //! Returns for how long at the most such a report waited; nothing if \p sender has not been heard often enough to tell.
    std::optional<Duration> waitOf(const InstanceId &sender, Time madeAt, Time now) const;

    std::size_t size() const;

private:
    struct Transit
    {
        Duration least{}; //!< Least difference between the clocks.
        Time measuredAt{}; //!< When it was measured.
        Time heardAt{};
        std::size_t reports = 0;
    };

    void expire(Time now);

    std::unordered_map<InstanceId, Transit> transits;
    Time expiredAt{};
};

} // namespace oleandergate

#endif
