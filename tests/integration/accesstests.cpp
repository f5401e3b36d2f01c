#include "testprogram.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int waitTimeoutMs = 15000;

std::size_t configVersion(TestCluster &cluster, std::size_t instance)
{
    const auto response = cluster.admin(instance, "GET", "/admin/config");
    return response && response->status == 200 ? static_cast<std::size_t>(boost::json::parse(response->body).at("version").as_int64()) : 0;
}

//! Sends raw bytes and returns everything received until the server closed the connection.
std::string sendRaw(const std::string &address, const std::string &bytes)
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const std::size_t colon = address.find(':');
    socket.connect({asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

} // namespace

TEST_CASE("A key gives access only to its organisation or to the operator API")
{
    TestCluster cluster{ClusterOptions{}};
    REQUIRE(cluster.waitReady());
    REQUIRE(createProgram(cluster, 0, "p1") == 201);
    CHECK(createProgram(cluster, 0, "p2", "wrong-key") == 401);
    CHECK(createProgram(cluster, 0, "p2", operatorKey) == 401);
    const auto otherOrganisation = cluster.call(0, TestRequest{"GET", "/v1/programs/p1", "", callHeaders("", "", 0, "", talleresKey)});
    REQUIRE(otherOrganisation);
    CHECK(otherOrganisation->status == 404);
    const auto call = cluster.call(0, TestRequest{"POST", "/v1/chat/completions", chatBody("hi"), callHeaders("p1", "r1", 1, "", talleresKey)});
    REQUIRE(call);
    CHECK(call->status == 404);
    CHECK(errorField(*call, "ran") == "no");
    const auto admin = cluster.send(cluster.adminAddresses[0], "GET", "/admin/status");
    REQUIRE(admin);
    CHECK(admin->status == 401);
    CHECK(cluster.send(cluster.adminAddresses[0], "GET", "/healthz")->status == 200);
    CHECK(countRecords(cluster, "arrival", "r1") == 0);
}

TEST_CASE("Invalid input is rejected with an error status and valid calls still succeed")
{
    ClusterOptions options;
    options.extraSettings = "[limits]\nbody_kb = 64\nheader_kb = 8\ncaller_timeout_ms = 500\n";
    TestCluster cluster(options);
    REQUIRE(cluster.waitReady());
    REQUIRE(createProgram(cluster, 0, "p1") == 201);
    const auto post = [&](const std::string &body) {
        return cluster.call(0, TestRequest{"POST", "/v1/chat/completions", body, callHeaders("p1", "x", 1)});
    };
    CHECK(post("not json")->status == 400);
    CHECK(post("{\"model\":\"atlas-7b\",\"messages\":[]}")->status == 400);
    CHECK(post("{\"model\":\"atlas-7b\",\"messages\":[1]}")->status == 400);
    CHECK(post("{\"model\":\"unknown\",\"messages\":[{}]}")->status == 404);
    CHECK(post(std::string(100000, 'x'))->status == 413);
    const std::string address = cluster.callerAddresses[0];
    CHECK(sendRaw(address, "GARBAGE\r\n\r\n").find("400") != std::string::npos);
    CHECK(sendRaw(address, "GET / HTTP/1.1\r\nX: " + std::string(20000, 'y') + "\r\n\r\n").find("431") != std::string::npos);
    CHECK(sendRaw(address, "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf").find("200 OK") == std::string::npos);
    CHECK(sendRaw(cluster.peerAddresses[0], std::string(4096, 'z')).size() <= 16);
    CHECK(chat(cluster, 0, "p1", "r1", 1)->status == 200);
}

TEST_CASE("A reused idempotency key, a used sequence number and a sequence gap are rejected")
{
    TestCluster cluster{ClusterOptions{}};
    REQUIRE(cluster.waitReady());
    REQUIRE(createProgram(cluster, 0, "p1") == 201);
    REQUIRE(chat(cluster, 0, "p1", "r1", 1)->status == 200);
    CHECK(chat(cluster, 1, "p1", "r1", 1, "another question")->status == 422);
    const auto used = chat(cluster, 1, "p1", "other", 1);
    REQUIRE(used);
    CHECK(used->status == 409);
    CHECK(errorField(*used, "code") == "sequence_used");
    const auto gap = chat(cluster, 2, "p1", "r4", 4);
    REQUIRE(gap);
    CHECK(errorField(*gap, "code") == "sequence_gap");
    CHECK(errorField(*gap, "ran") == "no");
    CHECK(countRecords(cluster, "arrival", "r4") == 0);
}

TEST_CASE("Of two concurrent configuration changes one conflicts, and the other reaches every instance and survives an outage")
{
    TestCluster cluster{ClusterOptions{}};
    REQUIRE(cluster.waitReady());
    const std::string changed = testConfiguration(0, "7.00");
    std::vector<int> statuses(2, 0);
    std::vector<std::thread> writers;
    for (std::size_t writer = 0; writer < 2; ++writer) {
        writers.emplace_back([&cluster, &statuses, &changed, writer]() {
            const auto response = cluster.admin(writer, "PUT", "/admin/config", changed, "1");
            statuses[writer] = response ? response->status : 0;
        });
    }
    for (std::thread &writer : writers) {
        writer.join();
    }
    CHECK(statuses[0] + statuses[1] == 200 + 409);
    const auto activeEverywhere = [&]() {
        return configVersion(cluster, 0) == 2 && configVersion(cluster, 1) == 2 && configVersion(cluster, 2) == 2;
    };
    CHECK(waitFor(activeEverywhere, waitTimeoutMs));
    const auto invalid = cluster.admin(0, "PUT", "/admin/config", "nonsense = true\n", "2");
    REQUIRE(invalid);
    CHECK(invalid->status == 400);
    CHECK(invalid->body.find("nonsense") != std::string::npos);

    // An instance that restarts while the key-value service is down gets the configuration from its peers.
    cluster.setFault(cluster.keyValueAddress, "down");
    cluster.instances[2].kill();
    cluster.startInstance(2);
    CHECK(waitFor(activeEverywhere, waitTimeoutMs));
    cluster.setFault(cluster.keyValueAddress, "none");
    CHECK(waitFor(activeEverywhere, waitTimeoutMs));
}
