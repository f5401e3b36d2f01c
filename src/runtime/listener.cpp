#include "runtime/listener.h"

namespace oleandergate {

namespace asio = boost::asio;

boost::system::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &endpoint, std::size_t receiveBufferBytes)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error && receiveBufferBytes > 0) {
        boost::system::error_code ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(receiveBufferBytes)), ignored);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace oleandergate
