#include "runtime/address.h"

#include <charconv>

namespace oleandergate {

namespace {

struct HostAndPort
{
    boost::asio::ip::address host{};
    std::uint16_t port = 0;
};

std::optional<HostAndPort> splitHostAndPort(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    HostAndPort parts;
    const char *end = address.data() + address.size();
    const auto [parsedEnd, conversionError] = std::from_chars(address.data() + colon + 1, end, parts.port);
    boost::system::error_code error;
    parts.host = boost::asio::ip::make_address(address.substr(0, colon), error);
    if (conversionError != std::errc() || parsedEnd != end || error) {
        return std::nullopt;
    }
    return parts;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &address)
{
    const std::optional<HostAndPort> parts = splitHostAndPort(address);
    return parts ? std::optional(boost::asio::ip::tcp::endpoint(parts->host, parts->port)) : std::nullopt;
}

std::optional<boost::asio::ip::udp::endpoint> parseUdpAddress(const std::string &address)
{
    const std::optional<HostAndPort> parts = splitHostAndPort(address);
    return parts ? std::optional(boost::asio::ip::udp::endpoint(parts->host, parts->port)) : std::nullopt;
}

} // namespace oleandergate
