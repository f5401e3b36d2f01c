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

//! Bounds on what a caller may send.
struct HttpLimits
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024; //!< Bytes.
    std::size_t maxHeaderBytes = 16 * 1024; //!< Bytes.
    Duration receiveTimeout = std::chrono::seconds(10); //!< Longest time for a request's header, and again for its body, to arrive.
    Duration idleTimeout = std::chrono::seconds(60); //!< Longest silence between two requests of a connection.
    std::size_t maxConnections = 4096;
};

//! Answers one request. Exceptions become a response with status 500.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest request, HttpExchange &exchange)>;

//! Makes the response to a request that could not be read.
using HttpErrorFormatter = std::function<HttpResponse(int status, const std::string &detail)>;

//! HTTP/1.1 server with keep-alive and graceful stop.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const HttpLimits &limits, HttpHandler handler, HttpErrorFormatter formatError);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Replaces the bounds from the next request on.
    void setLimits(const HttpLimits &limits);

    //! Goes on accepting, but asks callers with each response to close their connection.
    void disableKeepAlive();

    //! Closes connections without a request under way.
    void closeIdleConnections();

    //! Binds \p address, an IP number and a port, and starts accepting.
    Result<void> start(const std::string &address);

    //! Stops accepting, closes idle connections and ends the others after their current response.
    void stop();

    //! Returns the number of requests being answered.
    std::size_t activeCount() const;

    //! State shared with running connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
