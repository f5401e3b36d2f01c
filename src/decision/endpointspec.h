#ifndef OLEANDERGATE_DECISION_ENDPOINTSPEC_H
#define OLEANDERGATE_DECISION_ENDPOINTSPEC_H

#include "decision/ids.h"

#include <string>

namespace oleandergate {

//! One endpoint, as the instance list gives it.
struct EndpointSpec
{
    EndpointId id{};
    std::string address{}; //!< IP number and port.
    std::string domain{}; //!< Failure domain.
    std::uint32_t slots = 8; //!< Calls that it batches at once.
    bool leaving = false;

    bool operator==(const EndpointSpec &) const = default;
};

} // namespace oleandergate

#endif
