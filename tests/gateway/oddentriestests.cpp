//! Entries among the registrations of endpoints that another writer left there.

#include "gatewaycluster.h"

#include "platform/platformrecordformat.h"

#include <doctest/doctest.h>

#include <thread>

using namespace oleandergate;
using namespace oleandergate::platform;
using namespace oleandergate::support;

namespace {

std::string registrationWith(const std::string &field, const std::string &value)
{
    std::string fields;
    for (const auto &[name, text] : std::map<std::string, std::string>{{"Service", "\"engine\""},
                                                                       {"Address", "\"127.0.0.1:9\""},
                                                                       {"Zone", "\"a\""},
                                                                       {"Version", "\"v1\""},
                                                                       {"Slots", "8"},
                                                                       {"State", "\"ready\""},
                                                                       {"born", "1"}}) {
        fields += (fields.empty() ? "\"" : ",\"") + name + "\":" + (name == field ? value : text);
    }
    return "{" + fields + "}";
}

std::vector<std::string> oddEntries()
{
    constexpr std::size_t nesting = 100'000;
    std::vector<std::string> entries{std::string(nesting, '['),
                                     registrationWith("Zone", std::string(nesting, '[') + std::string(nesting, ']')),
                                     registrationWith("Slots", "4294967296"),
                                     registrationWith("Slots", "99999999999999999999999"),
                                     registrationWith("Slots", "1e300"),
                                     registrationWith("Slots", "-1"),
                                     registrationWith("Slots", "\"8\""),
                                     registrationWith("Address", "\"127.0.0.1:99999\""),
                                     registrationWith("Address", "\"127.0.0.1:0\""),
                                     registrationWith("Address", "\"127.0.0.1:-1\""),
                                     registrationWith("Address", "7"),
                                     registrationWith("Service", "\"\xff\xfe\""),
                                     registrationWith("State", "[]"),
                                     "{}",
                                     "",
                                     "null",
                                     std::string(1'000'000, 'x')};
    return entries;
}

} // namespace

TEST_CASE("Odd entries: a registration that is none is rejected, with an error that names the fields")
{
    for (const std::string &value : oddEntries()) {
        CAPTURE(value.substr(0, 120));
        KvPair pair;
        pair.key = "servers/odd";
        pair.value = value;
        const Result<EndpointEntry> entry = PlatformRecordFormat().readEndpoint(pair);
        CHECK_FALSE(entry);
    }
    // Twice the same key and a start time that is no number leave a valid registration.
    KvPair pair;
    pair.key = "servers/odd";
    for (const std::string &value : {registrationWith("born", "1e300"), registrationWith("born", "{}"), registrationWith("Slots", "3,\"Slots\":4")}) {
        pair.value = value;
        CHECK(PlatformRecordFormat().readEndpoint(pair));
    }
}

// Guards against header fields, or whole requests, that another writer puts into those that endpoints get: the identifier is sent to them.
TEST_CASE("Odd entries: a registration under a key that is no identifier is rejected")
{
    for (const std::string key : {"servers/a\r\nInjected: 1", "servers/a\nb", "servers/\x7f", "servers/", "servers", "", "other/a"}) {
        CAPTURE(key);
        KvPair pair;
        pair.key = key;
        pair.value = registrationWith("", "");
        CHECK_FALSE(PlatformRecordFormat().readEndpoint(pair));
    }
    KvPair pair;
    pair.key = "servers/a00%#&b= +\xc3\xa9";
    pair.value = registrationWith("", "");
    CHECK(PlatformRecordFormat().readEndpoint(pair));
}

// Guards against gateways that end, stop following the registrations, or fill their logs because of one entry.
TEST_CASE("Odd entries: gateways log each once, leave it out, and follow the others")
{
    GatewayCluster cluster(2, 2);
    cluster.configure(1);
    cluster.registerEndpoint(0);
    const std::vector<std::string> odd = oddEntries();
    for (std::size_t index = 0; index < odd.size(); ++index) {
        cluster.store.put("servers/odd-" + std::to_string(index), odd[index]);
    }
    REQUIRE(cluster.waitUntilReady());
    for (std::size_t index = 0; index < odd.size(); ++index) {
        cluster.store.put("servers/late-" + std::to_string(index), odd[index]);
    }
    cluster.registerEndpoint(1);
    CHECK(cluster.logHas(0, "\"endpoint\":\"i-1\""));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        const std::optional<HttpResponse> answer = cluster.call(gateway, "GET", "/reads/1");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(countOf(cluster.log(gateway), "ignored the registration servers/odd-0\"") <= 1);
    }
    CHECK(countOf(cluster.log(0) + cluster.log(1), "ignored the registration servers/odd-0\"") >= 1);
}
