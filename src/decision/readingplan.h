#ifndef OLEANDERGATE_DECISION_READINGPLAN_H
#define OLEANDERGATE_DECISION_READINGPLAN_H

#include "decision/time.h"

#include <optional>
#include <random>

namespace oleandergate {

//! Schedules the readings of an instance that watches the key-value service. All such instances take turns.
//!
//! A call that began while the link was cut ends long after the link is back. While a reading is not answered, further ones begin beside it, so that the
//! return of the service is known soon after it.
class ReadingPlan
{
public:
    struct Limits
    {
        Duration interval{}; //!< Time from the latest reading by any instance to the next one.
        Duration jitter{}; //!< Added to the interval at most.
        Duration reportDelay{}; //!< Instances know each other's readings after this time.
        Duration minInterval{}; //!< Shortest time between two readings that peers' reports trigger.
        Duration attemptInterval{}; //!< Time from the beginning of a reading that is not answered to the next one, with few peers.
        std::size_t attemptingPeers = 1; //!< With more peers the attempts of each are rarer, down to the interval.
        std::size_t maxUnderWay = 1;
    };

    //! What the instance knows at present.
    struct Situation
    {
        Time latestReading{}; //!< When any instance, this one included, last read.
        bool peersDiffer = false; //!< Peers know other endpoints.
        std::size_t peers = 0; //!< Their number.
        std::optional<Time> confirmAt{}; //!< A reading has to begin at this time or later, to confirm what will be decided soon after.
    };

    ReadingPlan(const Limits &limits, std::uint64_t seed);

    //! Returns whether a reading is to begin at \p now. Each reading that begins has to be ended by onEnded().
    bool shouldBegin(const Situation &situation, Time now);

    //! Records that the reading that began at \p begunAt ended, and whether the service answered it.
    void onEnded(Time begunAt, bool answered);

    //! Returns whether a reading is under way, or the latest one was not answered.
    bool isUnanswered() const;

private:
    Duration attemptInterval(std::size_t peers) const;

    Limits limits;
    std::mt19937_64 random;
    Time countedReading{}; //!< The reading from which the next one is due.
    Time dueAt{};
    Time begunAt{};
    std::size_t underWay = 0;
    Time answeredAt{}; //!< When the latest reading that was answered began.
    bool failed = false; //!< One that began later was not.
};

} // namespace oleandergate

#endif
