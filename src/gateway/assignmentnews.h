#ifndef OLEANDERGATE_GATEWAY_ASSIGNMENTNEWS_H
#define OLEANDERGATE_GATEWAY_ASSIGNMENTNEWS_H

#include "decision/assignmentcurrency.h"
#include "decision/ids.h"
#include "decision/transittable.h"
#include "gateway/newschannel.h"
#include "wire/assignmentreport.h"

#include <functional>
#include <mutex>
#include <optional>

namespace oleandergate {

//! This process may stand still for so long without that being noticed.
inline constexpr Duration longestUnnoticedPause = std::chrono::milliseconds(250);

//! Exchanges with the other instances which changes of the assignments of software versions each knows. Thread-safe.
class AssignmentNews
{
public:
    //! \p onNews is called when the other instances have to know of a change at once.
    AssignmentNews(InstanceId self, std::function<void()> onNews);

    //! As in AssignmentCurrency.
    void onKnown(std::uint64_t revision);
    void onConfirmed(std::uint64_t revision, Time askedAt);
    Time confirmedAt() const;
    bool isConfirmationDue(std::size_t rank, Time now) const;
    bool isBehind() const;
    bool isCurrent(bool isOutageForAll, Time now) const;

    //! Returns the latest change that this instance knows.
    std::uint64_t knownRevision() const;

    //! Sets how to tell whether this process was paused until a moment ago: reports that had waited for it are older than they say.
    void setPauseCheck(std::function<bool(Time now)> newCheck);

    //! The channel refers to this object.
    NewsChannel channel();

private:
    std::string nextReport(Time now);
    bool onPayload(const std::string &payload, Time now);
    void onLoadReport(const InstanceId &peer, Time madeAt, Time now);

    //! Returns when the key-value service was asked, at the latest, by what a report that arrives at \p now states; nothing if it states nothing of use.
    std::optional<Time> confirmationOf(const AssignmentReport &report, Time now) const;

    //! Tells the other instances at once if there is something to tell.
    void passOn();

    InstanceId self;
    std::function<void()> onNews;
    std::function<bool(Time now)> hasJustPaused = [](Time /*now*/) {
        return false;
    };
    mutable std::mutex mutex;
    AssignmentCurrency currency;
    TransitTable transits;
};

} // namespace oleandergate

#endif
