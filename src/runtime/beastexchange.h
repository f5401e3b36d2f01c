#ifndef OLEANDERGATE_RUNTIME_BEASTEXCHANGE_H
#define OLEANDERGATE_RUNTIME_BEASTEXCHANGE_H

#include "runtime/httpexchange.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace oleandergate {

//! Detects that the peer closes a connection while a request is handled and nothing is read. Unread bytes do not hide it.
class DisconnectWatcher : public std::enable_shared_from_this<DisconnectWatcher>
{
public:
    explicit DisconnectWatcher(boost::beast::tcp_stream &stream);

    void setHook(std::function<void()> newHook);
    void clearHook();

    //! Returns whether the peer has closed the connection or its sending side.
    bool isDisconnected() const;

private:
    void wait();
    void waitBehindInput();
    void checkConnection();

    boost::beast::tcp_stream &stream;
    boost::asio::steady_timer timer;
    std::function<void()> hook{};
    bool waiting = false;
};

//! Response to one request of a connection.
class BeastExchange : public HttpExchange
{
public:
    //! \p mayKeepAlive is asked when a response begins: it returns whether the connection may serve another request after it. \p callerReadsChunks is
    //! false for callers with HTTP/1.0.
    BeastExchange(boost::beast::tcp_stream &stream, std::shared_ptr<DisconnectWatcher> watcher, std::function<bool()> mayKeepAlive, bool callerReadsChunks);
    ~BeastExchange() override;
    BeastExchange(const BeastExchange &) = delete;
    BeastExchange &operator=(const BeastExchange &) = delete;

    boost::asio::awaitable<bool> respond(HttpResponse response) override;
    boost::asio::awaitable<bool> startStream(HttpResponse head) override;
    boost::asio::awaitable<bool> sendChunk(std::string chunk) override;
    boost::asio::awaitable<bool> endStream() override;
    void closeAfterResponse() override;
    void abandon() override;
    void onCallerDisconnected(std::function<void()> onDisconnected) override;
    bool isCallerDisconnected() const override;

    //! Returns whether the response is complete and the connection serves another request.
    bool keepsAlive() const;

    //! Returns whether bytes of a response were sent and the connection is not known to be broken.
    bool hasSentResponse() const;

    //! Returns whether the end of the connection would be taken for the end of a body that has not ended, so that the connection has to be reset.
    bool needsReset() const;

    bool responseStarted = false;
    bool responseOptional = false;

private:
    void decideKeepAlive();

    //! Sets whether the connection is reset when it closes, also when it closes because this process ends.
    void resetOnClose(bool reset);

    boost::beast::tcp_stream &stream;
    std::shared_ptr<DisconnectWatcher> watcher;
    std::function<bool()> mayKeepAlive;
    bool callerReadsChunks = true;
    bool endsWithConnection = false; //!< The response is a stream whose end is that of the connection.
    bool keepAlive = true;
    bool healthy = true;
    bool responseComplete = false;
};

} // namespace oleandergate

#endif
