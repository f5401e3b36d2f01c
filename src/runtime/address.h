#ifndef OLEANDERGATE_RUNTIME_ADDRESS_H
#define OLEANDERGATE_RUNTIME_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>

namespace oleandergate {

//! Parses \p address, an IP address and a port such as "127.0.0.1:8080". Host names are not resolved. Returns nothing when
//! \p address is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &address);

//! As parseTcpAddress(), for UDP.
std::optional<boost::asio::ip::udp::endpoint> parseUdpAddress(const std::string &address);

} // namespace oleandergate

#endif
