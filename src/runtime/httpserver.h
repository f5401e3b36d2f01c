#ifndef OLEANDERGATE_RUNTIME_HTTPSERVER_H
#define OLEANDERGATE_RUNTIME_HTTPSERVER_H

#include "decision/connectionkind.h"
#include "decision/error.h"
#include "decision/time.h"
#include "runtime/connectionphase.h"
#include "runtime/httpexchange.h"

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class ConnectionBudget;
class MemoryBudget;

//! Limits on requests and connections.
struct HttpLimits
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    Duration receiveTimeout = std::chrono::seconds(10); //!< Longest time to receive a request's header; the body has the same limit of its own.
    Duration idleTimeout = std::chrono::seconds(60); //!< Longest time between two requests of a connection.
    std::size_t maxConnections = 4096; //!< Of a server without a ConnectionBudget.
    bool readsBodies = true; //!< Off where the handler looks at no body: a request is answered behind its head, and one with a body ends its connection.
};

//! Handles one request. If it throws, the caller gets a response with status 500.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest request, HttpExchange &exchange)>;

//! Decides on a request of which only \p head has arrived. Returns the response that refuses it, or nothing to read it on.
using HttpAdmission = std::function<std::optional<HttpResponse>(HttpRequest head, Time now)>;

//! Returns the response to a request that could not be read or whose handler failed; status 503 to one that is refused unread, for lack of room or of time.
using HttpErrorFormatter = std::function<HttpResponse(int status, const std::string &detail)>;

//! HTTP/1.1 server with persistent connections and graceful shutdown.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context,
               const HttpLimits &limits,
               HttpHandler handler,
               HttpErrorFormatter formatError,
               HttpAdmission admission = HttpAdmission());
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    //! Changes the limits from the next request on.
    void setLimits(const HttpLimits &limits);

    //! Continues to accept requests, but closes each connection after its next response, unless another request has arrived behind that one.
    void disableKeepAlive();

    //! Shares the limits of the process: counts what requests hold in \p memory, and the connections in \p connections as those of \p kind. Both have to
    //! outlive this object. To be called before start().
    void shareLimits(MemoryBudget &memory, ConnectionBudget &connections, ConnectionKind kind);

    //! Binds \p address, an IP address and a port, and starts accepting connections.
    Result<void> start(const std::string &address);

    //! Stops accepting connections, after those that callers have opened already, and closes idle ones. Requests that have arrived or are arriving are
    //! still handled; each connection closes after them.
    void stop();

    //! Refuses requests that are still arriving or come later, with the response that the error formatter returns for status 503. To be repeated until
    //! the server is closed.
    void refuseArriving();

    //! Closes all connections, whatever is under way on them.
    void dropConnections();

    //! Returns the number of requests being handled.
    std::size_t activeCount() const;

    //! Returns the connections by phase. One that changes its phase meanwhile may be missing.
    ConnectionCounts connections() const;

    //! Returns true after stop() once no connection is left.
    bool isClosed() const;

    //! State shared with the connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
