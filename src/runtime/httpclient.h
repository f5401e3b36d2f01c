#ifndef OLEANDERGATE_RUNTIME_HTTPCLIENT_H
#define OLEANDERGATE_RUNTIME_HTTPCLIENT_H

#include "decision/connectionkind.h"
#include "decision/error.h"
#include "runtime/httpmessage.h"
#include "runtime/interfaces/dialer.h"
#include "runtime/listening.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class Cancellation;
class ConnectionBudget;

//! A request to send, with its timeouts and callbacks.
struct HttpCall
{
    std::string address{}; //!< IP address and port.
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers{};
    std::string body{};
    std::string_view bodyInPlace{}; //!< Sent instead of the body if that is empty; has to stay valid until the call has ended.
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(10); //!< Longest time to send the request, and longest silence while the response arrives.
    std::size_t maxBodyBytes = 64 * 1024 * 1024; //!< Largest response body, in bytes.
    bool reuse = true; //!< Use an idle connection if there is one. Off for requests that must not be sent twice.
    Duration maxIdleAge = std::chrono::seconds(60); //!< Idle connections are reused only up to this age.
    bool resendOnStale = true; //!< Send again when a reused connection fails. Off for requests that must not be sent twice.
    bool isRepeatable = false; //!< The caller can send the request again when its connection is given up.
    std::optional<Time> deadline{}; //!< Time by which the response has to be complete.
    bool mayEndWithConnection = false; //!< Accept a response with neither a length nor chunks, which cannot be told from a cut one.
    bool collectBody = true; //!< Keep the whole body for the returned response. Off for endless streams.
    std::function<void(int status, std::string_view chunk)> onBodyChunk{}; //!< Called with each part of the body as it arrives.
    std::function<bool()> maySend{}; //!< Called just before the request is written; if it returns false, the request is not sent.
    std::function<bool(const HttpResponse &head)> accepts{}; //!< Returns false for the head of a response to another request, which is then skipped.
    std::function<bool(const HttpResponse &response)>
        isUnique{}; //!< Set where responses name no request. Returns whether no other response equals the given one; only behind such a one does the connection
                    //!< stay in use, and a response that equals an earlier one on its connection is a failure.
    std::function<Duration(const HttpResponse &response)>
        lookBehind{}; //!< Returns how long to wait for bytes behind a complete response, which belong to no request, before it is returned.
    std::function<void(const std::string &bytes)> onLateBytes{}; //!< Called with bytes that have arrived behind a complete response when its connection was to
                                                                 //!< be used again. May be called after the call.
    std::function<boost::asio::awaitable<bool>(const HttpResponse &head, std::string chunk)>
        forwardChunk{}; //!< Consumes the body chunk by chunk instead of collecting it; returning false stops the call.
    std::function<void(const ConnectionPath &path, bool wasUsed)>
        onConnection{}; //!< Called with the way of the connection that the request is sent on, and whether that carried requests before.
    std::function<boost::asio::awaitable<bool>(std::size_t bytes)>
        mayHold{}; //!< Called with the number of bytes that the connection and the response hold, before more is read. Returning false stops the call.
    std::shared_ptr<Cancellation> cancellation{};
    std::shared_ptr<Cancellation> abort{}; //!< Breaks this call's connection, as its peer might.
};

//! Why there is no complete response.
struct HttpFailure
{
    Error error{};
    bool provablyNotSent = false; //!< No byte of the request was written to a socket.
    bool responseStarted = false; //!< The head of the response has arrived.
    bool connectionRefused = false; //!< No process listens at the address.
    bool noConnectionLeft = false; //!< The process had no connection left for the call in time.
    bool connectionLost = false; //!< The connection was given up because its way to the address is taken to be cut off.
    HttpResponse partial{}; //!< The part of the response that has arrived.
};

using HttpOutcome = boost::outcome_v2::checked<HttpResponse, HttpFailure>;

//! HTTP/1.1 client with persistent connections, which reads over interim responses. Thread-safe.
class HttpClient
{
public:
    //! Connects straight to each address. \p receiveBufferBytes bounds what arrives on a connection before it is read, in bytes; 0 for what the system allows.
    explicit HttpClient(boost::asio::io_context &context, std::size_t receiveBufferBytes = 0);

    //! Connects by \p dialer, which has to outlive this object.
    HttpClient(boost::asio::io_context &context, Dialer &dialer);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Limits the open connections to each address from now on. Calls beyond the limit fail with ErrorCode::Overloaded.
    void limitConnections(std::size_t maxPerAddress);

    //! Counts the open connections in \p budget as those of \p kind from now on. Calls beyond its limit wait for a connection, at most for their time to
    //! connect, and then fail with ErrorCode::Overloaded. The budget has to outlive this object and its calls.
    void shareLimits(ConnectionBudget &budget, ConnectionKind kind);

    //! Returns how many connections have been opened so far.
    std::uint64_t openedCount() const;

    //! Sends \p call and waits for the response. \p step is the step that errors report.
    boost::asio::awaitable<HttpOutcome> send(HttpCall call, Step step);

    //! Opens a connection to \p address within \p timeout and keeps it for the next call. Returns whether a process listens there. A connection that does not
    //! last for \p settleTime is opened once more.
    boost::asio::awaitable<Listening> probe(std::string address, Duration timeout, Duration settleTime = Duration::zero());

    //! Gives up the calls that may be repeated, have received nothing for \p silence, and use connections that the dialer would not reuse. They fail
    //! with HttpFailure::connectionLost. Returns the addresses of direct connections with calls that have received nothing for so long.
    std::vector<std::string> giveUpLostCalls(Duration silence, Time now);

    //! Closes idle connections that the dialer would not reuse.
    void dropLostIdle(Time now);

    //! State shared with running connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
