#ifndef OLEANDERGATE_WIRE_MEMBERREPORT_H
#define OLEANDERGATE_WIRE_MEMBERREPORT_H

#include "decision/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergate {

//! See MemberEntry.
struct ReportedMember
{
    InstanceId instance{};
    std::string address{}; //!< Peer address.
    std::string domain{}; //!< Failure domain.
    bool leaving = false;
    std::uint64_t number = 0;
    std::uint32_t age = 0; //!< Milliseconds.
    std::vector<std::uint8_t> ownedBudgetSlots{}; //!< As in LoadReport.
};

//! See MemberAge.
struct ReportedAge
{
    std::uint32_t member = 0;
    std::uint16_t age = 0; //!< In units of 10 ms.
};

//! What an instance knows of others, reported between instances over UDP beside load reports.
struct MemberReport
{
    std::vector<ReportedMember> members{};
    std::vector<ReportedAge> ages{};
};

} // namespace oleandergate

#endif
