#ifndef OLEANDERGATE_DECISION_ROUTETABLE_H
#define OLEANDERGATE_DECISION_ROUTETABLE_H

#include "decision/route.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace oleandergate {

//! Returns \p host in lower case and without a port. Hosts that differ in these only are the same one.
std::string hostName(std::string_view host);

//! Finds the route of a request: the route for its host with the longest matching path prefix.
//!
//! A lookup computes one hash for each slash in the path, whatever the number of routes.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(const std::vector<Route> &routes);

    //! Returns the route for \p host, in any case and with or without a port, and \p path, without the query; nullptr when none matches.
    const Route *find(std::string_view host, std::string_view path) const;

    std::size_t size() const;

private:
    std::unordered_map<std::string, std::unordered_map<std::string, Route>> hosts;
    std::size_t count = 0;
};

//! Returns the target of \p route for requests with \p key. Equal keys get the same target as long as the weights do not change.
const RouteTarget &targetFor(const Route &route, std::string_view key);

//! The same for the targets of a route, of which there is at least one.
const RouteTarget &targetFor(const std::vector<RouteTarget> &targets, std::string_view key);

} // namespace oleandergate

#endif
