#ifndef OLEANDERGATE_DECISION_PEERTABLE_H
#define OLEANDERGATE_DECISION_PEERTABLE_H

#include "decision/slottable.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleandergate {

//! A peer's report in short.
struct PeerReport
{
    InstanceRecord instance{};
    std::uint64_t number = 0; //!< Grows with each report of an instance.
    std::uint64_t configVersion = 0;
    Time lastServiceContact{}; //!< When it last read configuration and endpoints from the key-value service.
    std::uint64_t endpointDigest = 0; //!< Hash over the endpoints it knows.
    std::uint64_t endpointRevision = 0; //!< Revision of the key-value service up to which it knows them.
    std::set<SlotId> ownedBudgetSlots{}; //!< Slots whose programs' budgets it keeps.
    std::map<std::uint32_t, std::uint32_t> loads{}; //!< Its calls by endpoint, by the hash of the endpoint's identifier.
};

//! What this instance hears of the others, and whom it tells.
class PeerTable
{
public:
    PeerTable(std::string ownAddress, std::vector<std::string> seeds);

    //! Sets how long it takes until a report of each live peer has come.
    void setReportPeriod(Duration reportPeriod);

    std::size_t size() const;

    //! Takes a report. Returns false for one that is older than what is known.
    bool onReport(const PeerReport &report, Time now);

    //! Notes an address that a peer named.
    void addCandidate(const std::string &address, Time now);

    //! Forgets silent peers. Returns those that are no longer taken to be alive.
    std::vector<InstanceId> expire(Time now);

    //! This process did not run for a while: the silence of the others says nothing.
    void resetTimeouts(Time now);

    //! Returns the addresses to tell next: live peers in turn, at most \p count, and now and then an address that is
    //! only known by name.
    std::vector<std::string> nextTargets(std::size_t count, Time now);

    //! Returns the total of the live peers' calls by endpoint.
    std::map<std::uint32_t, std::uint32_t> loads(Time now) const;

    std::vector<InstanceRecord> liveInstances() const;
    std::vector<PeerReport> liveReports() const;

    //! Returns true when some live peer reached the key-value service after \p time.
    bool hasServiceContactAfter(Time time) const;

    //! Returns the peer address of each slot's keeper, among the live peers.
    std::map<SlotId, std::string> budgetSlotOwners() const;

    //! Returns when a live peer last read from the key-value service.
    Time latestServiceContact() const;

    //! Returns the peer address of the live peer that knows the endpoints up to the highest revision, if that is beyond
    //! \p revision; else nothing.
    std::string peerWithLatestEndpoints(std::uint64_t revision) const;

    //! Returns true when a live peer knows the endpoints up to a revision beyond \p revision, and other ones than \p digest
    //! says.
    bool hasNewerEndpoints(std::uint64_t digest, std::uint64_t revision) const;

    //! Returns the addresses of a few live peers, drawn anew each time, to name to peers that do not know them.
    std::vector<std::string> sampleAddresses(std::size_t count);

private:
    struct Peer
    {
        PeerReport report{};
        Time receivedAt{};
    };

    std::string ownAddress;
    std::map<InstanceId, Peer> peers;
    std::map<std::string, Time> candidates; //!< Addresses to try, with when they were last tried.
    Duration reportPeriod{};
    std::size_t nextPeer = 0;
    std::minstd_rand random;
};

} // namespace oleandergate

#endif
