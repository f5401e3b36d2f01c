#include "decision/permitmembers.h"

#include "decision/hash.h"

#include <algorithm>

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
    for (const InstanceRecord &member : this->members) {
        this->leftAt.try_emplace(member.peerAddress, now);
    }
    this->members = live;
    this->members.push_back(this->self);
    for (const InstanceRecord &member : this->members) {
        this->leftAt.erase(member.peerAddress);
    }
    std::erase_if(this->leftAt, [now](const auto &entry) {
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

std::size_t PermitMembers::knownCount(Time now) const
{
    const auto lost = std::count_if(this->leftAt.begin(), this->leftAt.end(), [now](const auto &entry) {
        return now - entry.second <= memberMemory;
    });
    return this->members.size() + static_cast<std::size_t>(lost);
}

double PermitMembers::liveShare(Time now) const
{
    return static_cast<double>(this->members.size()) / static_cast<double>(this->knownCount(now));
}

} // namespace oleandergate
