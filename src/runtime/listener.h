#ifndef OLEANDERGATE_RUNTIME_LISTENER_H
#define OLEANDERGATE_RUNTIME_LISTENER_H

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>

namespace oleandergate {

//! Makes \p acceptor listen on \p endpoint. Bounds what arrives on a connection before it is read to \p receiveBufferBytes, unless that is 0: connections
//! inherit it, and it cannot be changed for one that is open.
boost::system::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor, const boost::asio::ip::tcp::endpoint &endpoint, std::size_t receiveBufferBytes);

} // namespace oleandergate

#endif
