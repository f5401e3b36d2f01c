#ifndef OLEANDERGATE_DECISION_PERMITMEMBERS_H
#define OLEANDERGATE_DECISION_PERMITMEMBERS_H

#include "decision/slottable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! The instances that share rate limits, and which of them issues the permits of an endpoint. Not thread-safe.
class PermitMembers
{
public:
    explicit PermitMembers(InstanceRecord self);

    //! Sets the other live instances. To be called when they have changed.
    void update(const std::vector<InstanceRecord> &live, Time now);

    //! Returns the instance that issues the permits of \p endpoint, the hash of its identifier: rendezvous hashing over the instances of
    //! the endpoint's failure domain, whose calls mostly use it, or over all when there is none.
    const InstanceRecord &issuerOf(std::uint32_t endpoint, const std::string &domain) const;

    //! Returns the number of instances that are or lately were live at \p now, this one included.
    std::size_t knownCount(Time now) const;

    //! Returns the live part of the known instances: an issuer that lost contact to many of them leaves their part of a limit to them.
    double liveShare(Time now) const;

private:
    InstanceRecord self;
    std::vector<InstanceRecord> members; //!< The live instances, this one included.
    std::map<std::string, Time> leftAt; //!< When instances that are no longer live were lost, by peer address, as an instance that restarts keeps it.
};

} // namespace oleandergate

#endif
