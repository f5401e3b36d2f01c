#ifndef OLEANDERGATE_DECISION_MEMBERNEWS_H
#define OLEANDERGATE_DECISION_MEMBERNEWS_H

#include "decision/slottable.h"

#include <cstdint>
#include <set>
#include <vector>

namespace oleandergate {

//! What one instance knows of another and tells a third one.
struct MemberEntry
{
    InstanceRecord instance{};
    std::uint64_t number = 0; //!< Of the report in which the member stated this.
    Duration age{}; //!< Since the latest sign of life of the member.
    std::set<SlotId> ownedBudgetSlots{};
};

//! How long ago a member gave its latest sign of life.
struct MemberAge
{
    std::uint32_t member = 0; //!< Hash of the member's identifier.
    Duration age{};
};

//! Entries of members that are new or have changed, and the ages of all or many others.
struct MemberNews
{
    std::vector<MemberEntry> entries{};
    std::vector<MemberAge> ages{};
};

//! Returns the hash by which MemberAge refers to an instance.
std::uint32_t memberHash(const InstanceId &instance);

} // namespace oleandergate

#endif
