#ifndef OLEANDERGATE_RUNTIME_HTTPCLIENT_H
#define OLEANDERGATE_RUNTIME_HTTPCLIENT_H

#include "decision/error.h"
#include "runtime/httpmessage.h"

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

//! One request to send.
struct HttpCall
{
    std::string address{}; //!< IP number and port.
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpHeader> headers{};
    std::string body{};
    Duration connectTimeout = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(10); //!< Longest silence while the response arrives.
    std::size_t bodyLimit = 64 * 1024 * 1024; //!< Bytes.
    bool reuse = true; //!< Allow a kept connection. Off for requests that must not be sent twice.
    Duration maxIdleAge = std::chrono::seconds(60); //!< A kept connection that was idle for longer is not used.
    bool resendOnStale = true; //!< Send again when a kept connection turns out to be closed. Off for requests that must not be sent twice.
    std::optional<Time> deadline{}; //!< The response has to be complete by then.
    bool collectBody = true; //!< Collect the body; off for endless streams.
    std::function<void(int status, std::string_view chunk)> onBodyChunk{}; //!< Called as the body arrives.
    std::function<bool()> maySend{}; //!< Asked directly before the first byte; false gives the request up unsent.
    std::function<bool(const HttpResponse &head)> accepts{}; //!< False for a head that belongs to another request; that response is skipped.
    std::function<boost::asio::awaitable<bool>(const HttpResponse &head, std::string chunk)>
        forwardChunk{}; //!< Takes the body piece by piece; false stops the call.
    std::shared_ptr<Cancellation> cancellation{};
};

//! Why no whole response came.
struct HttpFailure
{
    Error error{};
    bool provablyNotSent = false; //!< No byte of the request was handed to the network.
    bool responseStarted = false;
    bool connectionRefused = false; //!< Nothing listens at the address.
    HttpResponse partial{}; //!< What had arrived.
};

using HttpOutcome = boost::outcome_v2::checked<HttpResponse, HttpFailure>;

//! HTTP/1.1 client that keeps connections. Safe to use from several threads.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Bounds the open connections to each address from now on.
    void limitConnections(std::size_t maxPerAddress);

    //! Returns how many connections were opened.
    std::uint64_t openedCount() const;

    //! Sends \p call. \p step names the step in errors.
    boost::asio::awaitable<HttpOutcome> send(HttpCall call, Step step);

    //! State shared with running connections.
    struct Core;

private:
    std::shared_ptr<Core> core;
};

} // namespace oleandergate

#endif
