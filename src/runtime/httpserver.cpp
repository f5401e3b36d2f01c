#include "runtime/httpserver.h"

#include "runtime/address.h"
#include "runtime/asyncsignal.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <map>
#include <mutex>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds writeTimeout{30};

void copyHeaders(const std::vector<HttpHeader> &headers, http::fields &fields)
{
    for (const HttpHeader &header : headers) {
        fields.insert(header.name, header.value);
    }
}

} // namespace

struct HttpServer::Core
{
    asio::io_context &context;
    HttpLimits limits;
    HttpHandler handler;
    HttpRefusal refusal;
    std::mutex mutex{};
    std::optional<tcp::acceptor> acceptor{};
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> active{0};
    std::atomic<std::size_t> open{0};
    std::uint64_t nextSession = 1;
    std::map<std::uint64_t, std::function<void()>> closeIfIdle{};
};

namespace {

template <typename Stream>
class BeastExchange : public HttpExchange
{
public:
    BeastExchange(Stream &stream, bool keepAlive)
        : stream(stream)
        , keepAlive(keepAlive)
    {
    }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
        message.set(http::field::content_type, response.contentType);
        copyHeaders(response.headers, message);
        message.keep_alive(this->keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        this->responded = true;
        this->stream.expires_after(writeTimeout);
        const auto [error, size] = co_await http::async_write(this->stream, message, useResult);
        this->healthy = !error;
        co_return this->healthy;
    }

    asio::awaitable<bool> startStream(HttpResponse head) override
    {
        http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
        message.set(http::field::content_type, head.contentType);
        copyHeaders(head.headers, message);
        message.keep_alive(this->keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        this->responded = true;
        this->stream.expires_after(writeTimeout);
        const auto [error, size] = co_await http::async_write_header(this->stream, serializer, useResult);
        this->healthy = !error;
        co_return this->healthy;
    }

    asio::awaitable<bool> sendPiece(std::string piece) override
    {
        if (!this->healthy) {
            co_return false;
        }
        this->stream.expires_after(writeTimeout);
        const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk(asio::buffer(piece)), useResult);
        this->healthy = !error;
        co_return this->healthy;
    }

    asio::awaitable<bool> endStream() override
    {
        if (!this->healthy) {
            co_return false;
        }
        this->stream.expires_after(writeTimeout);
        const auto [error, size] = co_await asio::async_write(this->stream, http::make_chunk_last(), useResult);
        this->healthy = !error;
        co_return this->healthy;
    }

    bool responded = false;
    bool healthy = true;

private:
    Stream &stream;
    bool keepAlive;
};

HttpRequest toRequest(http::request<http::string_body> &&message, const std::string &peer)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.peer = peer;
    for (const auto &field : message) {
        request.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

int statusOfReadError(const beast::error_code &error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == beast::error::timeout) {
        return 408;
    }
    const bool closed = error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::operation_aborted;
    return closed ? 0 : 400;
}

asio::awaitable<void> answer(HttpServer::Core &core, beast::tcp_stream &stream, HttpRequest request, bool &keepAlive)
{
    BeastExchange<beast::tcp_stream> exchange(stream, keepAlive);
    std::string failure;
    core.active += 1;
    try {
        co_await core.handler(std::move(request), exchange);
    } catch (const std::exception &error) {
        failure = error.what();
    }
    if (!exchange.responded) {
        HttpResponse response = core.refusal(500, failure.empty() ? "no response" : failure);
        co_await exchange.respond(std::move(response));
    }
    core.active -= 1;
    keepAlive = keepAlive && exchange.healthy && failure.empty();
}

asio::awaitable<void> serveRequests(HttpServer::Core &core, beast::tcp_stream &stream, std::atomic<bool> &idle, std::string peer)
{
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive && !core.stopping) {
        idle = true;
        if (buffer.size() == 0) {
            stream.expires_after(core.limits.idle);
            char probe = 0;
            const auto [waitError, waitSize] = co_await stream.socket().async_receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, useResult);
            if (waitError || waitSize == 0) {
                co_return;
            }
        }
        idle = false;
        http::request_parser<http::string_body> parser;
        parser.body_limit(core.limits.body);
        parser.header_limit(static_cast<std::uint32_t>(core.limits.header));
        stream.expires_after(core.limits.receive);
        const auto [error, size] = co_await http::async_read(stream, buffer, parser, useResult);
        if (error) {
            const int status = statusOfReadError(error);
            if (status != 0) {
                BeastExchange<beast::tcp_stream> exchange(stream, false);
                HttpResponse response = core.refusal(status, error.message());
                co_await exchange.respond(std::move(response));
            }
            co_return;
        }
        keepAlive = parser.get().keep_alive() && !core.stopping;
        stream.expires_never();
        HttpRequest request = toRequest(parser.release(), peer);
        co_await answer(core, stream, std::move(request), keepAlive);
    }
}

asio::awaitable<void> serveConnection(std::shared_ptr<HttpServer::Core> core, tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const tcp::endpoint remote = socket.remote_endpoint(ignored);
    const std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    auto idle = std::make_shared<std::atomic<bool>>(false);
    std::uint64_t session = 0;
    {
        const std::lock_guard lock(core->mutex);
        session = core->nextSession++;
        core->closeIfIdle[session] = [stream, idle]() {
            asio::post(stream->get_executor(), [stream, idle]() {
                if (*idle) {
                    stream->close();
                }
            });
        };
    }
    core->open += 1;
    co_await serveRequests(*core, *stream, *idle, peer);
    core->open -= 1;
    stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream->close();
    const std::lock_guard lock(core->mutex);
    core->closeIfIdle.erase(session);
}

asio::awaitable<void> acceptConnections(std::shared_ptr<HttpServer::Core> core)
{
    while (!core->stopping) {
        const auto strand = asio::make_strand(core->context);
        auto [error, socket] = co_await core->acceptor->async_accept(strand, useResult);
        if (core->stopping) {
            co_return;
        }
        if (error) {
            co_await sleepFor(std::chrono::milliseconds(20));
            continue;
        }
        if (core->open >= core->limits.connections) {
            continue;
        }
        asio::co_spawn(strand, serveConnection(core, std::move(socket)), asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const HttpLimits &limits, HttpHandler handler, HttpRefusal refusal)
    : core(new Core{context, limits, std::move(handler), std::move(refusal)})
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

Result<void> HttpServer::start(const std::string &address)
{
    const auto failed = [&address](const std::string &detail) {
        return Error{ErrorCode::Internal, Step::InstanceStart, address, Ran::No, std::nullopt, detail};
    };
    const std::optional<tcp::endpoint> endpoint = parseTcpAddress(address);
    if (!endpoint) {
        return failed("not an IP number and a port");
    }
    beast::error_code error;
    tcp::acceptor acceptor(asio::make_strand(this->core->context));
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failed(error.message());
    }
    this->core->acceptor.emplace(std::move(acceptor));
    asio::co_spawn(this->core->acceptor->get_executor(), acceptConnections(this->core), asio::detached);
    return boost::outcome_v2::success();
}

void HttpServer::stop()
{
    if (this->core->stopping.exchange(true) || !this->core->acceptor) {
        return;
    }
    asio::post(this->core->acceptor->get_executor(), [core = this->core]() {
        beast::error_code ignored;
        core->acceptor->close(ignored);
    });
    const std::lock_guard lock(this->core->mutex);
    for (const auto &[session, close] : this->core->closeIfIdle) {
        close();
    }
}

std::size_t HttpServer::activeCount() const
{
    return this->core->active;
}

} // namespace oleandergate
