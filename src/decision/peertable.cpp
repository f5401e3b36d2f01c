#include "decision/peertable.h"

#include "decision/hash.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

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

//! With news of others, a peer counts as lost after this multiple of the median silence of all peers, but not before the minimum.
constexpr int silenceFactor = 10;
constexpr Duration minToldTimeout = std::chrono::milliseconds(4000);

//! Added to that minimum for each peer: with more peers each is told of less often.
constexpr Duration toldTimeoutPerPeer = std::chrono::milliseconds(2);

//! How often many peers are checked for silence.
constexpr Duration expiryInterval = std::chrono::milliseconds(200);

//! Bounds of what is told in a datagram: receivers drop longer ones than 1,400 bytes, 32 of which are the authentication code.
constexpr std::size_t maxNewsBytes = 1300;
constexpr std::size_t bytesOfAge = 6;
constexpr std::size_t maxAges = 180;

//! Bytes of an entry beside its names and slots.
constexpr std::size_t bytesBesideNames = 17;

//! Each instance that learns of a change tells it twice, to this many random peers each time. One copy from each would leave out a share of 1 in e.
constexpr std::uint32_t tellingsOfChange = 2;
constexpr std::size_t changeTargetCount = 10;

//! Random peers that get a datagram of ages.
constexpr std::size_t ageTargetCount = 3;

//! An instance that was not known counts as a newcomer for this time. All others together send each newcomer about this many datagrams of
//! entries each time that ages are told, so that it soon knows all members.
constexpr Duration newcomerTime = std::chrono::seconds(3);
constexpr std::size_t welcomesOfNewcomer = 24;

//! Entries beside the ages.
constexpr std::size_t repairEntries = 4;

//! What others tell of a removed peer counts if it is younger than the last known sign of life by more than this, the time that messages take.
constexpr Duration toldTolerance = std::chrono::milliseconds(200);

//! How long the last sign of life of a removed peer is remembered.
constexpr Duration expiredRetention = std::chrono::seconds(60);

//! Returns an upper bound of the bytes that the entry of an instance takes in a datagram.
std::size_t bytesOf(const PeerReport &report)
{
    constexpr SlotId bitsPerByte = 8;
    const std::size_t slotBytes = report.ownedBudgetSlots.empty() ? 0 : *report.ownedBudgetSlots.rbegin() / bitsPerByte + 1;
    const InstanceRecord &instance = report.instance;
    return instance.id.size() + instance.peerAddress.size() + instance.domain.size() + slotBytes + bytesBesideNames;
}

//! Returns when the process with the identifier \p id started, as its suffix says; 0 if it says nothing.
std::int64_t startOf(const InstanceId &id)
{
    const std::size_t mark = id.find('~');
    std::int64_t start = 0;
    if (mark != std::string::npos) {
        std::from_chars(id.data() + mark + 1, id.data() + id.size(), start);
    }
    return start;
}

} // namespace

PeerTable::PeerTable(std::string ownAddress, std::string ownDomain, std::vector<std::string> seeds)
    : ownAddress(std::move(ownAddress))
    , ownDomain(std::move(ownDomain))
    , silenceLimit(minPeerTimeout)
    , random(static_cast<std::minstd_rand::result_type>(hashOf(this->ownAddress)))
{
    // Else instances that start together would all tell of the same peers at the same time.
    this->nextEntry = this->random();
    this->nextAge = this->random();
    for (const std::string &seed : seeds) {
        this->candidates[seed] = Time{};
        if (seed != this->ownAddress) {
            this->lost[seed] = Time{};
        }
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

std::uint32_t memberHash(const InstanceId &instance)
{
    return static_cast<std::uint32_t>(hashOf(instance));
}

PeerTable::Peer &PeerTable::update(const PeerReport &report, Time now)
{
    const auto [entry, added] = this->peers.try_emplace(report.instance.id);
    Peer &peer = entry->second;
    const InstanceRecord &known = peer.report.instance;
    const bool changed = added || known.leaving != report.instance.leaving || peer.report.ownedBudgetSlots != report.ownedBudgetSlots;
    if (peer.counted) {
        this->updateTotals(peer.report.loads, report.loads);
    }
    const Newest before = newestOf(peer.report);
    peer.report = report;
    this->onReplaced(before, newestOf(report));
    if (changed) {
        this->revision += 1;
        this->changedCount += peer.tellings == 0 ? 1 : 0;
        peer.tellings = tellingsOfChange;
    }
    if (added) {
        this->addressesOutdated = true;
        peer.addedAt = now;
        peer.hash = memberHash(report.instance.id);
        this->byHash[peer.hash] = &peer;
        const InstanceId before = std::exchange(this->byAddress[report.instance.peerAddress], report.instance.id);
        if (!before.empty() && before != report.instance.id) {
            // A new instance at an address means that the previous one there has ended.
            this->remove(before);
        }
    }
    return peer;
}

bool PeerTable::onReport(const PeerReport &report, Time now)
{
    if (report.instance.peerAddress == this->ownAddress || this->hasSuccessor(report.instance)) {
        return false;
    }
    const auto known = this->peers.find(report.instance.id);
    if (known != this->peers.end()) {
        const Peer &peer = known->second;
        const bool isToldOnly = peer.receivedAt == Time{};
        if (report.number < peer.report.number || (report.number == peer.report.number && !isToldOnly)) {
            return false;
        }
    }
    Peer &peer = this->update(report, now);
    peer.receivedAt = now;
    peer.heardAt = now;
    this->countLoads(peer);
    this->expired.erase(report.instance.id);
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

void PeerTable::countLoads(Peer &peer)
{
    if (peer.counted) {
        this->countedPeers.splice(this->countedPeers.end(), this->countedPeers, *peer.counted);
    } else {
        this->updateTotals({}, peer.report.loads);
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

bool PeerTable::hasSuccessor(const InstanceRecord &instance) const
{
    const auto known = this->byAddress.find(instance.peerAddress);
    return known != this->byAddress.end() && startOf(known->second) > startOf(instance.id);
}

void PeerTable::remove(const InstanceId &id)
{
    const auto peer = this->peers.find(id);
    if (peer == this->peers.end()) {
        return;
    }
    const auto address = this->byAddress.find(peer->second.report.instance.peerAddress);
    if (address != this->byAddress.end() && address->second == id) {
        this->byAddress.erase(address);
    }
    this->changedCount -= peer->second.tellings > 0 ? 1 : 0;
    const auto hash = this->byHash.find(peer->second.hash);
    if (hash != this->byHash.end() && hash->second == &peer->second) {
        this->byHash.erase(hash);
    }
    this->dropLoads(peer->second);
    const Newest before = newestOf(peer->second.report);
    this->peers.erase(peer);
    this->onReplaced(before, Newest{});
    this->revision += 1;
    this->addressesOutdated = true;
}

PeerTable::Newest PeerTable::newestOf(const PeerReport &report)
{
    return Newest{report.configVersion, report.endpointRevision, report.lastServiceContact};
}

void PeerTable::addToNewest(const Newest &state)
{
    this->newest.configVersion = std::max(this->newest.configVersion, state.configVersion);
    this->newest.endpointRevision = std::max(this->newest.endpointRevision, state.endpointRevision);
    this->newest.serviceContact = std::max(this->newest.serviceContact, state.serviceContact);
}

void PeerTable::onReplaced(const Newest &before, const Newest &after)
{
    const auto lowers = [](const auto &former, const auto &present, const auto &highest) {
        return present < former && former == highest;
    };
    if (lowers(before.configVersion, after.configVersion, this->newest.configVersion)
        || lowers(before.endpointRevision, after.endpointRevision, this->newest.endpointRevision)
        || lowers(before.serviceContact, after.serviceContact, this->newest.serviceContact)) {
        this->newest = Newest{};
        for (const auto &[id, peer] : this->peers) {
            this->addToNewest(newestOf(peer.report));
        }
    }
    this->addToNewest(after);
}

bool PeerTable::isCredible(const MemberEntry &entry, Time now) const
{
    if (entry.instance.peerAddress == this->ownAddress || entry.age > this->silenceLimit / 2) {
        return false;
    }
    const auto removed = this->expired.find(entry.instance.id);
    return (removed == this->expired.end() || now - entry.age > removed->second + toldTolerance) && !this->hasSuccessor(entry.instance);
}

void PeerTable::onNews(const MemberNews &news, Time now)
{
    for (const MemberEntry &entry : news.entries) {
        const auto known = this->peers.find(entry.instance.id);
        const Time heardAt = now - entry.age;
        if (known != this->peers.end() && entry.number <= known->second.report.number) {
            known->second.heardAt = std::max(known->second.heardAt, heardAt);
        } else if (this->isCredible(entry, now)) {
            PeerReport report = known == this->peers.end() ? PeerReport{} : known->second.report;
            report.instance = entry.instance;
            report.number = entry.number;
            report.ownedBudgetSlots = entry.ownedBudgetSlots;
            Peer &peer = this->update(report, now);
            peer.heardAt = std::max(peer.heardAt, heardAt);
            this->expired.erase(entry.instance.id);
        }
    }
    for (const MemberAge &age : news.ages) {
        const auto known = this->byHash.find(age.member);
        if (known != this->byHash.end()) {
            known->second->heardAt = std::max(known->second->heardAt, now - age.age);
        }
    }
}

MemberEntry PeerTable::entryOf(const Peer &peer, Time now)
{
    return MemberEntry{peer.report.instance, peer.report.number, now - peer.heardAt, peer.report.ownedBudgetSlots};
}

MemberNews PeerTable::nextChanges(Time now)
{
    MemberNews news;
    if (!this->hasNews()) {
        return news;
    }
    std::vector<Peer *> changed;
    for (auto &[id, peer] : this->peers) {
        if (peer.tellings > 0) {
            changed.push_back(&peer);
        }
    }
    // Random ones, or all instances would tell the same changes first.
    std::shuffle(changed.begin(), changed.end(), this->random);
    std::size_t bytes = 0;
    for (Peer *peer : changed) {
        bytes += bytesOf(peer->report);
        if (bytes > maxNewsBytes && !news.entries.empty()) {
            break;
        }
        peer->tellings -= 1;
        this->changedCount -= peer->tellings == 0 ? 1 : 0;
        news.entries.push_back(entryOf(*peer, now));
    }
    return news;
}

MemberNews PeerTable::nextAges(Time now)
{
    MemberNews news;
    if (this->reportsToAll()) {
        return news;
    }
    const auto positionOf = [this](std::size_t number) {
        return std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(number % this->peers.size()));
    };
    std::size_t bytes = 0;
    for (std::size_t added = 0; added < repairEntries; ++added) {
        const Peer &peer = positionOf(this->nextEntry++)->second;
        bytes += bytesOf(peer.report);
        news.entries.push_back(entryOf(peer, now));
    }
    const std::size_t room = (maxNewsBytes - std::min(bytes, maxNewsBytes)) / bytesOfAge;
    const std::size_t count = std::min({maxAges, room, this->peers.size()});
    news.ages.reserve(count);
    auto next = positionOf(this->nextAge);
    for (std::size_t told = 0; told < count; ++told) {
        news.ages.push_back(MemberAge{next->second.hash, now - next->second.heardAt});
        next = std::next(next) == this->peers.end() ? this->peers.begin() : std::next(next);
    }
    this->nextAge += count;
    return news;
}

MemberNews PeerTable::nextWelcome(Time now)
{
    MemberNews news;
    if (this->peers.empty()) {
        return news;
    }
    // From a random position: each sender tells another part.
    auto next = std::next(this->peers.begin(), static_cast<std::ptrdiff_t>(this->random() % this->peers.size()));
    std::size_t bytes = bytesOf(next->second.report);
    while (bytes <= maxNewsBytes && news.entries.size() < this->peers.size()) {
        news.entries.push_back(entryOf(next->second, now));
        next = std::next(next) == this->peers.end() ? this->peers.begin() : std::next(next);
        bytes += bytesOf(next->second.report);
    }
    return news;
}

std::vector<std::string> PeerTable::newcomers(Time now)
{
    std::vector<std::string> addresses;
    if (this->reportsToAll()) {
        return addresses;
    }
    for (const auto &[id, peer] : this->peers) {
        if (now - peer.addedAt < newcomerTime && this->random() % this->peers.size() < welcomesOfNewcomer) {
            addresses.push_back(peer.report.instance.peerAddress);
        }
    }
    return addresses;
}

bool PeerTable::hasNews() const
{
    return !this->reportsToAll() && this->changedCount > 0;
}

std::vector<std::string> PeerTable::changeTargets()
{
    return this->sampleAddresses(changeTargetCount);
}

std::vector<std::string> PeerTable::ageTargets()
{
    return this->sampleAddresses(ageTargetCount);
}

std::optional<Duration> PeerTable::reportAge(const InstanceId &instance, Time now) const
{
    const auto found = this->peers.find(instance);
    const bool isKnown = found != this->peers.end() && found->second.receivedAt != Time{};
    return isKnown ? std::optional<Duration>(now - found->second.receivedAt) : std::nullopt;
}

void PeerTable::addCandidate(const std::string &address, Time /*now*/)
{
    if (address != this->ownAddress && this->candidates.size() < maxCandidates) {
        this->candidates.try_emplace(address, Time{});
    }
}

void PeerTable::updateSilenceLimit(Time now)
{
    // Without news of others each peer has to be heard itself.
    const Duration unaided = timeoutFor(minPeerTimeout, this->reportPeriod, peerTimeoutPeriods);
    this->silenceLimit = unaided;
    if (this->reportsToAll()) {
        return;
    }
    std::vector<Duration> silences;
    silences.reserve(this->peers.size());
    for (const auto &[id, peer] : this->peers) {
        silences.push_back(now - peer.heardAt);
    }
    const auto median = silences.begin() + static_cast<std::ptrdiff_t>(silences.size() / 2);
    std::nth_element(silences.begin(), median, silences.end());
    const Duration minimum = minToldTimeout + toldTimeoutPerPeer * static_cast<Duration::rep>(this->peers.size());
    this->silenceLimit = std::clamp(silenceFactor * *median, std::min(minimum, unaided), unaided);
}

std::vector<InstanceId> PeerTable::expire(Time now)
{
    if (!this->reportsToAll() && now - this->expiryCheckedAt < expiryInterval) {
        return {};
    }
    this->expiryCheckedAt = now;
    this->updateSilenceLimit(now);
    std::vector<InstanceId> gone;
    for (const auto &[id, peer] : this->peers) {
        if (now - std::max(peer.heardAt, this->countedFrom) > this->silenceLimit) {
            gone.push_back(id);
        }
    }
    for (const InstanceId &id : gone) {
        const Peer &peer = this->peers.at(id);
        this->expired[id] = peer.heardAt;
        if (!peer.report.instance.leaving) {
            this->lost[peer.report.instance.peerAddress] = now;
        }
        this->remove(id);
    }
    std::erase_if(this->expired, [now](const auto &entry) {
        return now - entry.second > expiredRetention;
    });
    return gone;
}

void PeerTable::resetTimeouts(Time now)
{
    this->countedFrom = now;
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

void PeerTable::updateAddresses()
{
    if (!this->addressesOutdated) {
        return;
    }
    this->addressesOutdated = false;
    this->liveAddresses.clear();
    this->domainAddresses.clear();
    for (const auto &[id, peer] : this->peers) {
        const InstanceRecord &instance = peer.report.instance;
        this->liveAddresses.push_back(instance.peerAddress);
        if (instance.domain == this->ownDomain) {
            this->domainAddresses.push_back(instance.peerAddress);
        }
    }
}

std::vector<std::string> PeerTable::nextTargets(bool changed, Time now)
{
    if (!changed && this->reportsToAll()) {
        return {};
    }
    this->updateAddresses();
    const std::size_t count = this->reportsToAll() ? maxPeersForBroadcast : rotationTargets;
    std::vector<std::string> targets;
    addInRotation(this->liveAddresses, count, this->nextPeer, targets);
    if (changed) {
        addInRotation(this->domainAddresses, domainTargets, this->nextDomainPeer, targets);
    }
    for (auto &[address, triedAt] : this->candidates) {
        const bool isLive = this->byAddress.contains(address);
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
    while (!this->countedPeers.empty() && now - std::max(this->countedPeers.front()->receivedAt, this->countedFrom) > timeout) {
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

std::size_t PeerTable::otherCount() const
{
    return this->peers.size() + static_cast<std::size_t>(std::count_if(this->lost.begin(), this->lost.end(), [this](const auto &entry) {
               return !this->byAddress.contains(entry.first);
           }));
}

std::size_t PeerTable::heardCount(Time now) const
{
    return static_cast<std::size_t>(std::count_if(this->peers.begin(), this->peers.end(), [now](const auto &entry) {
        return now - entry.second.heardAt <= minPeerTimeout;
    }));
}

bool PeerTable::hearsMost(Time now) const
{
    return 2 * (this->heardCount(now) + 1) > this->otherCount() + 1;
}

bool PeerTable::hearsHalf(Time now) const
{
    return 2 * (this->heardCount(now) + 1) >= this->otherCount() + 1;
}

bool PeerTable::missesAny(Time now) const
{
    return this->heardCount(now) < this->otherCount();
}

void PeerTable::forgetLost(Time now)
{
    for (auto &[address, lostAt] : this->lost) {
        lostAt = lostAt == Time{} ? now : lostAt;
    }
    std::erase_if(this->lost, [now](const auto &entry) {
        return now - entry.second > expiredRetention;
    });
}

std::size_t PeerTable::liveCount() const
{
    return this->peers.size();
}

std::size_t PeerTable::countReports(const std::function<bool(const PeerReport &report)> &matches) const
{
    return static_cast<std::size_t>(std::count_if(this->peers.begin(), this->peers.end(), [&matches](const auto &entry) {
        return matches(entry.second.report);
    }));
}

bool PeerTable::hasServiceContactAfter(Time time) const
{
    return !this->peers.empty() && this->newest.serviceContact > time;
}

bool PeerTable::mayHaveServiceContactAfter(Time time, Time now) const
{
    return this->hasServiceContactAfter(time) || !this->hearsMost(now);
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
    return this->newest.serviceContact;
}

std::vector<PeerOffer> PeerTable::offersOfEndpoints(std::uint64_t digest, std::uint64_t revision) const
{
    if (this->newest.endpointRevision <= revision) {
        return {};
    }
    return this->offersWhere([digest, revision](const PeerReport &report) {
        return report.endpointRevision > revision && report.endpointDigest != digest;
    });
}

std::vector<PeerOffer> PeerTable::offersOfConfiguration(std::uint64_t version) const
{
    if (this->newest.configVersion <= version) {
        return {};
    }
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
    this->updateAddresses();
    // Random, because a rotation like that of the targets would send the same addresses to the same targets each time.
    std::vector<std::string> addresses;
    std::sample(this->liveAddresses.begin(), this->liveAddresses.end(), std::back_inserter(addresses), count, this->random);
    return addresses;
}

} // namespace oleandergate
