#ifndef OLEANDERGATE_WIRE_LOADREPORT_H
#define OLEANDERGATE_WIRE_LOADREPORT_H

#include "decision/ids.h"

#include <string>
#include <vector>

namespace oleandergate {

//! Calls that an instance has at one endpoint.
struct EndpointLoad
{
    std::uint32_t endpoint = 0; //!< Hash of the endpoint's identifier.
    std::uint16_t calls = 0;
};

//! What instances tell each other over UDP, many times a second under load.
struct LoadReport
{
    InstanceId instance{};
    std::string address{}; //!< Peer address.
    std::string domain{};
    std::uint64_t number = 0; //!< Grows with each report of an instance.
    std::uint64_t configVersion = 0;
    std::uint64_t serviceContactAge = 0; //!< Microseconds since it read configuration and endpoints from the key-value service.
    std::uint64_t endpointDigest = 0; //!< Hash over the endpoints it knows.
    std::uint64_t endpointRevision = 0; //!< Revision of the key-value service up to which it knows them.
    bool leaving = false;
    std::vector<std::uint8_t> ownedBudgetSlots{}; //!< One bit a slot whose programs' budgets the instance keeps.
    std::vector<EndpointLoad> loads{};
    std::vector<std::string> peers{}; //!< Addresses of a few other instances.
};

} // namespace oleandergate

#endif
