#include "runtime/signeddatagrams.h"

#include "runtime/address.h"
#include "runtime/backgroundtask.h"

#include <boost/asio.hpp>

#include <array>

namespace oleandergate {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);

//! Largest datagram accepted; larger ones would be fragmented on a usual network.
constexpr std::size_t maxDatagramBytes = 1400;

} // namespace

SignedDatagrams::SignedDatagrams(const asio::any_io_executor &executor, const MessageAuth &auth, std::string purpose)
    : socket(executor)
    , auth(auth)
    , purpose(std::move(purpose))
{
}

bool SignedDatagrams::start(const std::string &address, Handler handler)
{
    const std::optional<udp::endpoint> endpoint = parseUdpAddress(address);
    boost::system::error_code error = asio::error::invalid_argument;
    if (endpoint) {
        this->socket.open(endpoint->protocol(), error);
        this->socket.bind(*endpoint, error);
    }
    if (error) {
        boost::system::error_code ignored;
        this->socket.close(ignored);
        return false;
    }
    spawnLoop(this->socket.get_executor(), "datagrams", [this, handler = std::move(handler)]() {
        return this->receive(handler);
    });
    return true;
}

asio::awaitable<void> SignedDatagrams::send(std::string payload, std::vector<std::string> addresses)
{
    const std::string datagram = this->auth.macOf(this->purpose, payload) + payload;
    for (const std::string &address : addresses) {
        const std::optional<udp::endpoint> endpoint = parseUdpAddress(address);
        if (endpoint) {
            co_await this->socket.async_send_to(asio::buffer(datagram), *endpoint, useResult);
        }
    }
}

asio::awaitable<void> SignedDatagrams::receive(Handler handler)
{
    std::array<char, maxDatagramBytes> buffer{};
    while (true) {
        udp::endpoint sender;
        const auto [error, size] = co_await this->socket.async_receive_from(asio::buffer(buffer), sender, useResult);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error || size <= macSize) {
            continue;
        }
        const std::string_view datagram(buffer.data(), size);
        if (this->auth.verify(this->purpose, datagram.substr(macSize), datagram.substr(0, macSize))) {
            handler(std::string(datagram.substr(macSize)));
        }
    }
}

} // namespace oleandergate
