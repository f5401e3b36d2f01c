#ifndef OLEANDERGATE_DECISION_PROGRAMRETENTION_H
#define OLEANDERGATE_DECISION_PROGRAMRETENTION_H

#include "decision/time.h"

#include <optional>
#include <vector>

namespace oleandergate {

//! Tracks for how long a program that is idle may return, over versions of the configuration.
//!
//! A program that stopped while a version with a longer time was in force may return within that time, whatever later versions say.
class ProgramRetention
{
public:
    //! \p minimum holds where versions say less or nothing: programs pause between their turns for as long.
    explicit ProgramRetention(Duration minimum);

    //! Records that a version with \p retention is in force from \p now on; nothing if it names none.
    void onVersion(std::optional<Duration> retention, Time now);

    //! Returns for how long a program that is idle at \p now may at most have been so, and return.
    Duration at(Time now) const;

private:
    //! A time that versions had until another one came into force.
    struct Former
    {
        Duration retention{};
        Time until{};
    };

    Duration minimum;
    Duration current;
    std::vector<Former> former;
};

} // namespace oleandergate

#endif
