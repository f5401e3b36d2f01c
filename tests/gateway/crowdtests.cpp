//! Crowds of clients that keep to no limit, at each port of a gateway. What counts is what the gateway's machine counts: memory of the process together with
//! the bytes that have arrived for it and that it has not read, and descriptors of all kinds together.

#include "gatewaycluster.h"
#include "support/callerconnection.h"
#include "support/crowd.h"
#include "support/processmemory.h"
#include "support/processusage.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int processMegabytes = 32;
constexpr std::size_t allowedBytes = processMegabytes * bytesPerKilobyte * bytesPerKilobyte;
constexpr std::size_t headLimit = 16 * bytesPerKilobyte;
constexpr std::size_t bodyLimit = 512 * bytesPerKilobyte;
constexpr const char *limits = R"({"HeaderBytes":16384,"BodyBytes":524288,"HeaderMs":8000,"IdleMs":15000})";

//! Descriptors that are many for the memory, so that the memory bounds the connections.
constexpr int manyDescriptors = 1024;

//! Descriptors that are few, so that they bound the connections.
constexpr int fewDescriptors = 256;

//! A gateway with lowered limits and one endpoint, or more.
struct LimitedCluster : GatewayCluster
{
    explicit LimitedCluster(int descriptors, std::size_t endpointCount = 1)
        : GatewayCluster(1, endpointCount, 0, processMegabytes)
        , allowedDescriptors(static_cast<std::size_t>(descriptors))
    {
        this->setMaxDescriptors(0, descriptors);
        REQUIRE(this->startServing());
        this->configure(2, "", limits);
        REQUIRE(this->logHas(0, "\"message\":\"activated\",\"version\":\"2\""));
    }

    bool isServed()
    {
        const std::optional<HttpResponse> answer = this->call(0, "POST", "/orders/2");
        return answer && answer->status == 200;
    }

    std::size_t allowedDescriptors;
};

std::string headOf(std::size_t client, const std::string &framing, const std::string &target = "/orders/1")
{
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: crowd" + std::to_string(client) + "\r\n" + framing + "\r\n\r\n";
}

std::function<std::string(std::size_t)> heads(const std::string &framing)
{
    return [framing](std::size_t client) {
        return headOf(client, framing);
    };
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t index = 0; index < count; ++index) {
        all += text;
    }
    return all;
}

const std::string largestLength = "Content-Length: " + std::to_string(bodyLimit);
const std::string chunked = "Transfer-Encoding: chunked";

CrowdPlan bodiesShortOfAByte(std::size_t clients)
{
    return {clients, heads(largestLength), std::string(bodyLimit - 1, 'x')};
}

CrowdPlan chunkedBodiesWithoutEnd(std::size_t clients)
{
    return {clients, heads(chunked), repeated(bodyChunk(std::string(16 * bytesPerKilobyte, 'x')), 31)};
}

CrowdPlan unfinishedFirstLines(std::size_t clients)
{
    return {clients, {}, "POST /orde"};
}

//! Runs the crowds at the same time, each at its address, and checks the gateway's memory and descriptors meanwhile. Then calls \p whileOpen.
void checkSurvives(LimitedCluster &cluster, const std::vector<std::pair<std::string, CrowdPlan>> &plans, const std::function<void()> &whileOpen = {})
{
    const pid_t process = cluster.gateways[0].id();
    {
        const UsageWatch watch(process);
        std::vector<std::unique_ptr<Crowd>> crowds;
        crowds.reserve(plans.size());
        for (const auto &[address, plan] : plans) {
            crowds.push_back(std::make_unique<Crowd>(address, plan));
        }
        std::vector<std::thread> threads;
        threads.reserve(crowds.size());
        for (const std::unique_ptr<Crowd> &crowd : crowds) {
            threads.emplace_back([&crowd]() {
                crowd->runUntilStill();
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        if (whileOpen) {
            whileOpen();
        }
        constexpr std::size_t bytesPerMegabyte = bytesPerKilobyte * bytesPerKilobyte;
        MESSAGE("counted: " << watch.highestCountedBytes() / bytesPerMegabyte << " MB, of it unread " << watch.highestUnreadBytes() / bytesPerMegabyte
                            << " MB at most; own peak " << peakMemoryOf(process) / bytesPerMegabyte << " MB; " << watch.mostDescriptors() << " descriptors; "
                            << crowds.front()->openCount() << " clients open");
        CHECK(watch.highestCountedBytes() > 0);
        CHECK(watch.highestCountedBytes() <= allowedBytes);
        CHECK(watch.mostDescriptors() <= cluster.allowedDescriptors);
    }
    // Zero for a process that has ended.
    CHECK(peakMemoryOf(process) > 0);
    CHECK(peakMemoryOf(process) <= allowedBytes);
    CHECK(waitFor(
        [&cluster]() {
            return cluster.isServed();
        },
        GatewayCluster::logTimeoutMs));
    CHECK(cluster.isReady(0));
    // Nothing of a crowd's unfinished requests was passed on.
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        for (const ReceivedRequest &received : endpoint->received()) {
            CHECK(received.request.body.size() < bodyLimit - 1);
        }
    }
}

using AddressMember = const std::string &(GatewayCluster::*)(std::size_t) const;
using CrowdForm = std::pair<const char *, CrowdPlan>;

//! Runs each form of a crowd at a gateway of its own, at all \p addresses at once.
void checkEachForm(const std::vector<CrowdForm> &forms, const std::vector<AddressMember> &addresses)
{
    for (const CrowdForm &form : forms) {
        const std::string name = form.first;
        CAPTURE(name);
        MESSAGE(name);
        LimitedCluster cluster(manyDescriptors);
        std::vector<std::pair<std::string, CrowdPlan>> plans;
        plans.reserve(addresses.size());
        for (const AddressMember address : addresses) {
            plans.emplace_back((cluster.*address)(0), form.second);
        }
        checkSurvives(cluster, plans);
    }
}

void checkBodiesAt(AddressMember address)
{
    for (const auto &plan : {&bodiesShortOfAByte, &chunkedBodiesWithoutEnd}) {
        LimitedCluster cluster(fewDescriptors);
        checkSurvives(cluster, {{(cluster.*address)(0), plan(120)}});
    }
}

void checkUnfinishedFirstLinesAt(AddressMember address)
{
    LimitedCluster cluster(fewDescriptors);
    checkSurvives(cluster, {{(cluster.*address)(0), unfinishedFirstLines(400)}});
}

} // namespace

TEST_CASE("Crowds: bodies at the readiness port: legal bodies that never end")
{
    checkBodiesAt(&GatewayCluster::readyAddress);
}

TEST_CASE("Crowds: bodies at the metrics port: legal bodies that never end")
{
    checkBodiesAt(&GatewayCluster::metricsAddress);
}

TEST_CASE("Crowds: unread bytes at the callers' port: what is not read counts, too")
{
    std::string tinyChunks = repeated(bodyChunk("x"), 40000);
    const std::vector<CrowdForm> plans{
        {"announced far over the limit", {400, heads("Content-Length: 1073741824"), std::string(bodyLimit, 'x')}},
        {"sent over the limit", {400, heads(chunked), repeated(bodyChunk(std::string(16 * bytesPerKilobyte, 'x')), 48)}},
        {"whole but for a byte", bodiesShortOfAByte(400)},
        {"chunked, in large chunks", chunkedBodiesWithoutEnd(400)},
        {"chunked, in chunks of one byte", {400, heads(chunked), std::move(tinyChunks)}},
        {"behind a question whether to continue", {400, heads(largestLength + "\r\nExpect: 100-continue"), std::string(bodyLimit - 1, 'x')}},
    };
    checkEachForm(plans, {&GatewayCluster::callerAddress});
}

TEST_CASE("Crowds: kept connections: large heads and bodies are answered, and the connections stay")
{
    LimitedCluster cluster(manyDescriptors);
    const auto request = [](std::size_t client) {
        constexpr std::size_t bodyBytes = 20 * bytesPerKilobyte;
        const std::string framing = "Content-Length: " + std::to_string(bodyBytes) + "\r\nFiller: ";
        const std::size_t other = headOf(client, framing).size();
        return headOf(client, framing + std::string(headLimit - other - 1, 'f')) + std::string(bodyBytes, 'x');
    };
    checkSurvives(cluster, {{cluster.callerAddress(0), {600, request, "", true}}});
}

TEST_CASE("Crowds: pipelined requests: many small requests of clients that read nothing")
{
    LimitedCluster cluster(manyDescriptors);
    const auto requests = [](std::size_t client) {
        return repeated("GET /reads/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: crowd" + std::to_string(client) + "\r\n\r\n", 400);
    };
    checkSurvives(cluster, {{cluster.callerAddress(0), {600, requests}}});
}

TEST_CASE("Crowds: descriptors of the readiness port: clients that stop inside the first line")
{
    checkUnfinishedFirstLinesAt(&GatewayCluster::readyAddress);
}

TEST_CASE("Crowds: descriptors of the metrics port: clients that stop inside the first line")
{
    checkUnfinishedFirstLinesAt(&GatewayCluster::metricsAddress);
}

TEST_CASE("Crowds: descriptors of the peers' port: clients that stop inside the first bytes")
{
    checkUnfinishedFirstLinesAt(&GatewayCluster::peerAddress);
}

TEST_CASE("Crowds: descriptors of all kinds: each request under way takes a connection to an endpoint, too")
{
    // Eight requests run at each endpoint.
    LimitedCluster cluster(fewDescriptors, 16);
    const auto requests = [](std::size_t client) {
        return repeated("GET /reads/1?work_ms=1500 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: crowd" + std::to_string(client) + "\r\n\r\n", 20);
    };
    checkSurvives(cluster, {{cluster.callerAddress(0), {120, requests}}});
}

TEST_CASE("Crowds: several ports: bodies and unfinished lines at all ports at once")
{
    LimitedCluster cluster(fewDescriptors);
    checkSurvives(cluster,
                  {{cluster.callerAddress(0), bodiesShortOfAByte(120)},
                   {cluster.readyAddress(0), chunkedBodiesWithoutEnd(120)},
                   {cluster.metricsAddress(0), bodiesShortOfAByte(120)},
                   {cluster.peerAddress(0), unfinishedFirstLines(120)}});
}

TEST_CASE("Crowds: places for callers: an ordinary request is answered while others stand inside their first line")
{
    for (const std::size_t clients : {150, 400}) {
        CAPTURE(clients);
        LimitedCluster cluster(fewDescriptors);
        checkSurvives(cluster, {{cluster.callerAddress(0), unfinishedFirstLines(clients)}}, [&cluster]() {
            CHECK(cluster.isServed());
        });
    }
}

TEST_CASE("Crowds: places for callers: an ordinary request is answered while others keep connections without a request")
{
    LimitedCluster cluster(fewDescriptors);
    const auto request = [](std::size_t client) {
        return headOf(client, "Content-Length: 4") + "body";
    };
    checkSurvives(cluster, {{cluster.callerAddress(0), {150, request, "", true}}}, [&cluster]() {
        CHECK(cluster.isServed());
    });
}

TEST_CASE("Crowds: places at the readiness port: the question is answered while others stand inside their first line")
{
    LimitedCluster cluster(fewDescriptors);
    checkSurvives(cluster, {{cluster.readyAddress(0), unfinishedFirstLines(400)}}, [&cluster]() {
        CHECK(cluster.isReady(0));
    });
}

TEST_CASE("Crowds: unread answers: large answers and streams to clients that read nothing")
{
    for (const char *request : {"POST /orders/1?work_ms=1&bytes=400000", "POST /turns/1?work_ms=1&gap_ms=1&event_bytes=60000"}) {
        CAPTURE(std::string(request));
        LimitedCluster cluster(manyDescriptors, 4);
        const auto start = [request](std::size_t client) {
            return std::string(request) + " HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: crowd" + std::to_string(client)
                + "\r\nOleandergate-Model: m\r\nOleandergate-Token-Counts: 100,100\r\nOleandergate-Prompt-Prefix: a1:100\r\nContent-Length: 4\r\n\r\nbody";
        };
        checkSurvives(cluster, {{cluster.callerAddress(0), {200, start}}});
    }
}

TEST_CASE("Crowds: places behind unread answers: an ordinary request is answered while others do not read their large answers")
{
    LimitedCluster cluster(fewDescriptors, 16);
    const auto requests = [](std::size_t client) {
        const std::string order
            = "POST /orders/1?work_ms=1&bytes=100000 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: crowd" + std::to_string(client);
        return repeated(order + "\r\nContent-Length: 4\r\n\r\nbody", 60);
    };
    checkSurvives(cluster, {{cluster.callerAddress(0), {120, requests}}}, [&cluster]() {
        CHECK(waitFor(
            [&cluster]() {
                return cluster.isServed();
            },
            GatewayCluster::logTimeoutMs));
    });
}

TEST_CASE("Crowds: connections to endpoints: an ordinary request is answered while others take all of them")
{
    LimitedCluster cluster(fewDescriptors, 16);
    const auto requests = [](std::size_t client) {
        return repeated(headOf(client, "Content-Length: 4", "/orders/1?work_ms=1500") + "body", 60);
    };
    checkSurvives(cluster, {{cluster.callerAddress(0), {120, requests}}}, [&cluster]() {
        // Long enough for several rounds of requests that find no connection to an endpoint in time.
        std::this_thread::sleep_for(std::chrono::seconds(10));
        CHECK(waitFor(
            [&cluster]() {
                return cluster.isServed();
            },
            GatewayCluster::logTimeoutMs));
    });
}

TEST_CASE("Crowds: malformed requests: lines, sizes and fields without end")
{
    const std::size_t clients = 200;
    const std::string start = "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\n";
    const std::vector<CrowdForm> plans{
        {"a chunk size of 17 digits", {clients, heads(chunked), "fffffffffffffffff\r\n" + std::string(bodyLimit, 'x')}},
        {"a chunk size line without end", {clients, heads(chunked), "1;" + std::string(bodyLimit, 'x')}},
        {"many small fields", {clients, {}, start + repeated("a:\r\n", 10000)}},
        {"fields without end", {40, {}, start + repeated("a:\r\n", 250000)}},
        {"whole heads of many small fields", {clients, {}, start + "Content-Length: 2\r\n" + repeated("a:\r\n", 3900) + "\r\nx"}},
        {"a trailer without end", {clients, heads(chunked), "0\r\n" + repeated("a: b\r\n", 100000)}},
        {"a first line without end", {clients, {}, "POST /" + std::string(bodyLimit, 'x')}},
    };
    checkEachForm(plans, {&GatewayCluster::callerAddress, &GatewayCluster::readyAddress});
}

TEST_CASE("Crowds: configuration: a crowd is there before the first one, and beside one that lowers the limit of bodies")
{
    GatewayCluster cluster(1, 1, 0, processMegabytes);
    cluster.setMaxDescriptors(0, manyDescriptors);
    const pid_t process = cluster.gateways[0].id();
    const UsageWatch watch(process);
    REQUIRE(waitFor(
        [&cluster]() {
            return cluster.call(0, "GET", "/reads/1").has_value();
        },
        GatewayCluster::logTimeoutMs));
    Crowd early(cluster.callerAddress(0), chunkedBodiesWithoutEnd(200));
    early.runUntilStill();
    cluster.configure(1, "", limits);
    cluster.registerEndpoint(0);
    REQUIRE(cluster.waitUntilReady());
    Crowd late(cluster.callerAddress(0), bodiesShortOfAByte(200));
    late.runUntilStill();
    cluster.configure(2, "", R"({"HeaderBytes":16384,"BodyBytes":4096,"HeaderMs":8000,"IdleMs":15000})");
    REQUIRE(cluster.logHas(0, "\"message\":\"activated\",\"version\":\"2\""));
    late.runUntilStill();
    CHECK(waitFor(
        [&cluster]() {
            const std::optional<HttpResponse> answer = cluster.call(0, "POST", "/orders/2");
            return answer && answer->status == 200;
        },
        GatewayCluster::logTimeoutMs));
    CHECK(watch.highestCountedBytes() <= allowedBytes);
    CHECK(watch.mostDescriptors() <= static_cast<std::size_t>(manyDescriptors));
    CHECK(peakMemoryOf(process) > 0);
}

TEST_CASE("Crowds: a planned stop: one of four gateways with a crowd each ends in order, and the others serve")
{
    constexpr std::size_t gatewayCount = 4;
    GatewayCluster cluster(gatewayCount, 2, 0, processMegabytes);
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        cluster.setMaxDescriptors(gateway, manyDescriptors);
    }
    REQUIRE(cluster.startServing());
    cluster.configure(2, "", limits);
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        REQUIRE(cluster.logHas(gateway, "\"message\":\"activated\",\"version\":\"2\""));
        crowds.push_back(std::make_unique<Crowd>(cluster.callerAddress(gateway), bodiesShortOfAByte(150)));
        crowds.back()->runUntilStill();
    }
    cluster.gateways[0].signal(SIGTERM);
    for (std::size_t gateway = 1; gateway < gatewayCount; ++gateway) {
        CHECK(waitFor(
            [&cluster, gateway]() {
                const std::optional<HttpResponse> answer = cluster.call(gateway, "POST", "/orders/2");
                return answer && answer->status == 200;
            },
            GatewayCluster::logTimeoutMs));
        CHECK(peakMemoryOf(cluster.gateways[gateway].id()) <= allowedBytes);
    }
    CHECK(cluster.gateways[0].wait() == 0);
    CHECK(cluster.logHas(0, "\"message\":\"stopped\""));
}

TEST_CASE("Crowds: calm: a single request of the largest legal size is served at each port")
{
    LimitedCluster cluster(fewDescriptors);
    for (const std::string &address : {cluster.callerAddress(0), cluster.readyAddress(0), cluster.metricsAddress(0)}) {
        CAPTURE(address);
        for (const std::string &body :
             {largestLength + "\r\n\r\n" + std::string(bodyLimit, 'x'), chunked + "\r\n\r\n" + bodyChunk(std::string(bodyLimit, 'x')) + bodyChunk("")}) {
            CallerConnection client(address);
            client.send("POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: single\r\n" + body);
            client.receive(1, GatewayCluster::logTimeoutMs);
            REQUIRE(client.responses().size() == 1);
            CHECK(client.responses()[0].status == 200);
        }
    }
}
