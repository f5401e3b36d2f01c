#ifndef OLEANDERGATE_DECISION_PERMITISSUER_H
#define OLEANDERGATE_DECISION_PERMITISSUER_H

#include "decision/permitdecision.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace oleandergate {

//! Issues permits for single calls to rate-limited endpoints, spaced by the generic cell rate algorithm.
//!
//! One instance issues the permits of an endpoint for all instances, so that their calls together keep the limit however the demand is
//! spread. State of endpoints that are no longer asked for is dropped by expire(). Not thread-safe.
class PermitIssuer
{
public:
    struct Pacing
    {
        double burst = 0.0; //!< Calls beyond one that may follow each other at once after a pause.
        double firstDelay = 0.0; //!< Wait for the first permit after a pause, as a share of the interval between two.
    };

    //! For the one instance that issues an endpoint's permits.
    static constexpr Pacing issuerPacing{2.0, 0.0};

    //! How long an instance that begins to issue the permits of a known limit issues none, as another instance may still issue them: the time
    //! in which all instances learn of a change of the members.
    static constexpr Duration takeoverTime = std::chrono::seconds(2);

    //! \p startedAt is when this process started.
    explicit PermitIssuer(Time startedAt, const Pacing &pacing = issuerPacing);

    //! Decides on one call to \p endpoint, the hash of its identifier. \p limitAge is how long the limit has been known.
    PermitDecision decide(std::uint32_t endpoint, double callsPerSecond, Duration limitAge, Time now);

    //! Drops the state of endpoints without a request for a permit since \p before.
    void expire(Time before);

private:
    struct Schedule
    {
        Time nextCall{}; //!< When the next call is due if all calls are evenly spaced.
        Time createdAt{};
        bool takenOver = false; //!< Another instance may have issued the endpoint's permits before.
        Time usedAt{};
        std::uint32_t denied = 0; //!< Requests denied since the latest permit.
    };

    Time startedAt;
    Pacing pacing;
    std::unordered_map<std::uint32_t, Schedule> schedules;
};

} // namespace oleandergate

#endif
