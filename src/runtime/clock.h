#ifndef OLEANDERGATE_RUNTIME_CLOCK_H
#define OLEANDERGATE_RUNTIME_CLOCK_H

#include "decision/time.h"

#include <string>

namespace oleandergate {

//! Returns the current time. It is monotonic within a process: the system time of the first call plus the time that has
//! passed since, also while the machine was suspended: what was learnt before is so old, and what was promised has run out.
Time currentTime();

//! Formats \p time as ISO 8601 in UTC, with microseconds.
std::string formatTime(Time time);

} // namespace oleandergate

#endif
