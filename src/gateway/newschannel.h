#ifndef OLEANDERGATE_GATEWAY_NEWSCHANNEL_H
#define OLEANDERGATE_GATEWAY_NEWSCHANNEL_H

#include "decision/ids.h"
#include "decision/time.h"

#include <functional>
#include <string>

namespace oleandergate {

//! State that instances exchange beside their load reports, and at once when it changes.
struct NewsChannel
{
    std::function<std::string(Time now)> nextReport{}; //!< Returns the next datagram; an empty string when there is nothing to report.
    std::function<bool()> hasNews{}; //!< Returns true when the next report is urgent.
    std::function<bool(const std::string &payload, Time now)> onPayload{}; //!< Returns false for a datagram of another kind.

    //! Called when a load report arrives that \p peer made at \p madeAt by its own clock; may be empty.
    std::function<void(const InstanceId &peer, Time madeAt, Time now)> onLoadReport{};
};

} // namespace oleandergate

#endif
