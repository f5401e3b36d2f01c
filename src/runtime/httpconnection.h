#ifndef OLEANDERGATE_RUNTIME_HTTPCONNECTION_H
#define OLEANDERGATE_RUNTIME_HTTPCONNECTION_H

#include "runtime/connectionphase.h"
#include "runtime/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace oleandergate {

class BeastExchange;
class ConnectionBudget;
class ConnectionPlace;
class DisconnectWatcher;
class HeldMemory;
class HttpConnection;
class MemoryBudget;

//! State that a server shares with its connections.
struct HttpServer::Core
{
    boost::asio::io_context &context;
    HttpLimits limits; //!< Guarded by the mutex.
    HttpHandler handler;
    HttpErrorFormatter formatError;
    HttpAdmission admission;
    MemoryBudget *memory = nullptr;
    ConnectionBudget *connectionBudget = nullptr;
    ConnectionKind kind = ConnectionKind::Caller;
    std::mutex mutex{};
    std::optional<boost::asio::ip::tcp::acceptor> acceptor{};
    std::atomic<bool> accepting{false}; //!< New connections are taken, or those that wait to be accepted are not all taken yet.
    std::atomic<bool> stopping{false};
    std::atomic<bool> keepAliveDisabled{false};
    std::atomic<bool> refusing{false};
    std::array<std::atomic<std::size_t>, connectionPhaseNames.size()> phaseCounts{};
    std::atomic<std::size_t> openConnections{0};
    std::atomic<std::size_t> rejectedConnections{0}; //!< Connections beyond the limit that are being answered.
    std::map<HttpConnection *, std::weak_ptr<HttpConnection>> connections{}; //!< Guarded by the mutex.

    HttpLimits currentLimits();
    ConnectionCounts counts() const;

    //! Calls \p action with each connection.
    void forEachConnection(const std::function<void(HttpConnection &)> &action);
};

//! One connection of a caller. Used on the executor of its socket, except where noted.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    //! \p place is that of the connection among those of the process; nullptr where these are not bounded.
    HttpConnection(std::shared_ptr<HttpServer::Core> core, boost::asio::ip::tcp::socket socket, std::unique_ptr<ConnectionPlace> place);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    //! Serves requests until the connection is closed.
    boost::asio::awaitable<void> serve();

    //! Refuses whatever arrives, as not run, and closes the connection.
    boost::asio::awaitable<void> reject(std::string detail);

    //! Closes the connection if nothing of a next request has arrived. Thread-safe.
    void closeIfIdle();

    //! Refuses the request that is arriving, if any. A read that has just completed goes on, so this may have to be repeated. Thread-safe.
    void refuseIfReceiving();

    //! Closes the connection, whatever is under way on it. Thread-safe.
    void drop();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void enter(ConnectionPhase next);

    //! Notes that something has happened on the connection, so that others are ended before it.
    void noteProgress();

    //! Ends the connection because its place is needed for another one, unless something has happened on it meanwhile. Thread-safe.
    void giveWay();

    //! Gives up the memory that the last request needed, before the next one is waited for.
    void shrinkBuffer();

    //! Returns whether bytes of a next request have arrived.
    bool hasInput();
    bool mayKeepAlive();

    //! Waits until the next request begins to arrive. Returns false when the connection was closed or stayed idle for \p timeout.
    boost::asio::awaitable<bool> waitForRequest(Duration timeout);

    //! Reads a request and answers it. Returns whether the connection serves another one.
    boost::asio::awaitable<bool> serveRequest(HttpLimits limits);
    boost::asio::awaitable<boost::beast::error_code> readRequest(Parser &parser, HeldMemory &held, Duration timeout);
    boost::asio::awaitable<boost::beast::error_code> readHead(Parser &parser, HeldMemory &held, Duration timeout);

    //! Reads as much of the request's body as has arrived.
    boost::asio::awaitable<boost::beast::error_code> readArrived(Parser &parser, HeldMemory &held, Time giveUpAt);
    boost::asio::awaitable<boost::beast::error_code> readBody(Parser &parser, HeldMemory &held, Duration timeout);

    //! Parses a part of what has arrived, and adds its bytes to \p parsedBytes. Returns whether more has to arrive before more can be parsed.
    bool parseSome(Parser &parser, std::size_t &parsedBytes, boost::beast::error_code &error);

    //! Parses what has arrived of the body.
    boost::asio::awaitable<boost::beast::error_code> parseBody(Parser &parser, HeldMemory &held, Time giveUpAt);

    //! Returns the memory that trailer fields may take, all of which are parsed at once, where what waits to be parsed may be such fields.
    std::size_t trailerMemory() const;

    //! Counts what the request holds, and refuses it when there is no room for it until \p giveUpAt.
    boost::asio::awaitable<void> holdRequest(const Parser &parser, HeldMemory &held, Time giveUpAt);

    //! Counts \p bytes for the request, and refuses it when there is no room for them until \p giveUpAt.
    boost::asio::awaitable<void> holdBytes(HeldMemory &held, std::size_t bytes, Time giveUpAt);

    //! Sees to it that the next part of the body has room, or refuses the request.
    boost::asio::awaitable<void> makeRoomForBody(Parser &parser, HeldMemory &held, Time giveUpAt);

    //! Gives back the memory of what has arrived and was not parsed.
    void dropInput();

    //! Refuses the request that is arriving, whatever else of it arrives.
    void endForMemory();

    //! Sets the refusal of the request that is arriving, as not run, unless it has one.
    void refuse(const char *detail);

    //! Ends a read, or a wait for room, that is under way.
    void stopReading();
    boost::asio::awaitable<void> handle(BeastExchange &exchange, HttpRequest request);

    //! Sends \p response, after which the connection closes.
    boost::asio::awaitable<void> sendLast(HttpResponse response);

    //! Closes the connection. The caller of a response that was just sent gets it even if it sends on.
    boost::asio::awaitable<void> close();

    std::shared_ptr<HttpServer::Core> core;
    boost::beast::tcp_stream stream;
    std::shared_ptr<DisconnectWatcher> watcher;
    boost::beast::flat_buffer buffer{};
    std::string peer;
    std::unique_ptr<ConnectionPlace> place;
    ConnectionPhase phase = ConnectionPhase::Idle;
    std::optional<HttpResponse> refusal{}; //!< Response to the request that is arriving, which is not read on.
    std::size_t maxHeaderBytes = 0;
    std::size_t parseStep = 0; //!< Bytes that are offered to the parser where these may be header fields.
    bool readsBody = true;
    HeldMemory *waitingForRoom = nullptr; //!< Set while it does not read, as what it would hold has no room.
    bool givesWay = false; //!< Ends for another connection.
    bool mustReset = false; //!< An end in order would be taken for the end of a response that has not ended.
    bool responseSent = false; //!< The caller may still have to receive the end of a response.
};

} // namespace oleandergate

#endif
