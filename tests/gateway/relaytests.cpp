//! The gateway process with endpoints that refuse requests, break connections, answer incorrectly or not at all.

#include "gatewaycluster.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <csignal>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int timeoutMs = 20000;
constexpr const char *requestHeaders = "Host: h.example\r\nOleandergate-Request-Id: raw\r\nConnection: close\r\n";

//! Ready gateways with some endpoints.
struct ServingCluster : GatewayCluster
{
    explicit ServingCluster(std::size_t endpointCount, std::size_t gatewayCount = 1)
        : GatewayCluster(gatewayCount, endpointCount)
    {
        REQUIRE(this->startServing());
    }
};

//! Returns the stream that every caller of a turn must receive: each event once and in order.
std::string wholeStream()
{
    std::string stream;
    for (int number = 1; number <= StandinEndpoint::eventCount; ++number) {
        stream += "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
    }
    return stream;
}

} // namespace

TEST_CASE("Requests and answers are forwarded unchanged, with the endpoint's signature and the remaining time")
{
    ServingCluster cluster(1);
    const std::optional<HttpResponse> answer = cluster.call(0, "POST", "/orders/x?y=z", {{"Oleandergate-Deadline-Ms", "5000"}, {"X-Other", "kept"}});
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "right");
    CHECK(answer->header("Oleandergate-Server-Stamp") == "stamp-i-0");
    const HttpRequest received = cluster.endpoints[0]->received().at(0).request;
    CHECK(received.method == "POST");
    CHECK(received.target == "/orders/x?y=z");
    CHECK(received.body == "body");
    CHECK(received.header("Host") == "h.example");
    CHECK(received.header("X-Other") == "kept");
    CHECK(received.header("Oleandergate-Expect-Instance") == "i-0");
    CHECK(std::stoi(received.header("Oleandergate-Deadline-Ms")) <= 5000);
}

TEST_CASE("Streams arrive completely and in order")
{
    ServingCluster cluster(1);
    const std::optional<HttpResponse> answer = cluster.turn(0, "p", 1000);
    REQUIRE(answer);
    CHECK(answer->body == wholeStream());
}

TEST_CASE("Requests are refused as not run until a configuration is active, and unknown routes as not found afterwards")
{
    GatewayCluster cluster(1, 1);
    cluster.registerEndpoint(0);
    std::optional<HttpResponse> answer;
    REQUIRE(waitFor(
        [&]() {
            answer = cluster.call(0, "GET", "/reads/1");
            return answer.has_value();
        },
        timeoutMs));
    CHECK(answer->status == 503);
    CHECK_FALSE(answer->header("Retry-After").empty());
    CHECK_FALSE(cluster.isReady(0));
    cluster.configure(1);
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    CHECK(cluster.call(0, "GET", "/nowhere/1")->status == 404);
}

TEST_CASE("A request that an endpoint refuses goes to another one, and is refused as not run when all refuse")
{
    ServingCluster cluster(2);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Refuse});
    cluster.endpoints[1]->setNextBehaviours({Behaviour::Refuse});
    const std::optional<HttpResponse> refused = cluster.call(0, "POST", "/orders/1");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK_FALSE(refused->header("Retry-After").empty());
    CHECK(cluster.receivedCount() == 2);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Refuse});
    cluster.endpoints[1]->setNextBehaviours({});
    for (int call = 0; call < 4; ++call) {
        CHECK(cluster.call(0, "POST", "/orders/2")->status == 200);
    }
}

TEST_CASE("A request that runs at most once is sent only once, and a lost answer is not reported as not run")
{
    for (const Behaviour behaviour : {Behaviour::CloseUnanswered, Behaviour::Truncate, Behaviour::Unsigned, Behaviour::FullWithoutStatement}) {
        ServingCluster cluster(2);
        cluster.endpoints[0]->setNextBehaviours({behaviour});
        cluster.endpoints[1]->setNextBehaviours({behaviour});
        const std::optional<HttpResponse> answer = cluster.call(0, "POST", "/orders/1");
        REQUIRE(answer);
        CHECK(answer->status == 502);
        CHECK(answer->header("Oleandergate-Server-Stamp").empty());
        CHECK(cluster.receivedCount() == 1);
    }
}

TEST_CASE("An idempotent request whose answer is lost is answered by another endpoint")
{
    for (const Behaviour behaviour : {Behaviour::CloseUnanswered, Behaviour::Truncate, Behaviour::Unsigned}) {
        ServingCluster cluster(2);
        cluster.endpoints[0]->setNextBehaviours({behaviour});
        for (int call = 0; call < 4; ++call) {
            const std::optional<HttpResponse> answer = cluster.call(0, "GET", "/reads/1");
            REQUIRE(answer);
            CHECK(answer->status == 200);
            CHECK(answer->body == "right");
        }
    }
}

// Guards against a caller that gets the answer of an endpoint in trouble whose status is none.
TEST_CASE("A status outside 200 to 599 is no answer, on routes of any kind")
{
    for (const Behaviour behaviour : {Behaviour::ZeroStatus, Behaviour::LowStatus, Behaviour::SwitchStatus, Behaviour::HighStatus, Behaviour::HighestStatus}) {
        CAPTURE(static_cast<int>(behaviour));
        ServingCluster cluster(2);
        const auto answerWith = [&cluster](const std::vector<Behaviour> &behaviours) {
            for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
                endpoint->setNextBehaviours(behaviours);
            }
        };
        answerWith({behaviour});
        const std::optional<HttpResponse> order = cluster.call(0, "POST", "/orders/1");
        REQUIRE(order);
        CHECK(order->status == 502);
        CHECK(order->header("Oleandergate-Server-Stamp").empty());
        CHECK(cluster.receivedCount() == 1);
        answerWith({});
        cluster.endpoints[0]->setNextBehaviours({behaviour});
        for (int call = 0; call < 4; ++call) {
            const std::optional<HttpResponse> read = cluster.call(0, "GET", "/reads/1");
            REQUIRE(read);
            CHECK(read->status == 200);
            CHECK(read->body == "right");
        }
        answerWith({behaviour});
        const std::optional<HttpResponse> turn = cluster.turn(0, "p" + std::to_string(static_cast<int>(behaviour)), 1000);
        REQUIRE(turn);
        // Sent again, as the stream may be resumed, until its attempts are used up.
        CHECK((turn->status == 200 || turn->status == 502));
        CHECK(cluster.logHas(0, "is none of HTTP"));
    }
}

TEST_CASE("A stream that breaks inside an event is resumed after the last whole event")
{
    ServingCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::BreakMidEvent});
    const std::optional<HttpResponse> answer = cluster.turn(0, "p", 1000);
    REQUIRE(answer);
    CHECK(answer->body == wholeStream());
    const std::vector<ReceivedRequest> received = cluster.endpoints[0]->received();
    REQUIRE(received.size() == 2);
    CHECK(received[1].request.header("Last-Event-Id") == "2");
}

TEST_CASE("Answers with neither length nor chunks are forwarded whole")
{
    ServingCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Unframed, Behaviour::Unframed, Behaviour::Unframed, Behaviour::Unframed});
    const std::optional<HttpResponse> stream = cluster.turn(0, "p", 1000);
    REQUIRE(stream);
    CHECK(stream->body == wholeStream());
    const std::optional<HttpResponse> answer = cluster.call(0, "GET", "/reads/x");
    REQUIRE(answer);
    CHECK(answer->body == "right");
    // The end of a connection does not prove that a stream is complete: the endpoint is asked for what follows the last event, twice.
    const std::vector<ReceivedRequest> received = cluster.endpoints[0]->received();
    REQUIRE(received.size() == 4);
    CHECK(received[1].request.header("Last-Event-Id") == std::to_string(StandinEndpoint::eventCount));
    CHECK(received[2].request.header("Last-Event-Id") == std::to_string(StandinEndpoint::eventCount));
}

// Guards against chunks that precede the head of their response.
TEST_CASE("A stream without events is forwarded as one")
{
    ServingCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::OnlyComment});
    const std::optional<HttpResponse> answer = cluster.turn(0, "p", 1000);
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == ": none\n");
}

// Guards against short streams that reach their caller framed as complete: without length and chunks, a crash of the endpoint looks like the
// end of its answer.
TEST_CASE("A stream whose connection ends before it is whole is resumed after the last whole event")
{
    ServingCluster cluster(1);
    for (const Behaviour behaviour : {Behaviour::EndMidEvent, Behaviour::EndBeforeFirstEvent}) {
        cluster.endpoints[0]->setNextBehaviours({behaviour});
        const std::optional<HttpResponse> answer = cluster.turn(0, "p", 1000);
        REQUIRE(answer);
        CHECK(answer->body == wholeStream());
    }
    const std::vector<ReceivedRequest> received = cluster.endpoints[0]->received();
    REQUIRE(received.size() == 4);
    CHECK(received[1].request.header("Last-Event-Id") == "2");
    CHECK(received[3].request.header("Last-Event-Id").empty());
}

TEST_CASE("An answer to another request is never delivered")
{
    ServingCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::ExtraAnswer});
    for (int call = 0; call < 4; ++call) {
        const std::optional<HttpResponse> answer = cluster.call(0, "GET", "/reads/1");
        REQUIRE(answer);
        CHECK(answer->body == "right");
    }
}

TEST_CASE("A request that smuggles another one in its body is refused and reaches no endpoint")
{
    ServingCluster cluster(1);
    const std::string hidden = "GET /reads/hidden HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: hidden\r\n\r\n";
    const std::string chunked = "0\r\n\r\n" + hidden;
    for (const std::string &framing : {"Content-Length: " + std::to_string(chunked.size()) + "\r\nTransfer-Encoding: chunked\r\n",
                                       std::string("Transfer-Encoding: identity\r\n"),
                                       std::string("Transfer-Encoding: chunked, identity\r\n"),
                                       std::string("Transfer-Encoding: xchunked\r\n"),
                                       std::string("Content-Length: 4\r\nContent-Length: 5\r\n"),
                                       std::string("Content-Length: -1\r\n")}) {
        std::string request = "POST /reads/1 HTTP/1.1\r\n";
        request += requestHeaders;
        request += framing;
        request += "\r\n";
        request += chunked;
        const std::string answer = cluster.sendRaw(0, request);
        CHECK(answer.find(" 400 ") != std::string::npos);
    }
    CHECK(cluster.receivedCount() == 0);
}

TEST_CASE("Oversized and malformed requests get the matching status")
{
    ServingCluster cluster(1);
    const std::string head = "POST /reads/1 HTTP/1.1\r\n" + std::string(requestHeaders);
    CHECK(cluster.sendRaw(0, head + "Content-Length: 100000\r\n\r\n").find(" 413 ") != std::string::npos);
    CHECK(cluster.sendRaw(0, head + "X: " + std::string(20000, 'x') + "\r\n\r\n").find(" 431 ") != std::string::npos);
    CHECK(cluster.sendRaw(0, "GARBAGE\r\n\r\n").find(" 400 ") != std::string::npos);
    CHECK(cluster.sendRaw(0, "GET /reads/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n").find(" 400 ") != std::string::npos);
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
}

TEST_CASE("A chunked body reaches the endpoint completely")
{
    ServingCluster cluster(1);
    const std::string answer
        = cluster.sendRaw(0, "POST /reads/1 HTTP/1.1\r\n" + std::string(requestHeaders) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(answer.find(" 200 ") != std::string::npos);
    CHECK(cluster.endpoints[0]->received().at(0).request.body == "abcde");
}

TEST_CASE("When the caller disconnects, an idempotent request is cancelled at the endpoint, and one that runs at most once is not")
{
    ServingCluster cluster(1);
    const auto leave = [&cluster](const std::string &target) {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        const std::string &address = cluster.callerAddress(0);
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
        const std::size_t before = cluster.receivedCount();
        boost::asio::write(socket, boost::asio::buffer("POST " + target + " HTTP/1.1\r\n" + requestHeaders + "Content-Length: 0\r\n\r\n"));
        REQUIRE(waitFor(
            [&]() {
                return cluster.receivedCount() > before;
            },
            timeoutMs));
    };
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Slow, Behaviour::Slow});
    leave("/orders/1");
    leave("/reads/1");
    CHECK(waitFor(
        [&]() {
            return cluster.endpoints[0]->abandonedCount() == 1;
        },
        timeoutMs));
    cluster.endpoints[0]->release();
    CHECK(cluster.call(0, "GET", "/reads/2")->status == 200);
    CHECK(cluster.endpoints[0]->abandonedCount() == 1);
}

TEST_CASE("A draining endpoint gets no new requests, and malformed registrations are ignored")
{
    ServingCluster cluster(2);
    cluster.registerEndpoint(0, "draining");
    cluster.store.put("servers/forged", R"({"Service":"engine","Address":"127.0.0.1:1","Slots":99,"State":"resting"})");
    REQUIRE(cluster.logHas(0, "\"leaving\":\"true\""));
    const std::size_t before = cluster.endpoints[0]->receivedCount();
    for (int call = 0; call < 10; ++call) {
        CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    }
    CHECK(cluster.endpoints[0]->receivedCount() == before);
}

TEST_CASE("A change that no watch reports becomes active")
{
    ServingCluster cluster(1);
    cluster.store.setWatchesSilent(true);
    cluster.configure(2, R"(,{"Name":"new","Host":"h.example","PathPrefix":"/new/","Kind":"safe","TimeoutMs":8000,"Service":"engine"})");
    CHECK(waitFor(
        [&]() {
            return cluster.call(0, "GET", "/new/1")->status == 200;
        },
        timeoutMs));
}

TEST_CASE("A gateway that starts while the store is unavailable gets configuration and endpoints from a peer")
{
    ServingCluster cluster(1, 2);
    cluster.store.setRefusing(true);
    cluster.gateways[1].kill();
    cluster.startGateway(1);
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.call(1, "GET", "/reads/1")->status == 200);
}

TEST_CASE("SIGTERM ends readiness at once, completes running requests and ends the process with status 0")
{
    ServingCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Slow});
    std::optional<HttpResponse> answer;
    std::thread caller([&]() {
        answer = cluster.call(0, "POST", "/orders/1");
    });
    REQUIRE(waitFor(
        [&]() {
            return cluster.receivedCount() == 1;
        },
        timeoutMs));
    cluster.gateways[0].signal(SIGTERM);
    CHECK(waitFor(
        [&]() {
            return !cluster.isReady(0);
        },
        timeoutMs));
    cluster.endpoints[0]->release();
    caller.join();
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(cluster.gateways[0].wait() == 0);
}

TEST_CASE("SIGHUP reloads the settings without interrupting service")
{
    ServingCluster cluster(1);
    cluster.gateways[0].signal(SIGHUP);
    CHECK(waitFor(
        [&]() {
            return countOf(cluster.log(0), "reloaded settings") == 1;
        },
        timeoutMs));
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
}

TEST_CASE("Registrations that expire while the store is unavailable do not leave a service without endpoints")
{
    ServingCluster cluster(2);
    cluster.store.setRefusing(true);
    REQUIRE(cluster.logHas(0, "cannot read servers/"));
    // The pending watch reports the expired keys before the store can be read again.
    cluster.store.remove("servers/i-0");
    cluster.store.remove("servers/i-1");
    REQUIRE(waitFor(
        [&]() {
            return countOf(cluster.log(0), "\"gone\"") == 2;
        },
        timeoutMs));
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    cluster.registerEndpoint(0);
    cluster.registerEndpoint(1);
    cluster.store.setRefusing(false);
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
}

// Guards against an endpoint in trouble that sends bytes without end until the gateway closes: what is held of them counts as
// memory of the instance, and the smallest instance of the installations has 88 MB. The bound leaves room for the sockets' buffers.
TEST_CASE("Answers without end are cut off before they fill an instance's memory")
{
    constexpr std::size_t maxFlood = 88UL * 1024 * 1024 / 3;
    for (const Behaviour behaviour :
         {Behaviour::EndlessHead, Behaviour::EndlessUnsignedBody, Behaviour::EndlessBody, Behaviour::EndlessEvent, Behaviour::EndlessChunkHead}) {
        CAPTURE(static_cast<int>(behaviour));
        ServingCluster cluster(1);
        StandinEndpoint &endpoint = *cluster.endpoints[0];
        endpoint.setNextBehaviours({behaviour});
        const std::optional<HttpResponse> order = cluster.call(0, "POST", "/orders/1");
        REQUIRE(order);
        CHECK(order->status == 502);
        CHECK(waitFor(
            [&]() {
                return endpoint.closedFloodCount() == 1;
            },
            timeoutMs));
        CHECK(endpoint.largestFlood() <= maxFlood);
        // The failed endpoint is avoided for a while.
        CHECK(waitFor(
            [&]() {
                endpoint.setNextBehaviours({behaviour});
                const std::optional<HttpResponse> turn = cluster.turn(0, "p", 1000);
                return !turn || turn->status != 503;
            },
            timeoutMs));
        CHECK(waitFor(
            [&]() {
                return endpoint.closedFloodCount() == 2;
            },
            timeoutMs));
        CHECK(endpoint.largestFlood() <= maxFlood);
    }
}

// Guards against one request that ends endpoint after endpoint, through every gateway its caller can reach.
TEST_CASE("A request that ends each endpoint that runs it is refused by all gateways, and others are served")
{
    ServingCluster cluster(5, 2);
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({Behaviour::Crash});
    }
    const std::optional<HttpResponse> first = cluster.turn(0, "p", 1000);
    REQUIRE(first);
    CHECK(first->status == 502);
    CHECK(cluster.receivedCount() == 3);
    REQUIRE(waitFor(
        [&cluster]() {
            return cluster.log(1).find("a peer reported crashes of a request") != std::string::npos
                && cluster.log(1).find("\"next_run\":\"refused\"") != std::string::npos;
        },
        timeoutMs));
    const std::optional<HttpResponse> second = cluster.turn(1, "q", 1000);
    REQUIRE(second);
    CHECK(second->status == 503);
    CHECK(std::stod(second->header("Retry-After")) > 0.0);
    CHECK(cluster.receivedCount() == 3);
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({});
    }
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        const std::optional<HttpResponse> other = cluster.call(gateway, "GET", "/reads/other");
        REQUIRE(other);
        CHECK(other->status == 200);
    }
}

// Guards against a crash that passes for a kept connection that went stale: the request was sent again and its caller told that it had not run.
TEST_CASE("A request that was sent on a kept connection is not reported as not run when its endpoint ends")
{
    ServingCluster cluster(1);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::Normal, Behaviour::Crash});
    const std::optional<HttpResponse> first = cluster.call(0, "GET", "/reads/1");
    REQUIRE(first);
    CHECK(first->status == 200);
    const std::optional<HttpResponse> second = cluster.call(0, "GET", "/reads/2");
    REQUIRE(second);
    CHECK(second->status == 502);
    CHECK(cluster.receivedCount() == 2);
    CHECK(cluster.logHas(0, "an endpoint ended under a request")); // Lines are written behind the answer.
}

// Guards against requests that are condemned for connections that broke while their endpoint went on.
TEST_CASE("Broken connections of endpoints that go on condemn no request")
{
    ServingCluster cluster(1);
    for (int call = 0; call < 4; ++call) {
        cluster.endpoints[0]->setNextBehaviours({Behaviour::CloseUnanswered, Behaviour::BreakMidEvent, Behaviour::CloseUnanswered, Behaviour::BreakMidEvent});
        cluster.turn(0, "p", 1000);
    }
    cluster.endpoints[0]->setNextBehaviours({});
    const std::optional<HttpResponse> answer = cluster.turn(0, "p", 1000);
    REQUIRE(answer);
    CHECK(answer->body == wholeStream());
}
