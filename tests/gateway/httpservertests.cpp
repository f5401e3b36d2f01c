//! The HTTP server in this process.

#include "runtime/errorresponse.h"
#include "runtime/httpserver.h"
#include "support/callerconnection.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int timeoutMs = 20000;
constexpr const char *request = "GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n";

boost::asio::awaitable<void> answer(HttpRequest /*received*/, HttpExchange &exchange)
{
    HttpResponse response = makeResponse(200, "text/plain", "answer");
    co_await exchange.respond(std::move(response));
}

//! A server on a thread of its own.
class RunningServer
{
public:
    explicit RunningServer(const HttpLimits &limits)
        : address(unusedAddress())
        , server(
              context,
              limits,
              [](HttpRequest received, HttpExchange &exchange) {
                  return answer(std::move(received), exchange);
              },
              unreadableRequestResponse)
    {
        REQUIRE(this->server.start(this->address));
        this->thread = std::jthread([this]() {
            this->context.run();
        });
    }

    ~RunningServer()
    {
        this->context.stop();
    }
    RunningServer(const RunningServer &) = delete;
    RunningServer &operator=(const RunningServer &) = delete;

    std::string address;
    boost::asio::io_context context{1};
    HttpServer server;
    std::jthread thread{};
};

} // namespace

// Guards against callers over the limit of connections that are dropped without a word: they cannot tell that their request did not run.
TEST_CASE("Server: a connection over the limit is told that its request did not run, and places that become free are used again")
{
    HttpLimits limits;
    limits.maxConnections = 2;
    RunningServer running(limits);
    CallerConnection third(running.address);
    {
        CallerConnection first(running.address);
        CallerConnection second(running.address);
        CHECK(first.send(request));
        first.receive(1, timeoutMs);
        REQUIRE(first.responses().size() == 1);
        CHECK(first.responses().front().status == 200);
        CHECK(third.send(request));
        CHECK(second.send(request));
        second.receiveToEnd(timeoutMs);
        REQUIRE(second.responses().size() == 1);
        CHECK(second.responses().front().status == 503);
        CHECK_FALSE(second.responses().front().header("Retry-After").empty());
        CHECK(second.end() == ConnectionEnd::Closed);
    }
    CHECK(waitFor(
        [&]() {
            return running.server.connections().total() == 1;
        },
        timeoutMs));
    CallerConnection fourth(running.address);
    CHECK(fourth.send(request));
    fourth.receive(1, timeoutMs);
    REQUIRE(fourth.responses().size() == 1);
    CHECK(fourth.responses().front().status == 200);
}

// Guards against a server that counts as closed while connections wait to be accepted or are still being answered.
TEST_CASE("Server: it is closed once all requests that have arrived are answered")
{
    RunningServer running(HttpLimits{});
    CallerConnection idle(running.address);
    CallerConnection arriving(running.address);
    CHECK(idle.send(request));
    idle.receive(1, timeoutMs);
    CHECK(arriving.send("GET /x HTTP/1.1\r\n"));
    REQUIRE(waitFor(
        [&]() {
            return running.server.connections().in(ConnectionPhase::Receiving) == 1;
        },
        timeoutMs));
    running.server.stop();
    idle.receiveToEnd(timeoutMs);
    CHECK(idle.end() == ConnectionEnd::Closed);
    CHECK_FALSE(running.server.isClosed());
    CHECK(arriving.send("Host: h.example\r\n\r\n"));
    arriving.receiveToEnd(timeoutMs);
    CHECK(arriving.responses().size() == 1);
    CHECK(arriving.end() == ConnectionEnd::Closed);
    CHECK(waitFor(
        [&]() {
            return running.server.isClosed();
        },
        timeoutMs));
}
