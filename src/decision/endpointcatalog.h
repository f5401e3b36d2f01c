#ifndef OLEANDERGATE_DECISION_ENDPOINTCATALOG_H
#define OLEANDERGATE_DECISION_ENDPOINTCATALOG_H

#include "decision/endpointspec.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <vector>

namespace oleandergate {

//! An endpoint as it announces itself.
struct EndpointEntry
{
    EndpointSpec spec{};
    std::string service{};
    std::int64_t startedAt = 0; //!< Start of its process; a new value under the same id is a new process that knows nothing.

    bool operator==(const EndpointEntry &) const = default;
};

//! The endpoints of all services, from announcements that appear, change and vanish.
//!
//! An announcement that vanishes while the list's keeper is in good order means that the endpoint leaves. One that is missing
//! right after the keeper was away may only have lapsed: the endpoint stays in use for a moment, unless it comes back.
class EndpointCatalog
{
public:
    //! \p reregistrationTimeout is how long after the keeper's return a living endpoint needs at most to announce itself again.
    explicit EndpointCatalog(Duration reregistrationTimeout);

    void put(const EndpointEntry &entry);
    void remove(const EndpointId &id, Time now);

    //! Takes a whole reading: what it lacks is removed.
    void replace(const std::vector<EndpointEntry> &entries, Time now);

    //! The keeper answers again since \p returned, after it was away.
    void onServiceRecovered(Time returned);

    //! Drops what did not come back. Returns true when something was dropped.
    bool expire(Time now);

    //! Returns the endpoints of \p service.
    std::vector<EndpointSpec> endpointsOf(const std::string &service) const;

    std::vector<EndpointId> ids() const;

    //! Returns the entries that are announced. Those that are kept for a moment are not passed on: another instance may know
    //! better that they are gone.
    std::vector<EndpointEntry> entries() const;

    //! Returns a hash over all entries, those that are kept for a moment included.
    std::uint64_t digest() const;

    //! Returns true when what is missing is gone, and not only not announced again yet.
    bool trustsRemovals(Time now) const;

    const EndpointEntry *find(const EndpointId &id) const;
    std::size_t size() const;

private:
    struct Registration
    {
        EndpointEntry entry{};
        std::optional<Time> expiresAt{}; //!< Missing; dropped at this time unless it comes back.
        std::uint64_t hash = 0; //!< Of the entry.
    };

    using Position = std::map<EndpointId, Registration>::iterator;

    Position drop(Position position);

    Duration reregistrationTimeout;
    Time trustRemovalsFrom{};
    std::map<EndpointId, Registration> registrations;
    std::uint64_t combinedHash = 0; //!< Of all entries, combined so that each can be taken out again; asked for many times a second.
};

} // namespace oleandergate

#endif
