#include "runtime/httpclient.h"

#include "runtime/address.h"
#include "runtime/cancellation.h"
#include "runtime/connectionpool.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);

//! A connection with its own strand, on which all its operations run.
struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream(asio::make_strand(context))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{};
    bool used = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;

} // namespace

struct HttpClient::Core
{
    asio::io_context &context;
    ConnectionPool<Connection> kept{};

    ConnectionPointer take(const std::string &address, bool reuse)
    {
        ConnectionPointer connection = reuse ? this->kept.take(address) : nullptr;
        return connection ? connection : std::make_shared<Connection>(this->context);
    }
};

namespace {

HttpFailure failure(ErrorCode code, Step step, const HttpCall &call, bool notSent, const std::string &detail)
{
    HttpFailure result;
    result.error = Error{code, step, call.address, notSent ? Ran::No : Ran::Unknown, std::nullopt, detail};
    result.provablyNotSent = notSent;
    return result;
}

ErrorCode codeOf(const beast::error_code &error)
{
    return error == beast::error::timeout ? ErrorCode::Timeout : ErrorCode::EndpointFailed;
}

HttpResponse toResponse(const http::response<http::string_body> &message)
{
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.contentType = std::string(message[http::field::content_type]);
    response.body = message.body();
    for (const auto &field : message) {
        response.headers.push_back(HttpHeader{std::string(field.name_string()), std::string(field.value())});
    }
    return response;
}

http::request<http::string_body> toMessage(const HttpCall &call)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(call.method);
    message.target(call.target);
    message.set(http::field::host, call.address);
    for (const HttpHeader &header : call.headers) {
        message.set(header.name, header.value);
    }
    message.keep_alive(true);
    message.body() = call.body;
    message.prepare_payload();
    return message;
}

asio::awaitable<HttpOutcome> receive(HttpClient::Core &core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(call.bodyLimit);
    std::size_t passed = 0;
    while (!parser.is_done()) {
        connection->stream.expires_after(call.idleTimeout);
        const auto [error, size] = co_await http::async_read_some(connection->stream, connection->buffer, parser, useResult);
        if (parser.is_header_done() && call.onPiece) {
            std::string &body = parser.get().body();
            if (body.size() > passed) {
                call.onPiece(static_cast<int>(parser.get().result_int()), std::string_view(body).substr(passed));
            }
            if (!call.keepBody) {
                body.clear();
            }
            passed = body.size();
        }
        if (error && error != http::error::need_buffer) {
            const ErrorCode code = error == http::error::body_limit ? ErrorCode::EndpointGarbled : codeOf(error);
            HttpFailure result = failure(code, step, call, false, error.message());
            result.responseStarted = parser.is_header_done();
            if (result.responseStarted) {
                result.partial = toResponse(parser.get());
            }
            co_return result;
        }
    }
    connection->stream.expires_never();
    if (parser.get().keep_alive()) {
        connection->used = true;
        core.kept.keep(call.address, connection);
    }
    co_return toResponse(parser.get());
}

asio::awaitable<HttpOutcome> exchange(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    if (!connection->used) {
        const std::optional<tcp::endpoint> endpoint = parseTcpAddress(call.address);
        if (!endpoint) {
            co_return failure(ErrorCode::NoEndpoint, step, call, true, "not an IP number and a port");
        }
        connection->stream.expires_after(call.connectTimeout);
        const auto [error] = co_await connection->stream.async_connect(*endpoint, useResult);
        if (error) {
            co_return failure(codeOf(error), step, call, true, "connect: " + error.message());
        }
        beast::error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    if (call.cancellation && call.cancellation->isCancelled()) {
        co_return failure(ErrorCode::Cancelled, step, call, true, "cancelled before it was sent");
    }
    const http::request<http::string_body> message = toMessage(call);
    if (call.maySend && !call.maySend()) {
        co_return failure(ErrorCode::Cancelled, step, call, true, "no longer to be sent");
    }
    connection->stream.expires_after(call.idleTimeout);
    const auto [error, size] = co_await http::async_write(connection->stream, message, useResult);
    if (error) {
        co_return failure(codeOf(error), step, call, false, "write: " + error.message());
    }
    co_return co_await receive(*core, connection, call, step);
}

asio::awaitable<std::optional<HttpOutcome>>
exchangeCancellable(std::shared_ptr<HttpClient::Core> core, ConnectionPointer connection, const HttpCall &call, Step step)
{
    if (call.cancellation) {
        call.cancellation->setHook([connection]() {
            asio::post(connection->stream.get_executor(), [connection]() {
                connection->stream.close();
            });
        });
    }
    HttpOutcome outcome = co_await exchange(core, connection, call, step);
    if (call.cancellation) {
        call.cancellation->setHook({});
        if (!outcome && call.cancellation->isCancelled()) {
            outcome.error().error.code = ErrorCode::Cancelled;
        }
    }
    co_return outcome;
}

} // namespace

HttpClient::HttpClient(asio::io_context &context)
    : core(new Core{context})
{
}

HttpClient::~HttpClient()
{
    this->core->kept.clear();
}

asio::awaitable<HttpOutcome> HttpClient::send(HttpCall call, Step step)
{
    const std::shared_ptr<Core> shared = this->core;
    ConnectionPointer connection = shared->take(call.address, call.reuse);
    const bool kept = connection->used;
    std::optional<HttpOutcome> first
        = co_await asio::co_spawn(connection->stream.get_executor(), exchangeCancellable(shared, connection, call, step), asio::use_awaitable);
    HttpOutcome outcome = std::move(*first);
    const bool cancelled = call.cancellation && call.cancellation->isCancelled();
    if (outcome || !kept || cancelled || outcome.error().responseStarted || outcome.error().error.code == ErrorCode::Timeout) {
        co_return outcome;
    }
    // The peer may have closed the kept connection meanwhile; the request may be repeated, or it would not have used one.
    connection = std::make_shared<Connection>(shared->context);
    std::optional<HttpOutcome> second
        = co_await asio::co_spawn(connection->stream.get_executor(), exchangeCancellable(shared, connection, call, step), asio::use_awaitable);
    co_return std::move(*second);
}

} // namespace oleandergate
