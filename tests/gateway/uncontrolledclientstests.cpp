//! Crowds of clients that keep to no limit, against a gateway whose limits the test lowers: its process lives, keeps to its memory and its descriptors, and
//! serves an ordinary caller afterwards.

#include "gatewaycluster.h"
#include "support/callerconnection.h"
#include "support/processmemory.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <functional>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int processMegabytes = 24;
constexpr int maxDescriptors = 256;
constexpr std::size_t bodyLimit = 512 * bytesPerKilobyte;
constexpr const char *limits = R"({"HeaderBytes":16384,"BodyBytes":524288,"HeaderMs":8000,"IdleMs":15000})";
constexpr std::size_t pieceBytes = 16 * bytesPerKilobyte;

std::size_t descriptorsOf(pid_t process)
{
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

//! Returns the most descriptors that \p process has, once their number no longer changes.
std::size_t settledDescriptorsOf(pid_t process)
{
    constexpr int steadyChecks = 25;
    constexpr int limitMs = 20000;
    std::size_t most = 0;
    std::size_t last = 0;
    int unchanged = 0;
    waitFor(
        [&]() {
            const std::size_t now = descriptorsOf(process);
            unchanged = now == last ? unchanged + 1 : 0;
            last = now;
            most = std::max(most, now);
            return unchanged >= steadyChecks;
        },
        limitMs);
    return most;
}

std::string headOf(std::size_t number, const std::string &framing)
{
    return "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: crowd" + std::to_string(number) + "\r\n" + framing + "\r\n\r\n";
}

//! What one client of a crowd sends: a head, then pieces, round by round with those of the others. It stays open behind them.
struct Crowd
{
    const char *name = "";
    std::size_t clients = 0;
    std::string framing{};
    std::size_t rounds = 0;
    std::function<std::string(std::size_t round)> piece{};
};

std::vector<Crowd> crowds()
{
    const std::string plain = "Content-Length: " + std::to_string(bodyLimit);
    const std::string chunked = "Transfer-Encoding: chunked";
    const auto text = [](std::size_t bytes) {
        return [bytes](std::size_t /*round*/) {
            return std::string(bytes, 'x');
        };
    };
    return {
        {"announced far over the limit", 220, "Content-Length: 1073741824", 8, text(pieceBytes)},
        {"sent over the limit",
         220,
         chunked,
         48,
         [](std::size_t /*round*/) {
             return bodyChunk(std::string(pieceBytes, 'x'));
         }},
        {"of the largest legal size, whole but for a byte", 220, plain, 1, text(bodyLimit - 1)},
        {"of the largest legal size, piece by piece, short of the end", 220, plain, 31, text(pieceBytes)},
        {"chunked, in large chunks, short of the end",
         220,
         chunked,
         7,
         [](std::size_t /*round*/) {
             return bodyChunk(std::string(4 * pieceBytes, 'x'));
         }},
        {"chunked, in chunks of one byte, short of the end",
         220,
         chunked,
         8,
         [](std::size_t /*round*/) {
             std::string chunks;
             for (std::size_t count = 0; count < 3000; ++count) {
                 chunks += bodyChunk("x");
             }
             return chunks;
         }},
        {"of few bytes, from many clients", 400, "Content-Length: 4001", 1, text(4000)},
        {"chunked, of few bytes, from many clients",
         400,
         chunked,
         1,
         [](std::size_t /*round*/) {
             return bodyChunk(std::string(4000, 'x'));
         }},
    };
}

} // namespace

// Guards against a process that ends, or serves nobody, because of what clients send that are not controlled.
TEST_CASE("Uncontrolled clients: a crowd whose bodies are too large, too many or never end is survived")
{
    for (const Crowd &crowd : crowds()) {
        CAPTURE(std::string(crowd.name));
        GatewayCluster cluster(1, 1, 0, processMegabytes);
        cluster.setMaxDescriptors(0, maxDescriptors);
        REQUIRE(cluster.startServing());
        cluster.configure(2, "", limits);
        REQUIRE(cluster.logHas(0, "\"message\":\"activated\",\"version\":\"2\""));
        std::vector<std::unique_ptr<CallerConnection>> clients;
        for (std::size_t number = 0; number < crowd.clients; ++number) {
            clients.push_back(std::make_unique<CallerConnection>(cluster.callerAddress(0)));
            clients.back()->send(headOf(number, crowd.framing));
        }
        for (std::size_t round = 0; round < crowd.rounds; ++round) {
            for (const std::unique_ptr<CallerConnection> &client : clients) {
                client->send(crowd.piece(round));
            }
        }
        const pid_t process = cluster.gateways[0].id();
        REQUIRE(cluster.gateways[0].isRunning());
        const std::size_t descriptors = settledDescriptorsOf(process);
        const std::size_t peak = peakMemoryOf(process);
        MESSAGE(std::string(crowd.name) << ": peak " << peak / bytesPerKilobyte / bytesPerKilobyte << " MB, " << descriptors << " descriptors");
        CHECK(descriptors <= static_cast<std::size_t>(maxDescriptors));
        CHECK(peak > 0);
        CHECK(peak <= processMegabytes * bytesPerKilobyte * bytesPerKilobyte);
        clients.clear();
        const auto isServed = [&cluster]() {
            const std::optional<HttpResponse> answer = cluster.call(0, "POST", "/orders/2");
            return answer && answer->status == 200;
        };
        CHECK(waitFor(isServed, GatewayCluster::logTimeoutMs));
        CHECK(cluster.gateways[0].isRunning());
        // Nothing of the crowd was passed on.
        for (const ReceivedRequest &received : cluster.endpoints[0]->received()) {
            CHECK(received.request.body == "body");
        }
    }
}

TEST_CASE("Uncontrolled clients: a single request of the largest legal size is served in calm")
{
    GatewayCluster cluster(1, 1, 0, processMegabytes);
    cluster.setMaxDescriptors(0, maxDescriptors);
    REQUIRE(cluster.startServing());
    cluster.configure(2, "", limits);
    REQUIRE(cluster.logHas(0, "\"message\":\"activated\",\"version\":\"2\""));
    CallerConnection client(cluster.callerAddress(0));
    client.send(headOf(1, "Content-Length: " + std::to_string(bodyLimit)) + std::string(bodyLimit, 'x'));
    client.receive(1, GatewayCluster::logTimeoutMs);
    REQUIRE(client.responses().size() == 1);
    CHECK(client.responses()[0].status == 200);
}
