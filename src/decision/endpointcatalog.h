#ifndef OLEANDERGATE_DECISION_ENDPOINTCATALOG_H
#define OLEANDERGATE_DECISION_ENDPOINTCATALOG_H

#include "decision/endpointspec.h"
#include "decision/leavingtable.h"
#include "decision/time.h"

#include <map>
#include <optional>
#include <vector>

namespace oleandergate {

//! Registration of an endpoint.
struct EndpointEntry
{
    EndpointSpec spec{};
    std::string service{};
    std::int64_t startedAt = 0; //!< Start time of its process. A new value under the same identifier means a new process without state.

    bool operator==(const EndpointEntry &) const = default;
};

//! The endpoints of all services, maintained from registrations in the key-value service as they are added, changed and removed.
//!
//! While the key-value service is available, a removed registration means that the endpoint has left. Right after an outage of the
//! service, a missing registration may only have expired: the endpoint stays in use until it has had time to register again.
class EndpointCatalog
{
public:
    //! \p reregistrationTimeout is the time within which running endpoints register again after the key-value service has recovered.
    explicit EndpointCatalog(Duration reregistrationTimeout);

    void put(const EndpointEntry &entry);

    //! Removes a registration: at once, or after the re-registration timeout if the key-value service has just recovered.
    void remove(const EndpointId &id, Time now);

    //! Replaces all registrations by \p entries; those that are not among them are removed as by remove().
    void replace(const std::vector<EndpointEntry> &entries, Time now);

    //! Replaces all registrations by \p entries and removes the others at once.
    void adopt(const std::vector<EndpointEntry> &entries);

    //! Records that the key-value service has been available again since \p recoveredAt.
    void onServiceRecovered(Time recoveredAt);

    //! Records that the key-value service may be unavailable, so that endpoints cannot register again until onServiceRecovered().
    void onServiceUnavailable();

    //! Drops endpoints that did not register again in time. Returns true when any was dropped.
    bool expire(Time now);
    bool dropMissing(Time now);

    //! Records that an endpoint stated in an answer that it is leaving, for its process that is registered now. Returns nothing when that is known, or
    //! the endpoint is not.
    std::optional<LeavingStatement> addLeaving(const EndpointId &id, Time now);

    //! Records a statement that another instance reported. Returns false when it is known.
    bool addLeaving(const LeavingStatement &statement, Time now);

    //! Statements to report to other instances, as in LeavingTable.
    LeavingTable &leaving();
    const LeavingTable &leaving() const;

    //! Returns the endpoints of \p service. Those that have stated that they are leaving are so, whatever their registration says.
    std::vector<EndpointSpec> endpointsOf(const std::string &service) const;

    //! Returns the slots of the endpoints of \p service by software version. Versions whose endpoints are all leaving have none.
    std::map<std::string, std::uint32_t> slotsByVersion(const std::string &service) const;

    std::vector<EndpointId> ids() const;

    //! Returns the registered entries, for use by other instances. Entries that wait for a new registration are left out, because
    //! another instance may already know that those endpoints are gone.
    std::vector<EndpointEntry> entries() const;

    //! Returns a hash over all entries, including those that wait for a new registration.
    std::uint64_t digest() const;

    //! Returns true when a missing registration means that the endpoint has left, not only that it has not registered again yet.
    bool trustsRemovals(Time now) const;

    //! Returns when missing registrations will be dropped; nothing if there are none or that is not known yet.
    std::optional<Time> dropsMissingAt() const;

    const EndpointEntry *find(const EndpointId &id) const;

    //! Returns the identifier of the endpoint at \p address; empty when there is none.
    EndpointId endpointAt(const std::string &address) const;
    std::size_t size() const;

private:
    struct Registration
    {
        EndpointEntry entry{};
        bool isMissing = false; //!< Dropped once removals are trusted, unless it is registered again.
        std::uint64_t hash = 0; //!< Hash of the entry.
    };

    using Position = std::map<EndpointId, Registration>::iterator;

    Position drop(Position position);

    bool isLeaving(const Registration &registration) const;

    Duration reregistrationTimeout;
    Time trustRemovalsFrom{};
    bool hasMissing = false; //!< Some registration may be missing.
    std::map<EndpointId, Registration> registrations;
    LeavingTable leavingTable;
    std::uint64_t combinedHash = 0; //!< XOR of all entry hashes, kept up to date because digest() is called many times a second.
};

} // namespace oleandergate

#endif
