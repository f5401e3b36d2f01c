#ifndef OLEANDERGATE_RUNTIME_HTTPEXCHANGE_H
#define OLEANDERGATE_RUNTIME_HTTPEXCHANGE_H

#include "runtime/httpmessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace oleandergate {

//! Sends the response to one request.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    //! Sends a complete response. Returns false when the connection is broken.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    //! Sends the head of a response whose body follows in chunks. A caller that reads no chunks (HTTP/1.0) gets their content as it is, and the
    //! connection ends with the body: in order if the body was ended, by a reset if not. Returns false when the connection is broken.
    virtual boost::asio::awaitable<bool> startStream(HttpResponse head) = 0;

    //! Sends one chunk of the body. Returns false when the connection is broken.
    virtual boost::asio::awaitable<bool> sendChunk(std::string chunk) = 0;

    //! Ends the body. Returns false when the connection is broken.
    virtual boost::asio::awaitable<bool> endStream() = 0;

    //! Closes the connection after this response. A stream that was not ended stays visibly incomplete to the caller, and a
    //! request without a response gets none.
    virtual void closeAfterResponse() = 0;

    //! Closes the connection now, whatever is being sent. To be called on the thread that serves the connection.
    virtual void abandon() = 0;

    //! Calls \p onDisconnected once if the caller closes the connection before the response has ended.
    virtual void onCallerDisconnected(std::function<void()> onDisconnected) = 0;

    //! Returns whether the caller has closed the connection by now. onCallerDisconnected() may call a little later.
    virtual bool isCallerDisconnected() const = 0;
};

} // namespace oleandergate

#endif
