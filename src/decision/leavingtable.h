#ifndef OLEANDERGATE_DECISION_LEAVINGTABLE_H
#define OLEANDERGATE_DECISION_LEAVINGTABLE_H

#include "decision/leavingstatement.h"
#include "decision/time.h"

#include <map>
#include <vector>

namespace oleandergate {

//! The endpoints that stated in an answer that they are leaving, at any instance. Registrations tell the same, but later.
//!
//! A statement holds as long as its endpoint's process is registered, and for a while after that, since a registration may be missing for other
//! reasons. Bounded in memory. Not thread-safe.
class LeavingTable
{
public:
    //! Records a statement. Returns false when it is known.
    bool add(const LeavingStatement &statement, Time now);

    //! Returns whether the process of \p endpoint that started at \p startedAt has stated that it is leaving.
    bool isLeaving(const EndpointId &endpoint, std::int64_t startedAt) const;

    //! Returns up to \p count statements to report to other instances next: those that are new, and some others in turn, for instances that started later.
    std::vector<LeavingStatement> nextReport(std::size_t count);

    //! Returns true when a statement is so new that not all other instances may have it.
    bool hasNews() const;

    //! Records that the process of an endpoint is registered at \p now.
    void onRegistered(const EndpointId &endpoint, std::int64_t startedAt, Time now);

    //! Drops statements of processes that have not been registered for a while.
    void expire(Time now);

    std::size_t size() const;

private:
    struct Entry
    {
        std::int64_t startedAt = 0;
        Time registeredAt{}; //!< When the process was last known to be registered, or the statement was recorded.
        std::uint32_t newsLeft = 0; //!< Reports that are still to name it.
    };

    std::map<EndpointId, Entry> entries;
    EndpointId lastRepeated{}; //!< Of the statements that are reported in turn.
};

} // namespace oleandergate

#endif
