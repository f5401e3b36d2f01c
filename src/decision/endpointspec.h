#ifndef OLEANDERGATE_DECISION_ENDPOINTSPEC_H
#define OLEANDERGATE_DECISION_ENDPOINTSPEC_H

#include "decision/ids.h"

#include <string>

namespace oleandergate {

//! One endpoint, as given by the instance list.
struct EndpointSpec
{
    EndpointId id{};
    std::string address{}; //!< IP number and port.
    std::string domain{}; //!< Failure domain.
    std::uint32_t slots = 8; //!< Number of calls that it processes concurrently.
    bool leaving = false; //!< Shutting down; gets no new calls.
    std::string version{}; //!< Version of its software, not of a model; empty when not known. What two versions write does not fit together.

    bool operator==(const EndpointSpec &) const = default;
};

} // namespace oleandergate

#endif
