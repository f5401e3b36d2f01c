#ifndef OLEANDERGATE_RUNTIME_ADDRESS_H
#define OLEANDERGATE_RUNTIME_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>

namespace oleandergate {

//! Reads "IP:port". Names are not looked up.
std::optional<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &address);
std::optional<boost::asio::ip::udp::endpoint> parseUdpAddress(const std::string &address);

} // namespace oleandergate

#endif
