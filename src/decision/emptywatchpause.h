#ifndef OLEANDERGATE_DECISION_EMPTYWATCHPAUSE_H
#define OLEANDERGATE_DECISION_EMPTYWATCHPAUSE_H

#include "decision/time.h"

namespace oleandergate {

//! Decides how long a watch pauses before it is asked again. A service that answers at once, without changes, would be asked without end.
class EmptyWatchPause
{
public:
    struct Limits
    {
        Duration initial{};
        Duration longest{};
        Duration soon{}; //!< An answer without changes that took longer is one that the service held back as it was asked to.
    };

    explicit EmptyWatchPause(Limits limits);

    //! Returns the pause behind an answer that came \p answeredAfter the request: none, or one that doubles with each hasty answer in a row.
    Duration afterAnswer(bool hasChanges, Duration answeredAfter);

private:
    Limits limits;
    Duration next;
};

} // namespace oleandergate

#endif
