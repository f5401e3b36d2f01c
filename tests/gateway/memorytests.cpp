//! What a gateway holds for others, when many of them send without end at once.

#include "gatewaycluster.h"
#include "support/processmemory.h"

#include "runtime/address.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr const char *largeBodies = R"({"HeaderBytes":16384,"BodyBytes":4194304,"HeaderMs":4000,"IdleMs":15000})";

struct BoundedCluster : GatewayCluster
{
    explicit BoundedCluster(std::size_t endpointCount)
        : GatewayCluster(1, endpointCount)
    {
        REQUIRE(this->startServing());
        this->configure(2, "", largeBodies);
        REQUIRE(this->logHas(0, "\"version\":\"2\""));
    }

    //! Returns whether the process runs and has stayed within its memory.
    bool isWithinMemory() const
    {
        constexpr std::size_t allowed = memoryMegabytes * bytesPerKilobyte * bytesPerKilobyte;
        const std::size_t peak = peakMemoryOf(this->gateways[0].id());
        MESSAGE("peak memory: ", peak / bytesPerKilobyte / bytesPerKilobyte, " MB");
        return this->gateways[0].isRunning() && peak > 0 && peak <= allowed;
    }
};

//! Sends \p count orders at once. Returns the number of answers by status; 0 for none.
std::map<int, int> sendOrders(GatewayCluster &cluster, int count)
{
    std::map<int, int> statuses;
    std::mutex mutex;
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        callers.emplace_back([&]() {
            const std::optional<HttpResponse> answer = cluster.call(0, "POST", "/orders/1");
            const std::lock_guard lock(mutex);
            statuses[answer ? answer->status : 0] += 1;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return statuses;
}

} // namespace

// Guards against a process that ends, with the requests of all its callers, because several endpoints send without end at once.
TEST_CASE("Memory: many answers without end are ended before they fill the process's memory, and others are served")
{
    for (const Behaviour behaviour : {Behaviour::EndlessBody, Behaviour::EndlessUnsignedBody, Behaviour::EndlessChunkHead}) {
        CAPTURE(static_cast<int>(behaviour));
        constexpr int orderCount = 60;
        // One endpoint is sound.
        BoundedCluster cluster(9);
        for (std::size_t index = 1; index < cluster.endpoints.size(); ++index) {
            cluster.endpoints[index]->setNextBehaviours(std::vector<Behaviour>(orderCount, behaviour));
        }
        const std::map<int, int> statuses = sendOrders(cluster, orderCount);
        int known = 0;
        for (const auto &[status, count] : statuses) {
            // An order that an endpoint has may have run; one that was not sent may be refused.
            CHECK((status == 200 || status == 502 || status == 503));
            known += count;
        }
        CHECK(known == orderCount);
        CHECK(statuses.contains(502));
        CHECK(cluster.isWithinMemory());
        const std::optional<HttpResponse> other = cluster.call(0, "GET", "/reads/1");
        REQUIRE(other);
        CHECK(other->status == 200);
    }
}

// The same by callers, whose requests have not been passed on.
TEST_CASE("Memory: many bodies without end are refused as not run before they fill the process's memory, and others are served")
{
    for (const bool isChunked : {false, true}) {
        CAPTURE(isChunked);
        constexpr std::size_t callerCount = 80;
        constexpr std::size_t bodyBytes = 4000UL * 1000;
        BoundedCluster cluster(1);
        std::atomic<int> refused = 0;
        std::atomic<bool> done = false;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        for (std::size_t number = 0; number < callerCount; ++number) {
            callers.emplace_back([&, number]() {
                asio::io_context context;
                tcp::socket socket(context);
                boost::system::error_code error;
                socket.connect(*parseTcpAddress(cluster.callerAddress(0)), error);
                const std::string framing = isChunked ? "Transfer-Encoding: chunked\r\n\r\n3d0901\r\n" : "Content-Length: 4000001\r\n\r\n";
                asio::write(
                    socket,
                    asio::buffer("POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: b" + std::to_string(number) + "\r\n" + framing),
                    error);
                asio::write(socket, asio::buffer(std::string(bodyBytes, 'x')), error);
                std::string answer;
                std::array<char, 256> part{};
                error.clear();
                const std::size_t size = socket.read_some(asio::buffer(part), error);
                answer.append(part.data(), size);
                refused += answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After") != std::string::npos ? 1 : 0;
            });
        }
        int served = 0;
        int asked = 0;
        std::thread other([&]() {
            while (!done) {
                const std::optional<HttpResponse> answer = cluster.call(0, "POST", "/orders/2");
                asked += 1;
                served += answer && answer->status == 200 ? 1 : 0;
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        });
        for (std::thread &caller : callers) {
            caller.join();
        }
        done = true;
        other.join();
        CHECK(refused > 0);
        CHECK(served == asked);
        CHECK(served > 0);
        CHECK(cluster.isWithinMemory());
        // None of them was passed on.
        for (const ReceivedRequest &received : cluster.endpoints[0]->received()) {
            CHECK(received.request.body == "body");
        }
    }
}

// Guards against a body that is held several times while it is passed on.
TEST_CASE("Memory: large requests that are passed on at once stay within the process's memory")
{
    constexpr int callerCount = 60;
    BoundedCluster cluster(2);
    const std::string body(900UL * 1000, 'y');
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int number = 0; number < callerCount; ++number) {
        callers.emplace_back([&, number]() {
            TestRequest request;
            request.target = "/orders/1";
            request.headers = {{"Host", "h.example"}, {"Oleandergate-Request-Id", "large" + std::to_string(number)}};
            request.body = body;
            const std::optional<HttpResponse> answer = sendRequest(cluster.callerAddress(0), request);
            served += answer && answer->status == 200 ? 1 : 0;
            refused += answer && answer->status == 503 ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(served > 0);
    CHECK(served + refused == callerCount);
    CHECK(cluster.isWithinMemory());
    CHECK(cluster.receivedCount() == static_cast<std::size_t>(served));
}
