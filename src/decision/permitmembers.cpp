#include "decision/permitmembers.h"

#include "decision/hash.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

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
    std::unordered_set<std::string_view> present{this->self.peerAddress};
    for (const InstanceRecord &member : live) {
        present.insert(member.peerAddress);
    }
    for (const InstanceRecord &member : this->members) {
        if (!present.contains(member.peerAddress)) {
            this->leftAt.try_emplace(member.peerAddress, now);
        }
    }
    std::erase_if(this->leftAt, [now, &present](const auto &entry) {
        return now - entry.second > memberMemory || present.contains(entry.first);
    });
    this->members = live;
    this->members.push_back(this->self);
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
