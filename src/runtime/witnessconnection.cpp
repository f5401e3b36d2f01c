#include "runtime/witnessconnection.h"

#include "runtime/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace oleandergate {

namespace asio = boost::asio;

struct WitnessConnection::State
{
    explicit State(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    bool isEstablished = false;
};

WitnessConnection::WitnessConnection(const asio::any_io_executor &executor, const std::string &address, Duration connectTimeout)
    : state(std::make_shared<State>(executor))
{
    const auto peer = parseTcpAddress(address);
    if (!peer) {
        return;
    }
    this->state->stream.expires_after(connectTimeout);
    this->state->stream.async_connect(*peer, [state = this->state](const boost::system::error_code &error) {
        state->isEstablished = !error;
        state->stream.expires_never();
    });
}

WitnessConnection::~WitnessConnection()
{
    this->state->stream.close();
}

bool WitnessConnection::hasEnded() const
{
    if (!this->state->isEstablished) {
        return false;
    }
    char probe = 0;
    boost::system::error_code error;
    asio::ip::tcp::socket &socket = this->state->stream.socket();
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

} // namespace oleandergate
