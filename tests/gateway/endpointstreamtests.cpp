//! The bytes of a tunnel, as the client of an endpoint reads them.

#include "runtime/address.h"
#include "runtime/endpointstream.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

struct ReadResult
{
    std::string bytes{};
    beast::error_code end{};
};

std::string chunkOf(const std::string &bytes)
{
    std::string chunk(tunnelLengthBytes, '\0');
    chunk[0] = static_cast<char>(bytes.size());
    return chunk + bytes;
}

//! Reads all that a peer sends as \p written, in \p pieceBytes at a time, before it closes the connection.
ReadResult readTunnel(const std::string &written, std::size_t pieceBytes)
{
    asio::io_context context;
    const tcp::endpoint address = *parseTcpAddress(unusedAddress());
    tcp::acceptor acceptor(context, address);
    std::thread peer([&]() {
        tcp::socket socket(context);
        acceptor.accept(socket);
        socket.set_option(tcp::no_delay(true));
        for (std::size_t at = 0; at < written.size(); at += pieceBytes) {
            asio::write(socket, asio::buffer(written.substr(at, pieceBytes)));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    });
    auto connected = std::make_unique<beast::tcp_stream>(context);
    connected->connect(address);
    EndpointStream stream(std::move(connected), true);
    ReadResult result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            std::array<char, 3> buffer{};
            while (!result.end) {
                const auto [error, size] = co_await stream.async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
                result.bytes.append(buffer.data(), size);
                result.end = error;
            }
        },
        asio::detached);
    context.run();
    peer.join();
    return result;
}

} // namespace

// Guards against an answer that its connection ends looking whole because the instance that carried it ended.
TEST_CASE("A tunnel ends in order only with its last chunk, wherever the bytes end")
{
    const std::string whole = chunkOf("hello") + chunkOf(" ") + chunkOf("world") + chunkOf("");
    for (const std::size_t pieceBytes : {std::size_t{1}, std::size_t{4}, std::size_t{100}}) {
        CAPTURE(pieceBytes);
        const ReadResult result = readTunnel(whole, pieceBytes);
        CHECK(result.bytes == "hello world");
        CHECK(result.end == asio::error::eof);
    }
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CAPTURE(length);
        const ReadResult result = readTunnel(whole.substr(0, length), whole.size());
        CHECK(std::string("hello world").starts_with(result.bytes));
        CHECK(result.end == asio::error::connection_reset);
    }
}
