#ifndef OLEANDERGATE_DECISION_STREAMRETENTION_H
#define OLEANDERGATE_DECISION_STREAMRETENTION_H

#include "decision/time.h"

namespace oleandergate {

//! How long what is known of streams has to be kept: longer than any stream lasts over all its attempts, also one that began before its route's timeout
//! became shorter. Not thread-safe.
class StreamRetention
{
public:
    //! Streams may last for \p longest from \p now on. To be called again and again.
    void update(Duration longest, Time now);

    //! Returns the longest time that streams which are under way may last.
    Duration current() const;

private:
    Duration longest{};
    Time lastsUntil{}; //!< When the last stream that may last for \ref longest is over.
};

} // namespace oleandergate

#endif
