//! Processes that ended by themselves, or went on without a part of themselves.

#include "budgetcluster.h"
#include "runtime/address.h"
#include "runtime/textfile.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int timeoutMs = 20000;

//! A named pipe in the folder of a cluster.
struct NamedPipe
{
    explicit NamedPipe(std::string path)
        : path(std::move(path))
    {
        REQUIRE(::mkfifo(this->path.c_str(), S_IRUSR | S_IWUSR) == 0);
    }

    std::string path;
};

//! A gateway that has ended, to be started again.
struct EndedGateway : GatewayCluster
{
    EndedGateway()
        : GatewayCluster(1, 1)
    {
        REQUIRE(this->startServing());
        this->gateways[0].kill();
    }

    bool isServing()
    {
        const std::optional<HttpResponse> answer = this->call(0, "GET", "/reads/1");
        return answer && answer->status == 200;
    }

    //! Stops the gateway. Returns its exit status, or -1 if a signal ended it.
    int stop()
    {
        this->gateways[0].signal(SIGTERM);
        return this->gateways[0].wait();
    }
};

} // namespace

// Guards against processes that SIGHUP ends while they read their settings, before anything handles it.
TEST_CASE("Process ends: a signal that arrives before the settings are read ends no process, and is handled once they are")
{
    EndedGateway cluster;
    const NamedPipe settings(cluster.settingsFile(0) + ".pipe");
    const std::optional<std::string> text = readTextFile(cluster.settingsFile(0));
    REQUIRE(text);
    cluster.clearLog(0);
    cluster.startGateway(0, settings.path, cluster.logFile(0));
    {
        // Opening it waits until the process reads.
        std::ofstream writer(settings.path);
        cluster.gateways[0].signal(SIGHUP);
        writer << *text;
    }
    // Else the process reads both at once.
    CHECK(cluster.logHas(0, R"("message":"starting")"));
    {
        std::ofstream writer(settings.path);
        writer << *text;
    }
    CHECK(cluster.logHas(0, "reloaded settings"));
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.isServing());
    CHECK(cluster.stop() == 0);
}

// Guards against processes that SIGPIPE ends with the next line of their log.
TEST_CASE("Process ends: a process whose log nobody reads goes on")
{
    EndedGateway cluster;
    const NamedPipe log(cluster.logFile(0) + ".pipe");
    const int reader = ::open(log.path.c_str(), O_RDONLY | O_NONBLOCK);
    REQUIRE(reader >= 0);
    cluster.startGateway(0, cluster.settingsFile(0), log.path);
    REQUIRE(cluster.waitUntilReady());
    ::close(reader);
    // Each is logged.
    for (int version = 2; version < 5; ++version) {
        const std::string path = "/added-" + std::to_string(version) + "/";
        cluster.configure(version,
                          R"(,{"Name":"added","Host":"h.example","PathPrefix":")" + path
                              + R"(","Kind":"safe","TimeoutMs":8000,"Service":"engine","MaxAttempts":2})");
        CHECK(waitFor(
            [&cluster, &path]() {
                const std::optional<HttpResponse> answer = cluster.call(0, "GET", path + "1");
                return answer && answer->status == 200;
            },
            timeoutMs));
    }
    CHECK(cluster.stop() == 0);
}

// Guards against processes that end because the one before them at their address has not ended yet.
TEST_CASE("Process ends: a process whose address is still in use waits for it")
{
    EndedGateway cluster;
    cluster.clearLog(0);
    std::string held;
    SUBCASE("callers")
    {
        held = cluster.callerAddress(0);
    }
    SUBCASE("readiness")
    {
        held = cluster.readyAddress(0);
    }
    SUBCASE("peers")
    {
        held = cluster.peerAddress(0);
    }
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor former(context, *parseTcpAddress(held));
    cluster.startGateway(0);
    CHECK(cluster.logHas(0, "cannot bind an address"));
    former.close();
    REQUIRE(cluster.waitUntilReady());
    CHECK(cluster.isServing());
    CHECK(cluster.stop() == 0);
}

// Guards against a loop that an exception ends, silently: here the one that claims the slots of budgets.
TEST_CASE("Process ends: a record whose key no instance writes stops no part of a process")
{
    GatewayCluster cluster(2, 1);
    cluster.store.put("oleandergate/budget/slots/99999999999999999999999999", R"({"owner":"x","epoch":1})");
    REQUIRE(cluster.startServing());
    CHECK(waitFor(
        [&cluster]() {
            for (int slot = 0; slot < slotCount; ++slot) {
                if (cluster.store.value("oleandergate/budget/slots/" + std::to_string(slot)).empty()) {
                    return false;
                }
            }
            return true;
        },
        timeoutMs));
}
