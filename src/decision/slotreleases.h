#ifndef OLEANDERGATE_DECISION_SLOTRELEASES_H
#define OLEANDERGATE_DECISION_SLOTRELEASES_H

#include "decision/operatingmode.h"
#include "decision/slottable.h"

#include <map>
#include <vector>

namespace oleandergate {

//! The hand-overs that this instance has begun: slots that admit no calls until their record is written, or until the hand-over is cancelled.
//! Not thread-safe.
class SlotReleases
{
public:
    //! Begins the hand-over of \p slot. Returns false when it has begun before.
    bool begin(SlotId slot);

    //! To be called before the record that gives \p slot up is sent. From then on another instance may own the slot.
    void onWriteSent(SlotId slot);

    //! Ends the hand-over of \p slot once the key-value service has answered.
    void onWritten(SlotId slot);

    //! Ends the hand-overs that are not to go on, and returns their slots: those that \p moves no longer plan and, while the service is not reached, all
    //! whose record was not sent.
    std::vector<SlotId> takeCancelled(const std::vector<SlotMove> &moves, OperatingMode mode);

private:
    std::map<SlotId, bool> maybeWritten; //!< By slot.
};

} // namespace oleandergate

#endif
