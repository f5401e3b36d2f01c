#ifndef OLEANDERGATE_RUNTIME_HTTPEXCHANGE_H
#define OLEANDERGATE_RUNTIME_HTTPEXCHANGE_H

#include "runtime/httpmessage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string_view>

namespace oleandergate {

//! The answering side of one request.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    //! Sends a whole response. Returns false when the caller is gone.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    //! Sends the head of a response whose body follows in pieces.
    virtual boost::asio::awaitable<bool> startStream(HttpResponse head) = 0;

    //! Sends one piece of the body.
    virtual boost::asio::awaitable<bool> sendChunk(std::string chunk) = 0;

    //! Ends the body.
    virtual boost::asio::awaitable<bool> endStream() = 0;

    //! Closes the connection after this response. A stream that is not ended stays visibly incomplete, and a request
    //! that was not answered stays so.
    virtual void closeAfterResponse() = 0;

    //! Calls \p onDisconnected once if the caller closes the connection before the response has ended.
    virtual void onCallerDisconnected(std::function<void()> onDisconnected) = 0;
};

} // namespace oleandergate

#endif
