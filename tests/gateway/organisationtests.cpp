//! Gateway processes whose configuration has organisations: keys, and allowances over all gateways.

#include "gatewaycluster.h"
#include "support/callerconnection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int limitMs = 20000;
constexpr const char *openRoute = R"(,
    {"Name":"open","Host":"h.example","PathPrefix":"/open/","Kind":"safe","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":1,"Service":"engine","MaxAttempts":2,"Public":true})";
constexpr const char *twoOrganisations = R"([{"Name":"first","ApiKeys":["key-1","key-2"]},{"Name":"second","ApiKeys":["key-3"],"Priority":0}])";

HttpHeader keyHeader(const std::string &key)
{
    return HttpHeader{"Authorization", "Token " + key};
}

int statusOf(GatewayCluster &cluster, std::size_t gateway, const std::string &target, const std::vector<HttpHeader> &headers)
{
    const std::optional<HttpResponse> answer = cluster.call(gateway, "GET", target, headers);
    return answer ? answer->status : 0;
}

//! Starts \p cluster with \p organisations and an open route beside the default ones.
bool startWith(GatewayCluster &cluster, const std::string &organisations)
{
    cluster.setOrganisations(organisations);
    cluster.configure(1, openRoute);
    for (std::size_t index = 0; index < cluster.endpoints.size(); ++index) {
        cluster.registerEndpoint(index);
    }
    return cluster.waitUntilReady();
}

//! Returns the most requests of \p organisation that all endpoints received in any five seconds.
std::size_t mostInWindow(const GatewayCluster &cluster, const std::string &organisation)
{
    constexpr Duration window = std::chrono::seconds(5);
    std::vector<Time> times;
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        for (const ReceivedRequest &received : endpoint->received()) {
            if (received.request.header("Oleandergate-Tenant") == organisation) {
                times.push_back(received.receivedAt);
            }
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        while (last < times.size() && times[last] - times[first] < window) {
            ++last;
        }
        most = std::max(most, last - first);
    }
    return most;
}

//! Answers that a caller got.
struct Tally
{
    int sent = 0;
    int served = 0;
    int denied = 0;
    int other = 0;
};

//! Sends \p perSecond requests a second with \p key for \p seconds, every second one to the first gateway and the others to all in turn.
//! As many may be open at once as are sent in four seconds, so that waiting for an allowance doesn't slow the sender down to it.
Tally sendSteadily(GatewayCluster &cluster, const std::string &key, int perSecond, int seconds)
{
    constexpr auto pause = std::chrono::seconds(4);
    const int threadCount = perSecond * static_cast<int>(pause.count());
    const auto beginsAt = std::chrono::steady_clock::now();
    std::vector<Tally> tallies(static_cast<std::size_t>(threadCount));
    std::vector<std::thread> threads;
    threads.reserve(tallies.size());
    for (int index = 0; index < threadCount; ++index) {
        threads.emplace_back([&cluster, &key, &tally = tallies[static_cast<std::size_t>(index)], beginsAt, pause, index, perSecond, seconds]() {
            const auto endsAt = beginsAt + std::chrono::seconds(seconds);
            const auto firstDue = beginsAt + std::chrono::microseconds(index * 1'000'000 / perSecond);
            for (auto due = firstDue; due < endsAt; due = std::max(due + pause, std::chrono::steady_clock::now())) {
                std::this_thread::sleep_until(due);
                const std::size_t number = static_cast<std::size_t>(index) + static_cast<std::size_t>(tally.sent);
                tally.sent += 1;
                const std::size_t gateway = number % 2 == 0 ? 0 : number / 2 % cluster.gateways.size();
                const int status = statusOf(cluster, gateway, "/reads/1", {keyHeader(key)});
                (status == 200 ? tally.served : status == 429 ? tally.denied : tally.other) += 1;
            }
        });
    }
    Tally total;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        total.sent += tallies[index].sent;
        total.served += tallies[index].served;
        total.denied += tallies[index].denied;
        total.other += tallies[index].other;
    }
    return total;
}

} // namespace

// Guards against requests without rights, and against a key that reaches an endpoint, a log or a peer.
TEST_CASE("Organisations: a request needs the key of one, except on open routes, and its endpoint is told whose it is")
{
    GatewayCluster cluster(2, 1);
    REQUIRE(startWith(cluster, twoOrganisations));
    const std::optional<HttpResponse> refused = cluster.call(0, "GET", "/reads/none");
    REQUIRE(refused);
    CHECK(refused->status == 401);
    CHECK(refused->header("WWW-Authenticate") == "Token");
    CHECK(refused->header("Retry-After").empty());
    CHECK(statusOf(cluster, 0, "/reads/none", {keyHeader("key-9")}) == 401);
    CHECK(statusOf(cluster, 0, "/reads/none", {HttpHeader{"Authorization", "Bearer key-1"}}) == 401);
    CHECK(statusOf(cluster, 0, "/reads/none", {keyHeader("key-1"), keyHeader("key-3")}) == 401);
    CHECK(statusOf(cluster, 0, "/reads/none", {keyHeader(std::string(15'000, 'k'))}) == 401);
    CHECK(statusOf(cluster, 0, "/reads/none", {keyHeader(std::string(17'000, 'k'))}) == 431);
    CHECK(cluster.receivedCount() == 0);

    CHECK(statusOf(cluster, 0, "/reads/1", {keyHeader("key-1"), HttpHeader{"Oleandergate-Tenant", "second"}}) == 200);
    CHECK(statusOf(cluster, 1, "/reads/2", {keyHeader("key-2")}) == 200);
    CHECK(statusOf(cluster, 1, "/reads/3", {keyHeader("key-3")}) == 200);
    CHECK(statusOf(cluster, 0, "/open/4", {HttpHeader{"Oleandergate-Tenant", "first"}}) == 200);
    CHECK(statusOf(cluster, 0, "/open/5", {keyHeader("key-9")}) == 200);
    CHECK(statusOf(cluster, 1, "/open/6", {keyHeader("key-3")}) == 200);
    const std::vector<ReceivedRequest> received = cluster.endpoints[0]->received();
    REQUIRE(received.size() == 6);
    const std::vector<std::string> organisations{"first", "first", "second", "", "", "second"};
    for (std::size_t index = 0; index < received.size(); ++index) {
        CHECK(received[index].request.header("Oleandergate-Tenant") == organisations[index]);
        CHECK(received[index].request.header("Authorization").empty());
    }
    CHECK(cluster.logHas(1, "\"organisation\":\"second\""));
    const std::string logs = cluster.log(0) + cluster.log(1);
    for (const char *key : {"key-1", "key-2", "key-3", "key-9"}) {
        CHECK(logs.find(key) == std::string::npos);
    }
}

TEST_CASE("Organisations: a gateway that knows no configuration answers 503 for any key")
{
    GatewayCluster cluster(1, 1);
    REQUIRE(waitFor(
        [&cluster]() {
            return statusOf(cluster, 0, "/reads/1", {keyHeader("key-1")}) != 0;
        },
        limitMs));
    CHECK(statusOf(cluster, 0, "/reads/1", {keyHeader("key-1")}) == 503);
    CHECK(statusOf(cluster, 0, "/reads/1", {}) == 503);
}

// Guards against a key that lives on at a gateway which the store refuses, or on a connection that was open before.
TEST_CASE("Organisations: keys come and go at a gateway that the store refuses, and on a connection that stays open")
{
    GatewayCluster cluster(2, 1);
    REQUIRE(startWith(cluster, twoOrganisations));
    CallerConnection connection(cluster.callerAddress(1));
    const auto sendOnConnection = [&connection](const std::string &id) {
        connection.send("GET /reads/1 HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: " + id + "\r\nAuthorization: Token key-3\r\n\r\n");
    };
    sendOnConnection("kept-1");
    connection.receive(1, limitMs);
    REQUIRE(connection.responses().size() == 1);
    CHECK(connection.responses()[0].status == 200);
    cluster.setStoreRefusing(1, true);
    // The last key of the second organisation.
    cluster.setOrganisations(R"([{"Name":"first","ApiKeys":["key-2","key-4"]},{"Name":"second","ApiKeys":[]}])");
    cluster.configure(2, openRoute);
    for (std::size_t gateway : {0U, 1U}) {
        CAPTURE(gateway);
        CHECK(waitFor(
            [&cluster, gateway]() {
                return statusOf(cluster, gateway, "/reads/1", {keyHeader("key-3")}) == 401;
            },
            limitMs));
        CHECK(statusOf(cluster, gateway, "/reads/1", {keyHeader("key-1")}) == 401);
        CHECK(statusOf(cluster, gateway, "/reads/1", {keyHeader("key-4")}) == 200);
        CHECK(statusOf(cluster, gateway, "/reads/1", {keyHeader("key-2")}) == 200);
    }
    sendOnConnection("kept-2");
    connection.receive(2, limitMs);
    REQUIRE(connection.responses().size() == 2);
    CHECK(connection.responses()[1].status == 401);
}

TEST_CASE("Organisations: a stream is not taken up with a key that was taken away")
{
    GatewayCluster cluster(1, 1);
    REQUIRE(startWith(cluster, twoOrganisations));
    const std::vector<HttpHeader> takeUp{keyHeader("key-1"), {"Last-Event-Id", "2"}, {"Oleandergate-Prompt-Prefix", "a1:100"}};
    cluster.setOrganisations(R"([{"Name":"first","ApiKeys":["key-2"]}])");
    cluster.configure(2, openRoute);
    CHECK(waitFor(
        [&cluster]() {
            return statusOf(cluster, 0, "/reads/1", {keyHeader("key-1")}) == 401;
        },
        limitMs));
    CHECK(cluster.call(0, "POST", "/turns/1", takeUp)->status == 401);
}

// Guards against an organisation that gets its allowance once from every gateway.
TEST_CASE("Organisations: one that sends five times its allowance through four gateways gets no more than it, and others lose nothing")
{
    GatewayCluster cluster(4, 2);
    REQUIRE(startWith(cluster,
                      R"([{"Name":"first","ApiKeys":["key-1"],"RatePerS":20,"Burst":20},{"Name":"second","ApiKeys":["key-3"],"RatePerS":20,"Burst":20}])"));
    Tally quiet;
    std::thread other([&]() {
        quiet = sendSteadily(cluster, "key-3", 8, 10);
    });
    const Tally pressing = sendSteadily(cluster, "key-1", 100, 10);
    other.join();
    // (20 a second for 5 s and a burst of 20) and a tenth, and 20 requests.
    CHECK(mostInWindow(cluster, "first") <= 152);
    // A sender that is slower than its plan shows nothing.
    CHECK(pressing.sent >= 900);
    CHECK(pressing.denied > 0);
    CHECK(pressing.other == 0);
    CHECK(quiet.denied == 0);
    CHECK(quiet.other == 0);
    MESSAGE("sent " << pressing.sent << ", served " << pressing.served << ", denied " << pressing.denied << ", most in a window "
                    << mostInWindow(cluster, "first"));
    CHECK(pressing.served >= 0.85 * (20 * 10 + 20));
}

TEST_CASE("Organisations: an allowance holds while the store refuses a gateway, another one is killed and comes back, and keys change")
{
    GatewayCluster cluster(4, 2);
    const std::string organisations = R"([{"Name":"first","ApiKeys":["key-1"KEYS],"RatePerS":20,"Burst":20}])";
    const auto withKeys = [&organisations](const std::string &keys) {
        std::string text = organisations;
        return text.replace(text.find("KEYS"), 4, keys);
    };
    REQUIRE(startWith(cluster, withKeys("")));
    std::thread trouble([&]() {
        cluster.setStoreRefusing(1, true);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        cluster.gateways[2].signal(SIGKILL);
        cluster.setOrganisations(withKeys(R"(,"key-2")"));
        cluster.configure(2, openRoute);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        cluster.startGateway(2);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        cluster.gateways[3].signal(SIGKILL);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        cluster.startGateway(3);
    });
    const Tally pressing = sendSteadily(cluster, "key-1", 100, 12);
    trouble.join();
    MESSAGE("sent " << pressing.sent << ", served " << pressing.served << ", denied " << pressing.denied << ", other " << pressing.other
                    << ", most in a window " << mostInWindow(cluster, "first"));
    CHECK(mostInWindow(cluster, "first") <= 152);
    CHECK(pressing.served > 0);
    CHECK(statusOf(cluster, 1, "/reads/1", {keyHeader("key-9")}) == 401);
}
