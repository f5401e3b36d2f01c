#include "runtime/httpserver.h"

#include "runtime/address.h"
#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"
#include "runtime/connectionbudget.h"
#include "runtime/httpconnection.h"
#include "runtime/listener.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds acceptRetryDelay{20};

//! Connections beyond the limit that are answered at a time; further ones are closed at once.
constexpr std::size_t maxRejectedConnections = 64;

asio::awaitable<void> serveConnection(std::shared_ptr<HttpConnection> connection)
{
    co_await connection->serve();
}

asio::awaitable<void> rejectConnection(std::shared_ptr<HttpServer::Core> core, std::shared_ptr<HttpConnection> connection)
{
    co_await connection->reject("too many connections");
    core->rejectedConnections -= 1;
}

//! \p place is that of the connection; nullptr if there is none, or if the connections of the process are not bounded.
void startConnection(const std::shared_ptr<HttpServer::Core> &core, tcp::socket socket, std::unique_ptr<ConnectionPlace> place)
{
    const auto executor = socket.get_executor();
    bool hasRoom = false;
    if (core->connectionBudget == nullptr) {
        hasRoom = core->openConnections - core->rejectedConnections < core->currentLimits().maxConnections;
        if (!hasRoom && core->rejectedConnections >= maxRejectedConnections) {
            return;
        }
    } else if (!place) {
        return;
    } else {
        hasRoom = !place->isTurnedAway();
    }
    auto connection = std::make_shared<HttpConnection>(core, std::move(socket), std::move(place));
    if (hasRoom) {
        asio::co_spawn(executor, serveConnection(std::move(connection)), asio::detached);
    } else {
        core->rejectedConnections += 1;
        asio::co_spawn(executor, rejectConnection(core, std::move(connection)), asio::detached);
    }
}

//! Accepts the connections that callers have already opened: closing the acceptor would reset them.
void acceptOpened(const std::shared_ptr<HttpServer::Core> &core)
{
    boost::system::error_code error;
    core->acceptor->non_blocking(true, error);
    while (!error) {
        tcp::socket socket(asio::make_strand(core->context));
        core->acceptor->accept(socket, error);
        if (!error) {
            startConnection(core, std::move(socket), core->connectionBudget == nullptr ? nullptr : core->connectionBudget->open(core->kind));
        }
    }
}

asio::awaitable<void> acceptConnections(std::shared_ptr<HttpServer::Core> core)
{
    while (!core->stopping) {
        const auto strand = asio::make_strand(core->context);
        auto [error, socket] = co_await core->acceptor->async_accept(strand, useResult);
        if (error) {
            if (!core->stopping) {
                co_await sleepFor(acceptRetryDelay);
            }
            continue;
        }
        std::unique_ptr<ConnectionPlace> place;
        if (core->connectionBudget != nullptr) {
            place = co_await core->connectionBudget->openInTime(core->kind);
        }
        startConnection(core, std::move(socket), std::move(place));
    }
    acceptOpened(core);
    boost::system::error_code ignored;
    core->acceptor->close(ignored);
    core->accepting = false;
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, const HttpLimits &limits, HttpHandler handler, HttpErrorFormatter formatError, HttpAdmission admission)
    : core(new Core{context, limits, std::move(handler), std::move(formatError), std::move(admission)})
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

void HttpServer::shareLimits(MemoryBudget &memory, ConnectionBudget &connections, ConnectionKind kind)
{
    this->core->memory = &memory;
    this->core->connectionBudget = &connections;
    this->core->kind = kind;
}

Result<void> HttpServer::start(const std::string &address)
{
    const auto failed = [&address](const std::string &detail) {
        return Error{ErrorCode::Internal, Step::InstanceStart, address, Executed::No, std::nullopt, detail};
    };
    const std::optional<tcp::endpoint> endpoint = parseTcpAddress(address);
    if (!endpoint) {
        return failed("the address is not an IP address and a port");
    }
    tcp::acceptor acceptor(asio::make_strand(this->core->context));
    const boost::system::error_code error = listenOn(acceptor, *endpoint, this->core->connectionBudget == nullptr ? 0 : receiveBufferBytes);
    if (error) {
        return failed(error.message());
    }
    this->core->acceptor.emplace(std::move(acceptor));
    this->core->accepting = true;
    spawnLoop(this->core->acceptor->get_executor(), "callers", [core = this->core]() {
        return acceptConnections(core);
    });
    return boost::outcome_v2::success();
}

void HttpServer::stop()
{
    if (this->core->stopping.exchange(true) || !this->core->acceptor) {
        return;
    }
    asio::post(this->core->acceptor->get_executor(), [core = this->core]() {
        boost::system::error_code ignored;
        core->acceptor->cancel(ignored);
    });
    this->core->forEachConnection([](HttpConnection &connection) {
        connection.closeIfIdle();
    });
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    const std::lock_guard lock(this->core->mutex);
    this->core->limits = limits;
}

void HttpServer::disableKeepAlive()
{
    this->core->keepAliveDisabled = true;
}

void HttpServer::refuseArriving()
{
    this->core->refusing = true;
    this->core->forEachConnection([](HttpConnection &connection) {
        connection.refuseIfReceiving();
    });
}

void HttpServer::dropConnections()
{
    this->core->forEachConnection([](HttpConnection &connection) {
        connection.drop();
    });
}

std::size_t HttpServer::activeCount() const
{
    return this->core->counts().in(ConnectionPhase::Handling);
}

ConnectionCounts HttpServer::connections() const
{
    return this->core->counts();
}

bool HttpServer::isClosed() const
{
    return !this->core->accepting && this->core->openConnections == 0;
}

} // namespace oleandergate
