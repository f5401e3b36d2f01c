#ifndef OLEANDERGATE_WIRE_VERSIONMESSAGES_H
#define OLEANDERGATE_WIRE_VERSIONMESSAGES_H

#include "decision/ids.h"
#include "decision/toldstreams.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace oleandergate {

//! Queries the records of software versions that the instance knows. Answered by one VersionRecordsReply.
struct VersionRecordsQuery
{
};

//! A record as the key-value service holds it.
struct HandedVersionRecord
{
    std::string key{};
    std::string value{};
    std::uint64_t revision = 0;
};

struct VersionRecordsReply
{
    bool isKnown = false; //!< No for an instance that has neither read the records nor received them.
    std::uint64_t revision = 0; //!< Revision of the key-value service that the records reflect.
    std::vector<HandedVersionRecord> records{};
    std::uint64_t confirmedAge = std::numeric_limits<std::uint64_t>::max(); //!< As in AssignmentReport.
};

//! Queries where a stream began, of an instance that may have begun it or may reach the key-value service. Answered by one StreamOriginReply.
struct StreamOriginQuery
{
    RequestId attempt{}; //!< That brought its first event; empty if it is not known.
    RequestFingerprint request = 0;
};

struct StreamOriginReply
{
    std::vector<StreamOrigin> origins{}; //!< The different ones that the instance knows: several if attempts of the request began at several.
};

} // namespace oleandergate

#endif
