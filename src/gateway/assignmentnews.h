#ifndef OLEANDERGATE_GATEWAY_ASSIGNMENTNEWS_H
#define OLEANDERGATE_GATEWAY_ASSIGNMENTNEWS_H

#include "decision/assignmentcurrency.h"
#include "decision/ids.h"
#include "gateway/newschannel.h"

#include <functional>
#include <mutex>

namespace oleandergate {

//! Exchanges with the other instances which changes of the assignments of software versions each knows. Thread-safe.
class AssignmentNews
{
public:
    //! \p onNews is called when the other instances have to know of a change at once.
    AssignmentNews(InstanceId self, std::function<void()> onNews);

    //! As in AssignmentCurrency.
    void onKnown(std::uint64_t revision);
    bool isBehind() const;
    bool isCurrent(Time confirmedAt, bool isInStep, Time now) const;

    //! The channel refers to this object.
    NewsChannel channel();

private:
    std::string nextReport(Time now);
    bool onPayload(const std::string &payload);

    InstanceId self;
    std::function<void()> onNews;
    mutable std::mutex mutex;
    AssignmentCurrency currency;
};

} // namespace oleandergate

#endif
