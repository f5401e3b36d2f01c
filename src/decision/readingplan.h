#ifndef OLEANDERGATE_DECISION_READINGPLAN_H
#define OLEANDERGATE_DECISION_READINGPLAN_H

#include "decision/time.h"

#include <random>

namespace oleandergate {

//! Schedules the readings of an instance that watches the key-value service. All such instances take turns.
class ReadingPlan
{
public:
    struct Limits
    {
        Duration interval{}; //!< Time from the latest reading by any instance to the next one.
        Duration jitter{}; //!< Added to the interval at most.
        Duration reportDelay{}; //!< Instances know each other's readings after this time.
        Duration minInterval{}; //!< Shortest time between two readings that peers' reports trigger.
    };

    ReadingPlan(const Limits &limits, std::uint64_t seed);

    //! Returns whether a reading is to begin at \p now. \p latestReading is when any instance last read, as far as this one knows; \p peersDiffer tells that
    //! peers know other endpoints. Each reading that begins has to be ended by onEnded().
    bool shouldBegin(Time latestReading, bool peersDiffer, Time now);

    //! Records that a reading ended, and whether the service answered it.
    void onEnded(bool answered, Time now);

    //! Returns whether a reading is under way, or the latest one was not answered.
    bool isUnanswered() const;

private:
    Duration nextInterval();

    Limits limits;
    std::mt19937_64 random;
    Time countedReading{}; //!< The reading from which the next one is due.
    Time dueAt{};
    Time begunAt{};
    bool underWay = false;
    bool failed = false;
};

} // namespace oleandergate

#endif
