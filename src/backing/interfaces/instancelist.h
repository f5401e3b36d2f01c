#ifndef OLEANDERGATE_BACKING_INTERFACES_INSTANCELIST_H
#define OLEANDERGATE_BACKING_INTERFACES_INSTANCELIST_H

#include "decision/endpointspec.h"
#include "decision/error.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace oleandergate {

//! The platform's list of live and leaving instances. It may be out of date.
class InstanceList
{
public:
    virtual ~InstanceList() = default;

    //! Returns the instances of \p service as endpoints. An Error with ServiceUnavailable means that the list could not be read.
    virtual boost::asio::awaitable<Result<std::vector<EndpointSpec>>> instancesOf(std::string service) = 0;
};

} // namespace oleandergate

#endif
