#include "decision/permitmembers.h"

#include "decision/hash.h"

namespace oleandergate {

namespace {

//! An instance that has not been live for this long has ended, or has long shared the limits with those that it still reaches.
constexpr Duration memberMemory = std::chrono::seconds(10);

} // namespace

PermitMembers::PermitMembers(InstanceRecord self)
    : self(std::move(self))
    , members{this->self}
{
}

void PermitMembers::update(const std::vector<InstanceRecord> &live, Time now)
{
    this->members = live;
    this->members.push_back(this->self);
    for (const InstanceRecord &member : this->members) {
        this->lastSeen[member.peerAddress] = now;
    }
    std::erase_if(this->lastSeen, [now](const auto &entry) {
        return now - entry.second > memberMemory;
    });
}

const InstanceRecord &PermitMembers::issuerOf(std::uint32_t endpoint, const std::string &domain) const
{
    const InstanceRecord *best = &this->self;
    std::pair<int, std::uint64_t> bestRank{-1, 0};
    for (const InstanceRecord &member : this->members) {
        const int preference = (member.leaving ? 0 : 2) + (member.domain == domain ? 1 : 0);
        const std::pair<int, std::uint64_t> rank{preference, hashOf(member.id, endpoint)};
        if (rank > bestRank) {
            best = &member;
            bestRank = rank;
        }
    }
    return *best;
}

std::size_t PermitMembers::knownCount() const
{
    return std::max(this->lastSeen.size(), this->members.size());
}

double PermitMembers::liveShare() const
{
    return static_cast<double>(this->members.size()) / static_cast<double>(this->knownCount());
}

} // namespace oleandergate
