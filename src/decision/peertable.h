#ifndef OLEANDERGATE_DECISION_PEERTABLE_H
#define OLEANDERGATE_DECISION_PEERTABLE_H

#include "decision/membernews.h"
#include "decision/peeroffer.h"
#include "decision/slottable.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleandergate {

//! Report of a peer about itself.
struct PeerReport
{
    InstanceRecord instance{};
    std::uint64_t number = 0; //!< Increases with each report of an instance.
    std::uint64_t configVersion = 0;
    Time lastServiceContact{}; //!< When it last read the configuration and the endpoints from the key-value service.
    std::uint64_t endpointDigest = 0; //!< Hash over the endpoints that it knows.
    std::uint64_t endpointRevision = 0; //!< Revision of the key-value service up to which it knows the endpoints.
    std::set<SlotId> ownedBudgetSlots{}; //!< Slots whose programs' token budgets it owns.
    std::map<std::uint32_t, std::uint32_t> loads{}; //!< Its number of calls at each endpoint, by the hash of the endpoint's identifier.
};

//! The live peers and their latest reports; also selects the peers to which this instance reports.
//!
//! With many peers a given one is heard rarely. So instances also tell each other which members they know and when each gave its latest sign of life:
//! a peer is live as long as anybody heard from it not long ago.
class PeerTable
{
public:
    //! \p ownDomain is this instance's failure domain.
    PeerTable(std::string ownAddress, std::string ownDomain, std::vector<std::string> seeds);
    PeerTable(const PeerTable &) = delete;
    PeerTable &operator=(const PeerTable &) = delete;
    PeerTable(PeerTable &&) = default;
    PeerTable &operator=(PeerTable &&) = default;
    ~PeerTable() = default;

    //! Updates the time within which every live peer sends a report, for reports that are sent every \p interval.
    void updateReportPeriod(Duration interval);

    //! Processes a report. Returns false when it is not newer than the latest one of its sender, or is this instance's own.
    bool onReport(const PeerReport &report, Time now);

    //! Returns how long ago the latest report of \p instance arrived, or nothing when it has sent none.
    std::optional<Duration> reportAge(const InstanceId &instance, Time now) const;

    //! Adds an address that another instance named, as a candidate to report to.
    void addCandidate(const std::string &address, Time now);

    //! Processes what a peer tells about others.
    void onNews(const MemberNews &news, Time now);

    //! Returns the changes to tell next. Empty while there are few peers, which all hear each other.
    MemberNews nextChanges(Time now);

    //! Returns the signs of life to tell next, with a few entries that repair what was lost. Empty while there are few peers.
    MemberNews nextAges(Time now);

    //! Returns entries of some members for newcomers, and the addresses of those that get it. Few, because all others send some as well.
    MemberNews nextWelcome(Time now);
    std::vector<std::string> newcomers(Time now);

    //! Returns whether there are changes that have not been told often enough.
    bool hasNews() const;

    //! Returns the random addresses that get the next changes or ages.
    std::vector<std::string> changeTargets();
    std::vector<std::string> ageTargets();

    //! Removes peers without a sign of life for too long, and returns them.
    std::vector<InstanceId> expire(Time now);

    //! Restarts the timeouts of all peers. To be called after this process was paused, when missing reports say nothing about the peers.
    void resetTimeouts(Time now);

    //! Returns the addresses that get the next report: all live peers if they are few, else some of them in rotation; and those
    //! candidates that are due for another try. Few peers get no report unless \p changed says that it differs from the previous one.
    //! A rotation goes on in any case, as each peer gets only some of the reports; a changed report also goes to the peers of the
    //! own failure domain, most of whose calls use the same endpoints.
    std::vector<std::string> nextTargets(bool changed, Time now);

    //! Returns the total number of the live peers' calls at each endpoint, by the hash of its identifier.
    //! Endpoints without calls are left out. The totals are kept up to date by each report, so this costs little.
    const std::map<std::uint32_t, std::uint32_t> &loads(Time now);

    //! Returns a number that grows whenever liveInstances() or budgetSlotOwners() change.
    std::uint64_t membersRevision() const;

    std::vector<InstanceRecord> liveInstances() const;
    std::size_t liveCount() const;

    //! Returns whether there were signs of life just now of most of the instances, or of half of them, this one included. Instances are those that are live,
    //! and those that were lost, or named by the settings and never heard, until forgetLost(): not those that stated that they leave, or whose address another
    //! one has taken.
    bool hearsMost(Time now) const;
    bool hearsHalf(Time now) const;

    //! Returns whether an instance is lost, or has given no sign of life just now.
    bool missesAny(Time now) const;

    //! Forgets the instances that were lost a minute ago or longer. Not to be called while this instance may be the one that is cut off.
    void forgetLost(Time now);

    //! Returns the number of live peers with a report for which \p matches returns true.
    std::size_t countReports(const std::function<bool(const PeerReport &report)> &matches) const;

    //! Returns true when a live peer read from the key-value service after \p time.
    bool hasServiceContactAfter(Time time) const;

    //! Returns whether other instances may have reached it after \p time: a live one did, or too few are heard to tell.
    bool mayHaveServiceContactAfter(Time time, Time now) const;

    //! Returns the peer address of the owner of each budget slot, for slots that live peers own.
    std::map<SlotId, std::string> budgetSlotOwners() const;

    //! Returns when a live peer last read from the key-value service.
    Time latestServiceContact() const;

    //! Returns the live peers that know the endpoints up to a revision beyond \p revision, and whose digest differs from \p digest.
    std::vector<PeerOffer> offersOfEndpoints(std::uint64_t digest, std::uint64_t revision) const;

    //! Returns the live peers that have a newer configuration than \p version.
    std::vector<PeerOffer> offersOfConfiguration(std::uint64_t version) const;

    //! Returns the addresses of up to \p count random live peers, to be sent to other peers that may not know them.
    std::vector<std::string> sampleAddresses(std::size_t count);

private:
    struct Peer
    {
        PeerReport report{};
        Time receivedAt{}; //!< When its latest own report arrived; the epoch if others told of it only.
        Time addedAt{};
        Time heardAt{}; //!< Its latest sign of life, own or told.
        std::uint32_t hash = 0; //!< See memberHash().
        std::uint32_t tellings = 0; //!< How often its entry is still told as a change.
        std::optional<std::list<Peer *>::iterator> counted{}; //!< Position in countedPeers; nothing while its calls are not in the totals.
    };

    //! Returns the number of the other instances, live or lost, and of those with a sign of life just now; see hearsMost().
    std::size_t otherCount() const;
    std::size_t heardCount(Time now) const;

    //! Replaces the calls \p before by \p after in the totals.
    void updateTotals(const std::map<std::uint32_t, std::uint32_t> &before, const std::map<std::uint32_t, std::uint32_t> &after);

    //! Adds the calls of \p peer to the totals unless they are in them, and notes that its report is the latest one.
    void countLoads(Peer &peer);

    //! Takes the calls of \p peer out of the totals.
    void dropLoads(Peer &peer);

    //! Adds or replaces what is known of an instance, and drops an earlier process at its address.
    Peer &update(const PeerReport &report, Time now);

    //! Returns whether a later process runs at the address of \p instance.
    bool hasSuccessor(const InstanceRecord &instance) const;

    //! Returns whether \p entry may add an instance or change what is known of it.
    bool isCredible(const MemberEntry &entry, Time now) const;

    //! Forgets an instance.
    void remove(const InstanceId &id);

    //! What a peer has that others may lack.
    struct Newest
    {
        std::uint64_t configVersion = 0;
        std::uint64_t endpointRevision = 0;
        Time serviceContact{};
    };

    static Newest newestOf(const PeerReport &report);

    //! Raises what is newest to what \p state has.
    void addToNewest(const Newest &state);

    //! To be called when a peer has \p after instead of \p before: searches all reports if that may have lowered what is newest.
    void onReplaced(const Newest &before, const Newest &after);

    //! Collects the addresses of the live peers again after some have come or gone.
    void updateAddresses();

    //! Computes how long a peer may go without a sign of life.
    void updateSilenceLimit(Time now);
    static MemberEntry entryOf(const Peer &peer, Time now);
    std::vector<PeerOffer> offersWhere(const std::function<bool(const PeerReport &report)> &isNewer) const;

    //! Returns true when there are so few peers that each report goes to all of them.
    bool reportsToAll() const;

    //! Appends up to \p count of \p addresses that are not among \p targets yet, starting at \p position, and moves it on.
    static void addInRotation(const std::vector<std::string> &addresses, std::size_t count, std::size_t &position, std::vector<std::string> &targets);

    std::string ownAddress;
    std::string ownDomain;
    std::map<InstanceId, Peer> peers;
    Newest newest; //!< What the live peers have at most: mostly nobody has news, and then their reports need not be searched.
    std::uint64_t revision = 0; //!< See membersRevision().
    std::map<std::uint32_t, std::uint32_t> totals; //!< See loads().
    std::list<Peer *> countedPeers; //!< Those whose calls are in the totals, the one with the oldest report first.
    std::unordered_map<std::uint32_t, Peer *> byHash; //!< The peers by memberHash().
    std::unordered_map<std::string, InstanceId> byAddress; //!< Their identifiers by peer address.
    std::size_t changedCount = 0; //!< Peers whose entries are still told as changes.
    std::map<InstanceId, Time> expired; //!< Latest signs of life of peers that were removed: others may still tell of them.
    std::map<std::string, Time> lost; //!< By the address of each lost instance that did not state that it leaves: when it was lost; the epoch for a seed.
    Time expiryCheckedAt{};
    Time countedFrom{}; //!< Silence before this time does not count.
    std::size_t nextEntry = 0; //!< Position of the rotation over the entries.
    std::size_t nextAge = 0; //!< The same over the ages.
    std::vector<std::string> liveAddresses; //!< Of the peers, as of the latest updateAddresses().
    std::vector<std::string> domainAddresses; //!< Those of the own failure domain.
    bool addressesOutdated = false;
    std::map<std::string, Time> candidates; //!< Addresses to try, with the time of the last try.
    Duration reportPeriod{};
    Duration silenceLimit; //!< A peer without a sign of life for longer is lost.
    std::size_t nextPeer = 0;
    std::size_t nextDomainPeer = 0;
    std::minstd_rand random;
};

} // namespace oleandergate

#endif
