#ifndef OLEANDERGATE_RUNTIME_HTTPSERVER_H
#define OLEANDERGATE_RUNTIME_HTTPSERVER_H

#include "decision/error.h"
#include "runtime/httpexchange.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

//! Limits on requests and connections.
struct HttpLimits
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    Duration receiveTimeout = std::chrono::seconds(10); //!< Longest time to receive a request's header; the body has the same limit of its own.
    Duration idleTimeout = std::chrono::seconds(60); //!< Longest time between two requests of a connection.
    std::size_t maxConnections = 4096;
};

//! Handles one request. If it throws, the caller gets a response with status 500.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest request, HttpExchange &exchange)>;

//! Returns the response to a request that could not be read or whose handler failed.
using HttpErrorFormatter = std::function<HttpResponse(int status, const std::string &detail)>;

//! HTTP/1.1 server with persistent connections and graceful shutdown.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const HttpLimits &limits, HttpHandler handler, HttpErrorFormatter formatError);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Changes the limits from the next request on.
    void setLimits(const HttpLimits &limits);

    //! Continues to accept requests, but closes each connection after its next response.
    void disableKeepAlive();

    //! Closes connections on which no request is being handled.
    void closeIdleConnections();

    //! Binds \p address, an IP address and a port, and starts accepting connections.
    Result<void> start(const std::string &address);

    //! Stops accepting connections, closes idle ones and closes the others after their current response.
    void stop();

    //! Returns the number of requests being handled.
    std::size_t activeCount() const;

    //! State shared with running connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
