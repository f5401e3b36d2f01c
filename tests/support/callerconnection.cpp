#include "support/callerconnection.h"

#include "runtime/address.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <limits>
#include <sstream>

namespace oleandergate::support {

namespace asio = boost::asio;
namespace http = boost::beast::http;

CallerConnection::CallerConnection(const std::string &address)
    : socket(this->context)
{
    this->socket.connect(*parseTcpAddress(address));
    this->socket.set_option(asio::ip::tcp::no_delay(true));
}

bool CallerConnection::send(const std::string &bytes)
{
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer(bytes), error);
    return !error;
}

void CallerConnection::endSending()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

bool CallerConnection::receiveSome(int timeoutMs)
{
    pollfd ready{this->socket.native_handle(), POLLIN, 0};
    if (::poll(&ready, 1, timeoutMs) <= 0) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const ssize_t size = ::recv(this->socket.native_handle(), bytes.data(), bytes.size(), 0);
    if (size > 0) {
        this->received.append(bytes.data(), static_cast<std::size_t>(size));
    } else {
        this->ended = size == 0 ? ConnectionEnd::Closed : ConnectionEnd::Reset;
    }
    return size > 0;
}

void CallerConnection::receive(std::size_t responseCount, int timeoutMs)
{
    while (this->ended == ConnectionEnd::Open && this->responses().size() < responseCount && this->receiveSome(timeoutMs)) { }
}

void CallerConnection::receiveToEnd(int timeoutMs)
{
    this->receive(std::numeric_limits<std::size_t>::max(), timeoutMs);
}

void CallerConnection::limitUnreceived(int bytes)
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

std::vector<HttpResponse> CallerConnection::responses() const
{
    std::vector<HttpResponse> found;
    this->parse(found);
    return found;
}

std::size_t CallerConnection::incompleteBytes() const
{
    std::vector<HttpResponse> found;
    return this->received.size() - this->parse(found);
}

std::string CallerConnection::incompleteBody() const
{
    std::vector<HttpResponse> found;
    const std::size_t position = this->parse(found);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    boost::system::error_code ignored;
    parser.put(asio::buffer(this->received.data() + position, this->received.size() - position), ignored);
    return parser.get().body();
}

std::size_t CallerConnection::parse(std::vector<HttpResponse> &found) const
{
    std::size_t position = 0;
    while (position < this->received.size()) {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        boost::system::error_code error;
        parser.body_limit(boost::none);
        const std::size_t size = parser.put(asio::buffer(this->received.data() + position, this->received.size() - position), error);
        if (error || !parser.is_done()) {
            break;
        }
        position += size;
        HttpResponse response;
        response.status = static_cast<int>(parser.get().result_int());
        response.body = parser.get().body();
        for (const auto &field : parser.get()) {
            response.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
        }
        found.push_back(std::move(response));
    }
    return position;
}

ConnectionEnd CallerConnection::end() const
{
    return this->ended;
}

const std::string &CallerConnection::bytes() const
{
    return this->received;
}

std::string bodyChunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

} // namespace oleandergate::support
