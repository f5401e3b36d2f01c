#include "decision/peertable.h"

#include "decision/hash.h"

#include <algorithm>
#include <iterator>

namespace oleandergate {

namespace {

//! The load of a peer is ignored once its latest report is older than this or two report periods, whichever is longer: its calls are
//! as likely to have ended.
constexpr Duration minLoadTimeout = std::chrono::milliseconds(700);
constexpr double loadTimeoutPeriods = 2.0;

//! A peer counts as lost once its latest report is older than this or so many report periods, whichever is longer. Reports are sent
//! at least every 500 ms.
constexpr Duration minPeerTimeout = std::chrono::milliseconds(1800);
constexpr double peerTimeoutPeriods = 3.5;

Duration timeoutFor(Duration minimum, Duration reportPeriod, double periods)
{
    return std::max(minimum, fromSeconds(toSeconds(reportPeriod) * periods));
}

//! Up to this many peers, each report goes to all of them.
constexpr std::size_t maxPeersForBroadcast = 12;

//! With more peers, each report goes to this many of them in rotation: 60 datagrams a second with an interval of 50 ms.
constexpr std::size_t rotationTargets = 3;

//! A changed report also goes to this many peers of the own failure domain. With an interval of 50 ms the counts of 52 instances, a
//! domain of the largest planned installation, are at most 200 ms old.
constexpr std::size_t domainTargets = 16;

//! Interval between two tries of an address that has not sent a report.
constexpr Duration candidateRetryInterval = std::chrono::milliseconds(500);

//! Largest number of candidate addresses.
constexpr std::size_t maxCandidates = 64;

} // namespace

PeerTable::PeerTable(std::string ownAddress, std::string ownDomain, std::vector<std::string> seeds)
    : ownAddress(std::move(ownAddress))
    , ownDomain(std::move(ownDomain))
    , random(static_cast<std::minstd_rand::result_type>(hashOf(this->ownAddress)))
{
    for (const std::string &seed : seeds) {
        this->candidates[seed] = Time{};
    }
}

void PeerTable::updateReportPeriod(Duration interval)
{
    const std::size_t intervals = this->reportsToAll() ? 1 : this->peers.size() / rotationTargets + 1;
    this->reportPeriod = interval * static_cast<Duration::rep>(intervals);
}

bool PeerTable::reportsToAll() const
{
    return this->peers.size() <= maxPeersForBroadcast;
}

bool PeerTable::onReport(const PeerReport &report, Time now)
{
    if (report.instance.peerAddress == this->ownAddress) {
        return false;
    }
    const auto [entry, added] = this->peers.try_emplace(report.instance.id);
    Peer &peer = entry->second;
    if (!added && report.number <= peer.report.number) {
        return false;
    }
    const InstanceRecord &known = peer.report.instance;
    if (added || known.leaving != report.instance.leaving || known.peerAddress != report.instance.peerAddress || known.domain != report.instance.domain
        || peer.report.ownedBudgetSlots != report.ownedBudgetSlots) {
        this->revision += 1;
    }
    this->countLoads(peer, report.loads);
    peer.report = report;
    peer.receivedAt = now;
    // A new instance at an address means that the previous one there has ended.
    std::vector<InstanceId> ended;
    for (const auto &[id, other] : this->peers) {
        if (id != report.instance.id && other.report.instance.peerAddress == report.instance.peerAddress) {
            ended.push_back(id);
        }
    }
    for (const InstanceId &id : ended) {
        this->remove(id);
    }
    this->addCandidate(report.instance.peerAddress, now);
    return true;
}

void PeerTable::updateTotals(const std::map<std::uint32_t, std::uint32_t> &before, const std::map<std::uint32_t, std::uint32_t> &after)
{
    const auto change = [this](std::uint32_t endpoint, std::uint32_t from, std::uint32_t to) {
        if (from == to) {
            return;
        }
        const auto total = this->totals.try_emplace(endpoint).first;
        total->second += to - from;
        if (total->second == 0) {
            this->totals.erase(total);
        }
    };
    auto next = after.begin();
    for (const auto &[endpoint, calls] : before) {
        for (; next != after.end() && next->first < endpoint; ++next) {
            change(next->first, 0, next->second);
        }
        const bool isKept = next != after.end() && next->first == endpoint;
        change(endpoint, calls, isKept ? next->second : 0);
        next = isKept ? std::next(next) : next;
    }
    for (; next != after.end(); ++next) {
        change(next->first, 0, next->second);
    }
}

void PeerTable::countLoads(Peer &peer, const std::map<std::uint32_t, std::uint32_t> &loads)
{
    if (peer.counted) {
        this->updateTotals(peer.report.loads, loads);
        this->countedPeers.splice(this->countedPeers.end(), this->countedPeers, *peer.counted);
    } else {
        this->updateTotals({}, loads);
        peer.counted = this->countedPeers.insert(this->countedPeers.end(), &peer);
    }
}

void PeerTable::dropLoads(Peer &peer)
{
    if (peer.counted) {
        this->updateTotals(peer.report.loads, {});
        this->countedPeers.erase(*peer.counted);
        peer.counted.reset();
    }
}

void PeerTable::remove(const InstanceId &id)
{
    const auto peer = this->peers.find(id);
    if (peer != this->peers.end()) {
        this->dropLoads(peer->second);
        this->peers.erase(peer);
        this->revision += 1;
    }
}

std::optional<Duration> PeerTable::reportAge(const InstanceId &instance, Time now) const
{
    const auto found = this->peers.find(instance);
    return found == this->peers.end() ? std::nullopt : std::optional<Duration>(now - found->second.receivedAt);
}

void PeerTable::addCandidate(const std::string &address, Time /*now*/)
{
    if (address != this->ownAddress && this->candidates.size() < maxCandidates) {
        this->candidates.try_emplace(address, Time{});
    }
}

std::vector<InstanceId> PeerTable::expire(Time now)
{
    std::vector<InstanceId> gone;
    for (const auto &[id, peer] : this->peers) {
        if (now - peer.receivedAt > timeoutFor(minPeerTimeout, this->reportPeriod, peerTimeoutPeriods)) {
            gone.push_back(id);
        }
    }
    for (const InstanceId &id : gone) {
        this->remove(id);
    }
    return gone;
}

void PeerTable::resetTimeouts(Time now)
{
    for (auto &[id, peer] : this->peers) {
        peer.receivedAt = now;
    }
}

void PeerTable::addInRotation(const std::vector<std::string> &addresses, std::size_t count, std::size_t &position, std::vector<std::string> &targets)
{
    for (std::size_t taken = 0; taken < std::min(count, addresses.size()); ++taken) {
        const std::string &address = addresses[position++ % addresses.size()];
        if (std::find(targets.begin(), targets.end(), address) == targets.end()) {
            targets.push_back(address);
        }
    }
}

std::vector<std::string> PeerTable::nextTargets(bool changed, Time now)
{
    if (!changed && this->reportsToAll()) {
        return {};
    }
    const std::size_t count = this->reportsToAll() ? maxPeersForBroadcast : rotationTargets;
    std::vector<std::string> targets;
    std::vector<std::string> liveAddresses;
    std::vector<std::string> domainAddresses;
    for (const auto &[id, peer] : this->peers) {
        const InstanceRecord &instance = peer.report.instance;
        liveAddresses.push_back(instance.peerAddress);
        if (instance.domain == this->ownDomain) {
            domainAddresses.push_back(instance.peerAddress);
        }
    }
    addInRotation(liveAddresses, count, this->nextPeer, targets);
    if (changed) {
        addInRotation(domainAddresses, domainTargets, this->nextDomainPeer, targets);
    }
    for (auto &[address, triedAt] : this->candidates) {
        const bool isLive = std::find(liveAddresses.begin(), liveAddresses.end(), address) != liveAddresses.end();
        if (!isLive && now - triedAt >= candidateRetryInterval && address != this->ownAddress) {
            triedAt = now;
            targets.push_back(address);
        }
    }
    return targets;
}

const std::map<std::uint32_t, std::uint32_t> &PeerTable::loads(Time now)
{
    const Duration timeout = timeoutFor(minLoadTimeout, this->reportPeriod, loadTimeoutPeriods);
    while (!this->countedPeers.empty() && now - this->countedPeers.front()->receivedAt > timeout) {
        this->dropLoads(*this->countedPeers.front());
    }
    return this->totals;
}

std::uint64_t PeerTable::membersRevision() const
{
    return this->revision;
}

std::vector<InstanceRecord> PeerTable::liveInstances() const
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, peer] : this->peers) {
        records.push_back(peer.report.instance);
    }
    return records;
}

std::vector<PeerReport> PeerTable::liveReports() const
{
    std::vector<PeerReport> found;
    for (const auto &[id, peer] : this->peers) {
        found.push_back(peer.report);
    }
    return found;
}

bool PeerTable::hasServiceContactAfter(Time time) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [time](const auto &entry) {
        return entry.second.report.lastServiceContact > time;
    });
}

std::map<SlotId, std::string> PeerTable::budgetSlotOwners() const
{
    std::map<SlotId, std::string> addresses;
    for (const auto &[id, peer] : this->peers) {
        for (const SlotId slot : peer.report.ownedBudgetSlots) {
            addresses[slot] = peer.report.instance.peerAddress;
        }
    }
    return addresses;
}

Time PeerTable::latestServiceContact() const
{
    Time latest{};
    for (const auto &[id, peer] : this->peers) {
        latest = std::max(latest, peer.report.lastServiceContact);
    }
    return latest;
}

std::vector<PeerOffer> PeerTable::offersOfEndpoints(std::uint64_t digest, std::uint64_t revision) const
{
    return this->offersWhere([digest, revision](const PeerReport &report) {
        return report.endpointRevision > revision && report.endpointDigest != digest;
    });
}

std::vector<PeerOffer> PeerTable::offersOfConfiguration(std::uint64_t version) const
{
    return this->offersWhere([version](const PeerReport &report) {
        return report.configVersion > version;
    });
}

std::vector<PeerOffer> PeerTable::offersWhere(const std::function<bool(const PeerReport &report)> &isNewer) const
{
    std::vector<PeerOffer> offers;
    for (const auto &[id, peer] : this->peers) {
        if (isNewer(peer.report)) {
            offers.push_back(PeerOffer{peer.report.instance.peerAddress, peer.receivedAt});
        }
    }
    return offers;
}

std::vector<std::string> PeerTable::sampleAddresses(std::size_t count)
{
    std::vector<std::string> liveAddresses;
    for (const auto &[id, peer] : this->peers) {
        liveAddresses.push_back(peer.report.instance.peerAddress);
    }
    // Random, because a rotation like that of the targets would send the same addresses to the same targets each time.
    std::vector<std::string> addresses;
    std::sample(liveAddresses.begin(), liveAddresses.end(), std::back_inserter(addresses), count, this->random);
    return addresses;
}

} // namespace oleandergate
