#ifndef OLEANDERGATE_DECISION_ROUTETABLE_H
#define OLEANDERGATE_DECISION_ROUTETABLE_H

#include "decision/route.h"

#include <string_view>
#include <unordered_map>

namespace oleandergate {

//! Finds the route of a request: among those of its host, the one with the longest prefix of its path.
//!
//! A lookup costs one hash for each slash of the path, whatever the number of routes.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<Route> &routes);

    //! \p host may carry a port and any case; \p path comes without its query. Returns nullptr when nothing matches.
    const Route *find(std::string_view host, std::string_view path) const;

    std::size_t size() const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> hosts;
    std::size_t count = 0;
};

//! Returns the target of \p route for requests with \p key; the same key keeps its target while the weights stay.
const RouteTarget &targetFor(const Route &route, std::string_view key);

} // namespace oleandergate

#endif
