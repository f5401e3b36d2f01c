#include "decision/tunnelpeers.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>

namespace oleandergate {

namespace {

//! A report of what an instance reaches counts for this long; it is repeated several times in this time.
constexpr Duration reportTimeout = std::chrono::milliseconds(1500);

//! How long an instance that did not answer is not asked again.
constexpr Duration unansweredExclusion = std::chrono::seconds(1);

//! Cost of an instance in another failure domain, in carried connections.
constexpr double remoteCost = 4.0;

//! Candidates of each kind that are compared. The best of a few random ones spreads the load although reports are old.
constexpr std::size_t sampleSize = 2;

} // namespace

TunnelPeers::TunnelPeers(std::string ownDomain, std::uint64_t seed)
    : ownDomain(std::move(ownDomain))
    , random(seed)
{
}

void TunnelPeers::setMembers(const std::vector<InstanceRecord> &live)
{
    std::unordered_set<std::string_view> present;
    for (const InstanceRecord &record : live) {
        present.insert(record.peerAddress);
        Member &member = this->members[record.peerAddress];
        if (member.record.id != record.id) {
            this->addresses.erase(member.record.id);
            this->addresses[record.id] = record.peerAddress;
            member = Member{};
        }
        member.record = record;
    }
    std::erase_if(this->members, [this, &present](const auto &entry) {
        const bool isGone = !present.contains(entry.first);
        if (isGone) {
            this->addresses.erase(entry.second.record.id);
        }
        return isGone;
    });
}

void TunnelPeers::onReport(const InstanceId &instance, PeerReach reach, Time now)
{
    const auto address = this->addresses.find(instance);
    if (address != this->addresses.end()) {
        Member &member = this->members.at(address->second);
        member.reach = std::move(reach);
        member.reportedAt = now;
    }
}

bool TunnelPeers::mayReach(const Member &member, std::uint32_t endpoint, Time now) const
{
    if (member.record.leaving || now < member.excludedUntil) {
        return false;
    }
    return now - member.reportedAt > reportTimeout || (!member.reach.isolated && !member.reach.cutOff.contains(endpoint));
}

double TunnelPeers::costOf(const Member &member) const
{
    return static_cast<double>(member.reach.carried) + static_cast<double>(member.ownTunnels) + (member.record.domain == this->ownDomain ? 0.0 : remoteCost);
}

std::optional<std::string> TunnelPeers::choose(std::uint32_t endpoint, const std::set<std::string> &tried, Time now)
{
    std::vector<const Member *> local;
    std::vector<const Member *> remote;
    for (const auto &[address, member] : this->members) {
        if (!tried.contains(address) && this->mayReach(member, endpoint, now)) {
            (member.record.domain == this->ownDomain ? local : remote).push_back(&member);
        }
    }
    std::vector<const Member *> sample;
    std::sample(local.begin(), local.end(), std::back_inserter(sample), sampleSize, this->random);
    std::sample(remote.begin(), remote.end(), std::back_inserter(sample), sampleSize, this->random);
    // Of equal ones the first is taken, and std::sample() keeps the order of the addresses.
    std::shuffle(sample.begin(), sample.end(), this->random);
    const auto best = std::min_element(sample.begin(), sample.end(), [this](const Member *left, const Member *right) {
        return this->costOf(*left) < this->costOf(*right);
    });
    return best == sample.end() ? std::nullopt : std::optional((*best)->record.peerAddress);
}

bool TunnelPeers::isUsable(const std::string &peerAddress) const
{
    const auto found = this->members.find(peerAddress);
    return found != this->members.end() && !found->second.record.leaving;
}

void TunnelPeers::onUnanswered(const std::string &peerAddress, Time now)
{
    const auto found = this->members.find(peerAddress);
    if (found != this->members.end()) {
        found->second.excludedUntil = now + unansweredExclusion;
    }
}

void TunnelPeers::onOpened(const std::string &peerAddress)
{
    const auto found = this->members.find(peerAddress);
    if (found != this->members.end()) {
        found->second.ownTunnels += 1;
    }
}

void TunnelPeers::onClosed(const std::string &peerAddress)
{
    const auto found = this->members.find(peerAddress);
    if (found != this->members.end() && found->second.ownTunnels > 0) {
        found->second.ownTunnels -= 1;
    }
}

} // namespace oleandergate
