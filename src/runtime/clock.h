#ifndef OLEANDERGATE_RUNTIME_CLOCK_H
#define OLEANDERGATE_RUNTIME_CLOCK_H

#include "decision/time.h"

#include <string>

namespace oleandergate {

//! Returns the present time. It never goes back within a process: the system's clock at the start of the process,
//! moved on by the steady clock.
Time currentTime();

//! Returns \p time as ISO 8601 with microseconds, in UTC.
std::string formatTime(Time time);

} // namespace oleandergate

#endif
