#include "decision/routetable.h"

#include "decision/hash.h"

#include <algorithm>
#include <cctype>

namespace oleandergate {

std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return name;
}

RouteTable::RouteTable(const std::vector<Route> &routes)
{
    for (const Route &route : routes) {
        this->hosts[hostName(route.host)][route.prefix] = route;
        this->count += 1;
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->hosts.find(hostName(host));
    if (prefixes == this->hosts.end()) {
        return nullptr;
    }
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = prefixes->second.find(std::string(path.substr(0, end + 1)));
        if (found != prefixes->second.end()) {
            return &found->second;
        }
    }
    return nullptr;
}

std::size_t RouteTable::size() const
{
    return this->count;
}

const RouteTarget &targetFor(const Route &route, std::string_view key)
{
    return targetFor(route.targets, key);
}

const RouteTarget &targetFor(const std::vector<RouteTarget> &targets, std::string_view key)
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : targets) {
        total += target.weight;
    }
    if (total == 0) {
        return targets.front();
    }
    std::uint64_t point = hashOf(key) % total;
    for (const RouteTarget &target : targets) {
        if (point < target.weight) {
            return target;
        }
        point -= target.weight;
    }
    return targets.back();
}

} // namespace oleandergate
