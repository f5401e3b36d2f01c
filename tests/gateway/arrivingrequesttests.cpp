//! Requests that arrive, and answers that leave, while a gateway process stops.

#include "gatewaycluster.h"
#include "support/callerconnection.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int timeoutMs = 20000;
constexpr const char *firstPart = "first part, ";
constexpr const char *secondPart = "second part";

//! The load balancer knows of a stop by then.
constexpr std::chrono::milliseconds balancerLag{3000};

struct StoppingGateway : GatewayCluster
{
    StoppingGateway()
        : GatewayCluster(1, 1)
    {
        REQUIRE(this->startServing());
        REQUIRE(this->call(0, "GET", "/reads/1")->status == 200);
    }

    std::string head(const std::string &method, const std::string &target, const std::string &fields)
    {
        return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: a" + std::to_string(++this->requests) + "\r\n" + fields
            + "\r\n";
    }

    std::string read()
    {
        return this->head("GET", "/reads/1", "Oleandergate-Deadline-Ms: 1000\r\n");
    }

    //! Returns the head of an order whose body follows in chunks.
    std::string orderHead(int limitMs)
    {
        return this->head("POST", "/orders/1", "Transfer-Encoding: chunked\r\nOleandergate-Deadline-Ms: " + std::to_string(limitMs) + "\r\n");
    }

    int requests = 0;
};

bool isRefusal(const HttpResponse &response)
{
    return response.status == 503 && !response.header("Retry-After").empty() && response.header("Connection") == "close";
}

} // namespace

// Guards against a process that ends while the body of a request arrives: the caller's connection was reset without an answer.
TEST_CASE("Arriving: a request whose body arrives while the balancer learns of a stop is read to its end and answered")
{
    StoppingGateway cluster;
    CallerConnection caller(cluster.callerAddress(0));
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(balancerLag - std::chrono::milliseconds(500));
    const std::size_t received = cluster.receivedCount();
    REQUIRE(caller.send(cluster.orderHead(2000) + bodyChunk(firstPart)));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    CHECK(caller.send(bodyChunk(secondPart) + bodyChunk("")));
    caller.receiveToEnd(timeoutMs);
    REQUIRE(caller.responses().size() == 1);
    CHECK(caller.responses().front().status == 200);
    CHECK(caller.end() == ConnectionEnd::Closed);
    REQUIRE(cluster.receivedCount() == received + 1);
    CHECK(cluster.endpoints[0]->received().back().request.body == std::string(firstPart) + secondPart);
    CHECK(cluster.gateways[0].wait() == 0);
    CHECK(cluster.log(0).find("\"receiving\":\"1\"") != std::string::npos);
}

// Guards against callers that are left without an answer, as their request had not arrived completely when the time for the stop was over.
TEST_CASE("Arriving: a request that has not arrived when the time for a stop is over is refused as not run")
{
    StoppingGateway cluster;
    constexpr int graceSeconds = 2;
    cluster.setGrace(0, graceSeconds);
    CallerConnection caller(cluster.callerAddress(0));
    const std::size_t received = cluster.receivedCount();
    cluster.gateways[0].signal(SIGTERM);
    REQUIRE(caller.send(cluster.orderHead(500) + bodyChunk(firstPart)));
    constexpr int chunks = 8;
    for (int sent = 0; sent < chunks; ++sent) {
        caller.receive(1, 200);
        caller.send(bodyChunk(firstPart));
    }
    caller.receiveToEnd(timeoutMs);
    REQUIRE(caller.responses().size() == 1);
    CHECK(isRefusal(caller.responses().front()));
    CHECK(cluster.receivedCount() == received);
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against callers that send a whole body only to learn that it was known from the head that the request could not be served.
TEST_CASE("Arriving: a request that could not complete before the end of a stop is refused before its body has arrived")
{
    StoppingGateway cluster;
    CallerConnection keepsBusy(cluster.callerAddress(0));
    CallerConnection caller(cluster.callerAddress(0));
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(balancerLag - std::chrono::milliseconds(300));
    REQUIRE(keepsBusy.send(cluster.orderHead(1000) + bodyChunk(firstPart)));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    REQUIRE(caller.send(cluster.orderHead(6000) + bodyChunk(firstPart)));
    caller.receive(1, 1000);
    REQUIRE(caller.responses().size() == 1);
    CHECK(isRefusal(caller.responses().front()));
    keepsBusy.send(bodyChunk(""));
    keepsBusy.receiveToEnd(timeoutMs);
    REQUIRE(keepsBusy.responses().size() == 1);
    CHECK(keepsBusy.responses().front().status == 200);
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against the second of two requests that were sent at once being dropped, as the answer to the first one closed the connection.
TEST_CASE("Arriving: requests that were sent at once on a connection are all answered during a stop")
{
    StoppingGateway cluster;
    CallerConnection caller(cluster.callerAddress(0));
    cluster.gateways[0].signal(SIGTERM);
    REQUIRE(cluster.logHas(0, "\"message\":\"draining\""));
    REQUIRE(caller.send(cluster.read() + cluster.read() + cluster.read()));
    caller.receiveToEnd(timeoutMs);
    const std::vector<HttpResponse> answers = caller.responses();
    REQUIRE(answers.size() == 3);
    for (const HttpResponse &answer : answers) {
        CHECK(answer.status == 200);
    }
    CHECK(answers.back().header("Connection") == "close");
    CHECK(caller.end() == ConnectionEnd::Closed);
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against a request that is dropped without an answer, as the one before it was refused by its head although all of it had arrived.
TEST_CASE("Arriving: requests that were sent at once behind one that could not complete before the end of a stop are answered")
{
    StoppingGateway cluster;
    CallerConnection keepsBusy(cluster.callerAddress(0));
    CallerConnection caller(cluster.callerAddress(0));
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(balancerLag - std::chrono::milliseconds(300));
    REQUIRE(keepsBusy.send(cluster.orderHead(1000) + bodyChunk(firstPart)));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    // More than a first read from the connection returns.
    constexpr std::size_t bodyBytes = 3000;
    REQUIRE(caller.send(cluster.orderHead(6000) + bodyChunk(std::string(bodyBytes, 'x')) + bodyChunk("") + cluster.read()));
    caller.receiveToEnd(timeoutMs);
    const std::vector<HttpResponse> answers = caller.responses();
    REQUIRE(answers.size() == 2);
    CHECK(answers.front().status == 503);
    CHECK(answers.back().status == 200);
    CHECK(answers.back().header("Connection") == "close");
    keepsBusy.send(bodyChunk(""));
    keepsBusy.receiveToEnd(timeoutMs);
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against requests that have arrived and were not read yet being reset when idle connections are closed.
TEST_CASE("Arriving: requests that wait unread when a stopping process closes idle connections are answered")
{
    StoppingGateway cluster;
    constexpr std::size_t callerCount = 48;
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<CallerConnection>(cluster.callerAddress(0)));
        REQUIRE(callers.back()->send(cluster.read()));
        callers.back()->receive(1, timeoutMs);
        REQUIRE(callers.back()->responses().size() == 1);
    }
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(balancerLag - std::chrono::milliseconds(200));
    cluster.gateways[0].suspend();
    for (const std::unique_ptr<CallerConnection> &caller : callers) {
        REQUIRE(caller->send(cluster.read()));
    }
    // These wait to be accepted.
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<CallerConnection>(cluster.callerAddress(0)));
        REQUIRE(callers.back()->send(cluster.read()));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    cluster.gateways[0].signal(SIGCONT);
    std::size_t answered = 0;
    for (const std::unique_ptr<CallerConnection> &caller : callers) {
        caller->receiveToEnd(timeoutMs);
        const std::vector<HttpResponse> answers = caller->responses();
        answered += !answers.empty() && answers.back().header("Connection") == "close" ? 1 : 0;
    }
    CHECK(answered == callers.size());
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against a process that was held up near the end of its stop and then exits without the last answers, although it has time for them.
TEST_CASE("Arriving: a process that is held up at the end of its stop still sends its last answers")
{
    StoppingGateway cluster;
    constexpr int graceSeconds = 2;
    cluster.setGrace(0, graceSeconds);
    constexpr std::size_t callerCount = 8;
    cluster.endpoints[0]->setNextBehaviours(std::vector<Behaviour>(callerCount, Behaviour::Slow));
    const std::size_t received = cluster.receivedCount();
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(std::make_unique<CallerConnection>(cluster.callerAddress(0)));
        REQUIRE(callers.back()->send(cluster.orderHead(8000) + bodyChunk("")));
    }
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedCount() == received + callerCount;
        },
        timeoutMs));
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1550));
    cluster.gateways[0].suspend();
    std::this_thread::sleep_for(std::chrono::milliseconds(350));
    cluster.gateways[0].signal(SIGCONT);
    for (const std::unique_ptr<CallerConnection> &caller : callers) {
        caller->receiveToEnd(timeoutMs);
        const std::vector<HttpResponse> answers = caller->responses();
        REQUIRE(answers.size() == 1);
        CHECK(answers.front().status == 502);
    }
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against an answer that is lost because the caller had sent more than was read: the connection was reset behind the answer.
TEST_CASE("Arriving: an answer arrives whole although more than its request was sent on the connection")
{
    StoppingGateway cluster;
    CallerConnection caller(cluster.callerAddress(0));
    constexpr std::size_t unreadBytes = 256UL * 1024;
    REQUIRE(caller.send(cluster.head("GET", "/reads/1", "Connection: close\r\n") + std::string(unreadBytes, 'x')));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    caller.receiveToEnd(timeoutMs);
    REQUIRE(caller.responses().size() == 1);
    CHECK(caller.responses().front().status == 200);
    CHECK(caller.end() == ConnectionEnd::Closed);
}

// Guards against a stop that waits for another instance which hangs: requests that arrive are cut when the process is killed.
TEST_CASE("Arriving: a stop beside an instance that stands still answers what arrives and ends in time")
{
    GatewayCluster cluster(2, 1);
    REQUIRE(cluster.startServing());
    constexpr int programCount = 40;
    for (int number = 0; number < programCount; ++number) {
        // Budgets that the stopping instance has to hand over.
        cluster.turn(0, "p" + std::to_string(number), 1000);
    }
    constexpr int graceSeconds = 2;
    cluster.setGrace(0, graceSeconds);
    CallerConnection caller(cluster.callerAddress(0));
    cluster.gateways[1].suspend();
    cluster.gateways[0].signal(SIGTERM);
    const auto stoppedAt = std::chrono::steady_clock::now();
    REQUIRE(
        caller.send("POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n" + bodyChunk(firstPart)));
    caller.receiveToEnd(timeoutMs);
    REQUIRE(caller.responses().size() == 1);
    CHECK(isRefusal(caller.responses().front()));
    CHECK(cluster.gateways[0].wait() == 0);
    // The platform kills the process then.
    CHECK(std::chrono::steady_clock::now() - stoppedAt < std::chrono::seconds(graceSeconds));
    cluster.gateways[1].signal(SIGCONT);
}

// Guards against a process that is ended by a signal after its stop, as requests that are still under way outlive what they use.
TEST_CASE("Arriving: a process whose callers do not receive their answers ends its stop in order")
{
    constexpr int stops = 4;
    for (int stop = 0; stop < stops; ++stop) {
        StoppingGateway cluster;
        constexpr int graceSeconds = 2;
        cluster.setGrace(0, graceSeconds);
        constexpr std::size_t callerCount = 6;
        const std::size_t received = cluster.receivedCount();
        std::vector<std::unique_ptr<CallerConnection>> callers;
        for (std::size_t number = 0; number < callerCount; ++number) {
            callers.push_back(std::make_unique<CallerConnection>(cluster.callerAddress(0)));
            callers.back()->limitUnreceived(4096);
            REQUIRE(callers.back()->send(cluster.head("GET", "/reads/1?work_ms=10&bytes=6000000", "")));
        }
        REQUIRE(waitFor(
            [&]() {
                return cluster.receivedCount() == received + callerCount;
            },
            timeoutMs));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        cluster.gateways[0].signal(SIGTERM);
        CHECK(cluster.gateways[0].wait() == 0);
    }
}

// Guards against requests that are dropped without an answer behind one that is cut off when the time for the stop is over.
TEST_CASE("Arriving: a request that lies behind one that is cut off at the end of a stop is refused as not run")
{
    StoppingGateway cluster;
    constexpr int graceSeconds = 2;
    cluster.setGrace(0, graceSeconds);
    CallerConnection caller(cluster.callerAddress(0));
    const std::size_t received = cluster.receivedCount();
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Slow});
    const std::string withBody = cluster.orderHead(8000) + bodyChunk(firstPart) + bodyChunk("");
    REQUIRE(caller.send(cluster.orderHead(8000) + bodyChunk("") + withBody + withBody + cluster.read()));
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedCount() == received + 1;
        },
        timeoutMs));
    cluster.gateways[0].signal(SIGTERM);
    caller.receiveToEnd(timeoutMs);
    const std::vector<HttpResponse> answers = caller.responses();
    REQUIRE(answers.size() == 4);
    CHECK(answers[0].status == 502);
    CHECK(answers[1].status == 503);
    CHECK(answers[2].status == 503);
    CHECK(isRefusal(answers[3]));
    CHECK(cluster.receivedCount() == received + 1);
    CHECK(cluster.gateways[0].wait() == 0);
}

// Guards against a reload or a change of the limits during a stop that ends requests or the process early.
TEST_CASE("Arriving: a stop goes on unchanged beside a reload of the settings and a change of the configuration")
{
    StoppingGateway cluster;
    CallerConnection caller(cluster.callerAddress(0));
    cluster.gateways[0].signal(SIGTERM);
    std::this_thread::sleep_for(balancerLag - std::chrono::milliseconds(500));
    REQUIRE(caller.send(cluster.orderHead(2000) + bodyChunk(firstPart)));
    constexpr int shorterGraceSeconds = 2;
    cluster.setGrace(0, shorterGraceSeconds);
    cluster.configure(2);
    REQUIRE(cluster.logHas(0, "\"version\":\"2\""));
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    CHECK(caller.send(bodyChunk(secondPart) + bodyChunk("")));
    caller.receiveToEnd(timeoutMs);
    REQUIRE(caller.responses().size() == 1);
    CHECK(caller.responses().front().status == 200);
    CHECK(cluster.gateways[0].wait() == 0);
}
