#ifndef OLEANDERGATE_DECISION_REACHABILITYTABLE_H
#define OLEANDERGATE_DECISION_REACHABILITYTABLE_H

#include "decision/pathplan.h"

#include <map>
#include <string>
#include <vector>

namespace oleandergate {

//! Tells which endpoints this instance reaches over its own connections, and which only by way of other instances.
//!
//! A direct connection that fails says nothing by itself: the endpoint may have ended. The endpoint counts as cut off from this instance
//! once another instance reaches it meanwhile. Not thread-safe.
class ReachabilityTable
{
public:
    //! What a change means, for the log.
    enum class Change : std::uint8_t {
        None,
        CutOff, //!< The endpoint is reached only by way of other instances from now on.
        Back, //!< The endpoint is reached directly again.
    };

    //! Returns the ways to try for a new connection to \p address.
    PathPlan planFor(const std::string &address, Time now) const;

    //! Returns false while open direct connections to \p address are taken to hang.
    bool mayReuseDirect(const std::string &address, Time now) const;

    //! Records the end of a direct attempt, or that one takes longer than the head start.
    Change onDirect(const std::string &address, ReachOutcome outcome, Time now);

    //! Records what another instance found when it tried on behalf of this one.
    Change onPeer(const std::string &address, ReachOutcome outcome, Time now);

    //! Records that bytes arrived over a direct connection.
    void onReceived(const std::string &address, Time now);

    //! Returns true when the endpoint is reached only by way of other instances.
    bool isCutOff(const std::string &address) const;

    //! Returns true when several endpoints are cut off and none was reached directly since.
    bool isIsolated() const;

    //! Returns true when this instance opened a connection to some endpoint so lately that a failure at another one is unlikely to be its own.
    bool reachesSome(Time now) const;

    //! Returns the address of an endpoint other than \p address whose failure would be unexpected; empty when there is none.
    std::string controlAddress(const std::string &address, Time now) const;

    //! Returns true when the other instances did not reach the endpoint either, lately.
    bool isConfirmedDown(const std::string &address, Time now) const;

    //! Returns the endpoints that are cut off and to be tried directly now, and counts them as tried. Few at a time, so that a link that comes back is
    //! not flooded.
    std::vector<std::string> takeDueProbes(Time now);

    //! Returns endpoints that may be cut off as well, because another one was just found to be; each time once.
    std::vector<std::string> takeSuspects(Time now);

    //! Returns whether to try a new connection to \p address now, as calls there have waited long for an answer, and counts it as tried. Bytes or
    //! connections from the endpoint lately make that needless.
    bool takeDueCheck(const std::string &address, Time now);

    //! Returns the endpoints that are cut off.
    std::vector<std::string> cutOffAddresses() const;

    //! Drops endpoints without news for a while.
    void expire(Time now);

    std::size_t size() const;

private:
    struct Entry
    {
        Time updatedAt{};
        Time connectedAt{}; //!< Latest direct connection.
        Time receivedAt{}; //!< Latest bytes over a direct connection.
        Time failedAt{}; //!< Latest direct attempt that failed or was overdue.
        ReachOutcome failure = ReachOutcome::Connected; //!< How it failed.
        bool cutOff = false;
        Time cutOffAt{};
        Time backAt{};
        Time downUntil{}; //!< Until then no other instance is asked, as they did not reach the endpoint.
        Time checkedAt{}; //!< Latest check because of calls without an answer.
        Time probeAt{}; //!< While cut off: time of the next direct attempt.
        std::uint32_t relapses = 0; //!< Times that it was cut off again soon after it was back.
    };

    Entry &entryFor(const std::string &address, Time now);
    Change setCutOff(Entry &entry, Time now);
    Change setBack(Entry &entry, Time now);

    std::map<std::string, Entry> entries;
    std::size_t cutOffCount = 0;
    Time latestConnect{}; //!< Latest direct connection to any endpoint.
    Time cutOffFrom{}; //!< When the first of the endpoints that are cut off now was lost.
    bool suspectsOthers = false; //!< An endpoint was cut off since the last call of takeSuspects().
    bool hangs = false; //!< The latest endpoint that was cut off did not refuse: open connections may hang as well.
};

} // namespace oleandergate

#endif
