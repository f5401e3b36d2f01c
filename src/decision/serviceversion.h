#ifndef OLEANDERGATE_DECISION_SERVICEVERSION_H
#define OLEANDERGATE_DECISION_SERVICEVERSION_H

#include <string>
#include <tuple>

namespace oleandergate {

//! The endpoints that run one software version of a service. They are taken to write their streams alike.
struct ServiceVersion
{
    std::string service{};
    std::string version{};

    bool operator<(const ServiceVersion &other) const
    {
        return std::tie(this->service, this->version) < std::tie(other.service, other.version);
    }
};

} // namespace oleandergate

#endif
