#include "decision/peertable.h"

#include "decision/hash.h"

#include <algorithm>
#include <iterator>

namespace oleandergate {

namespace {

//! A silent peer's load says nothing after this time or two rounds of reports: it was as likely to have ended.
constexpr Duration leastLoadLife = std::chrono::milliseconds(700);
constexpr double loadRounds = 2.0;

//! A peer that is silent for longer, or for so many rounds of reports, is taken to be gone. Reports come at least every
//! half second.
constexpr Duration leastPeerLife = std::chrono::milliseconds(1800);
constexpr double peerRounds = 3.5;

Duration longer(Duration least, Duration round, double rounds)
{
    return std::max(least, fromSeconds(toSeconds(round) * rounds));
}

//! How often an address that never answered is tried.
constexpr Duration tryStep = std::chrono::milliseconds(500);

//! Addresses remembered beyond the live peers.
constexpr std::size_t maxNamed = 64;

} // namespace

PeerTable::PeerTable(std::string ownAddress, std::vector<std::string> seeds)
    : ownAddress(std::move(ownAddress))
    , random(static_cast<std::minstd_rand::result_type>(hashOf(this->ownAddress)))
{
    for (const std::string &seed : seeds) {
        this->named[seed] = Time{};
    }
}

void PeerTable::setRound(Duration newRound)
{
    this->round = newRound;
}

std::size_t PeerTable::size() const
{
    return this->peers.size();
}

bool PeerTable::onHeard(const PeerNews &news, Time now)
{
    if (news.instance.peerAddress == this->ownAddress) {
        return false;
    }
    Known &known = this->peers[news.instance.id];
    if (known.heardAt != Time{} && news.number <= known.news.number) {
        return false;
    }
    known.news = news;
    known.heardAt = now;
    // A new process at an address means that the one before has ended.
    std::erase_if(this->peers, [&news](const auto &entry) {
        return entry.first != news.instance.id && entry.second.news.instance.peerAddress == news.instance.peerAddress;
    });
    this->onNamed(news.instance.peerAddress, now);
    return true;
}

void PeerTable::onNamed(const std::string &address, Time /*now*/)
{
    if (address != this->ownAddress && this->named.size() < maxNamed) {
        this->named.try_emplace(address, Time{});
    }
}

std::vector<InstanceId> PeerTable::expire(Time now)
{
    std::vector<InstanceId> gone;
    for (const auto &[id, known] : this->peers) {
        if (now - known.heardAt > longer(leastPeerLife, this->round, peerRounds)) {
            gone.push_back(id);
        }
    }
    for (const InstanceId &id : gone) {
        this->peers.erase(id);
    }
    return gone;
}

void PeerTable::forgiveSilence(Time now)
{
    for (auto &[id, known] : this->peers) {
        known.heardAt = now;
    }
}

std::vector<std::string> PeerTable::nextTargets(std::size_t count, Time now)
{
    std::vector<std::string> targets;
    std::vector<std::string> alive;
    for (const auto &[id, known] : this->peers) {
        alive.push_back(known.news.instance.peerAddress);
    }
    for (std::size_t taken = 0; taken < std::min(count, alive.size()); ++taken) {
        targets.push_back(alive[this->turn++ % alive.size()]);
    }
    for (auto &[address, triedAt] : this->named) {
        const bool isAlive = std::find(alive.begin(), alive.end(), address) != alive.end();
        if (!isAlive && now - triedAt >= tryStep && address != this->ownAddress) {
            triedAt = now;
            targets.push_back(address);
        }
    }
    return targets;
}

std::map<std::uint32_t, std::uint32_t> PeerTable::loads(Time now) const
{
    std::map<std::uint32_t, std::uint32_t> total;
    for (const auto &[id, known] : this->peers) {
        if (now - known.heardAt > longer(leastLoadLife, this->round, loadRounds)) {
            continue;
        }
        for (const auto &[endpoint, calls] : known.news.loads) {
            total[endpoint] += calls;
        }
    }
    return total;
}

std::vector<InstanceRecord> PeerTable::live() const
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, known] : this->peers) {
        records.push_back(known.news.instance);
    }
    return records;
}

std::vector<PeerNews> PeerTable::liveNews() const
{
    std::vector<PeerNews> found;
    for (const auto &[id, known] : this->peers) {
        found.push_back(known.news);
    }
    return found;
}

bool PeerTable::reachedServiceAfter(Time time) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [time](const auto &entry) {
        return entry.second.news.serviceReached > time;
    });
}

std::map<SlotId, std::string> PeerTable::keepers() const
{
    std::map<SlotId, std::string> addresses;
    for (const auto &[id, known] : this->peers) {
        for (const SlotId slot : known.news.keptSlots) {
            addresses[slot] = known.news.instance.peerAddress;
        }
    }
    return addresses;
}

Time PeerTable::latestServiceReading() const
{
    Time latest{};
    for (const auto &[id, known] : this->peers) {
        latest = std::max(latest, known.news.serviceReached);
    }
    return latest;
}

std::string PeerTable::bestInformed(std::uint64_t revision) const
{
    std::string address;
    for (const auto &[id, known] : this->peers) {
        if (known.news.endpointRevision > revision) {
            revision = known.news.endpointRevision;
            address = known.news.instance.peerAddress;
        }
    }
    return address;
}

bool PeerTable::knowsOtherEndpoints(std::uint64_t digest, std::uint64_t revision) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [digest, revision](const auto &entry) {
        return entry.second.news.endpointRevision > revision && entry.second.news.endpointDigest != digest;
    });
}

std::vector<std::string> PeerTable::sample(std::size_t count)
{
    std::vector<std::string> alive;
    for (const auto &[id, known] : this->peers) {
        alive.push_back(known.news.instance.peerAddress);
    }
    // By chance, since names that go round the peers as the targets do would meet the same targets each time.
    std::vector<std::string> addresses;
    std::sample(alive.begin(), alive.end(), std::back_inserter(addresses), count, this->random);
    return addresses;
}

} // namespace oleandergate
