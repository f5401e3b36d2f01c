#ifndef OLEANDERGATE_WIRE_LOADREPORT_H
#define OLEANDERGATE_WIRE_LOADREPORT_H

#include "decision/ids.h"

#include <limits>
#include <string>
#include <vector>

namespace oleandergate {

//! Number of calls that an instance has under way at one endpoint.
struct EndpointLoad
{
    std::uint32_t endpoint = 0; //!< Hash of the endpoint's identifier.
    std::uint16_t calls = 0;
};

//! State that gateway instances report to each other over UDP, many times a second under load.
struct LoadReport
{
    InstanceId instance{};
    std::string address{}; //!< Peer address.
    std::string domain{}; //!< Failure domain.
    std::uint64_t number = 0; //!< Time of sending by the instance's clock, in microseconds; increases with each report of an instance.
    std::uint64_t configVersion = 0;
    std::uint64_t serviceContactAge = 0; //!< Microseconds since the instance last read configuration and endpoints from the key-value service.
    std::uint64_t endpointDigest = 0; //!< Hash over the endpoints that the instance knows.
    std::uint64_t endpointRevision = 0; //!< Revision of the key-value service that this knowledge reflects.
    bool leaving = false;
    std::vector<std::uint8_t> ownedBudgetSlots{}; //!< Bit set with one bit per budget slot; set if the instance owns the slot.
    std::vector<EndpointLoad> loads{};
    std::vector<std::string> peers{}; //!< Peer addresses of a few other instances.
    std::uint64_t serviceAvailableAge
        = std::numeric_limits<std::uint64_t>::max(); //!< Microseconds since when, without interruption, instances have had contact
                                                     //!< with the key-value service; the highest value if that is not known.
};

} // namespace oleandergate

#endif
