//! Parsing of the platform's formats, with valid and malformed input.

#include "config/configuration.h"
#include "decision/organisationtable.h"
#include "platform/platformheadercodec.h"
#include "platform/platformrecordformat.h"
#include "platform/platformsettings.h"

#include <doctest/doctest.h>

#include <random>

using namespace oleandergate;
using namespace oleandergate::platform;

namespace {

HttpRequest turnRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.body = "body";
    request.headers = {{"Host", "h.example"},
                       {"Oleandergate-Request-Id", "r1"},
                       {"Oleandergate-Deadline-Ms", "4000"},
                       {"Oleandergate-Program-Id", "p1"},
                       {"Oleandergate-Session-Id", "s1"},
                       {"Oleandergate-Finish-Ms", "5200"},
                       {"Oleandergate-Token-Budget", "2320"},
                       {"Oleandergate-Token-Counts", "1840,290"},
                       {"Oleandergate-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                       {"Last-Event-Id", "12"},
                       {"X-Other", "kept"}};
    return request;
}

bool has(const std::vector<HttpHeader> &headers, const std::string &name, const std::string &value)
{
    return std::any_of(headers.begin(), headers.end(), [&](const HttpHeader &header) {
        return header.name == name && header.value == value;
    });
}

const char *configuration = R"({"Version":7,"Routes":[
    {"Name":"r1","Host":"h.example","PathPrefix":"/a/","Kind":"streaming","TimeoutMs":4000,"TargetLatencyMs":250,"Priority":1,"Service":"s1","MaxAttempts":1,"Resumable":true,"GapAimMs":200},
    {"Name":"r2","Host":"h.example","PathPrefix":"/b/","Kind":"unsafe","TimeoutMs":6000,"TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}]}],
    "Services":[{"Name":"s1","MaxConns":180,"Engine":{"TokensPerEvent":10}},{"Name":"s2","MaxConns":110}],
    "Limits":{"HeaderBytes":16384,"BodyBytes":1000,"HeaderMs":3000,"IdleMs":15000}})";

} // namespace

TEST_CASE("The headers of a turn are parsed")
{
    const Result<RelayCall> call = PlatformHeaderCodec().decode(turnRequest());
    REQUIRE(call);
    CHECK(call.value().requestId == "r1");
    CHECK(call.value().timeLeft == std::chrono::seconds(4));
    CHECK(call.value().resumeAfter == 12);
    CHECK(call.value().program->program == "p1");
    CHECK(call.value().program->branch == "s1");
    CHECK(call.value().program->tokenBudget == 2320);
    CHECK(call.value().promptTokens == 1840);
    CHECK(call.value().maxTokens == 290);
    REQUIRE(call.value().promptParts.size() == 2);
    CHECK(call.value().promptParts[1].tokens == 410);
}

// Guards against budgets that are granted again, as the time within which programs return was not read.
TEST_CASE("The time within which programs return is read from each route, and the longest one counts")
{
    const auto retentionOf = [](const std::string &first, const std::string &second) {
        const auto route = [](const std::string &name, const std::string &field) {
            return R"({"Name":")" + name + R"(","Host":"h.example","PathPrefix":"/)" + name + R"(/","Kind":"streaming","TimeoutMs":4000,"Service":"s")" + field
                + "}";
        };
        const Result<GatewayConfiguration> read
            = PlatformRecordFormat().readConfiguration(R"({"Version":7,"Routes":[)" + route("a", first) + "," + route("b", second) + R"(],"Services":[]})");
        REQUIRE(read);
        return longestRetention(read.value().routes);
    };
    CHECK(retentionOf("", "") == std::nullopt);
    CHECK(retentionOf(R"(,"RetentionS":100)", "") == std::chrono::seconds(100));
    CHECK(retentionOf(R"(,"RetentionS":100)", R"(,"RetentionS":3600)") == std::chrono::hours(1));
    CHECK(retentionOf(R"(,"RetentionS":0)", R"(,"RetentionS":0.5)") == std::chrono::milliseconds(500));
    CHECK(retentionOf(R"(,"RetentionS":"long")", R"(,"RetentionS":-3)") == Duration::zero());
    CHECK(retentionOf(R"(,"RetentionS":1e300)", "") == std::chrono::hours(24));
}

TEST_CASE("An endpoint receives the remaining time, and no header that is reserved for the gateway")
{
    HttpRequest request = turnRequest();
    for (const char *own : {"Oleandergate-Hold", "oleandergate-pin-ms", "Oleandergate-Kv-Backup", "Kv-From", "Kv-Fetch", "Oleandergate-Expect-Instance"}) {
        request.headers.push_back(HttpHeader{own, "x"});
    }
    const Result<RelayCall> call = PlatformHeaderCodec().decode(std::move(request));
    REQUIRE(call);
    ForwardingOptions options;
    options.expectedEndpoint = "i-1";
    options.timeLeft = std::chrono::milliseconds(1500);
    const std::vector<HttpHeader> headers = PlatformHeaderCodec().encode(call.value(), options);
    CHECK(has(headers, "Oleandergate-Deadline-Ms", "1500"));
    CHECK(has(headers, "Oleandergate-Expect-Instance", "i-1"));
    CHECK(has(headers, "Oleandergate-Request-Id", "r1"));
    CHECK(has(headers, "X-Other", "kept"));
    for (const HttpHeader &header : headers) {
        CHECK(header.value != "x");
        CHECK(header.name != "Last-Event-Id");
    }
}

TEST_CASE("A request without an identifier or with a malformed number is refused")
{
    HttpRequest nameless = turnRequest();
    std::erase_if(nameless.headers, [](const HttpHeader &header) {
        return header.name == "Oleandergate-Request-Id";
    });
    CHECK(PlatformHeaderCodec().decode(std::move(nameless)).error().code == ErrorCode::BadRequest);
    HttpRequest damaged = turnRequest();
    damaged.headers[2].value = "40x0";
    CHECK(PlatformHeaderCodec().decode(std::move(damaged)).error().code == ErrorCode::BadRequest);
}

TEST_CASE("The rate limit that an endpoint names is parsed, and one that is no positive finite number is unreadable")
{
    const auto metadataWith = [](const std::string &limit) {
        HttpResponse answer;
        answer.headers.push_back(HttpHeader{"Server-Limit", limit});
        return PlatformHeaderCodec().readAnswerMetadata(answer);
    };
    CHECK(metadataWith("8").callsPerSecond == 8.0);
    CHECK(metadataWith("0.25").callsPerSecond == 0.25);
    for (const char *unreadable : {"0", "-3", "nan", "inf", "1e999", "8 a second", "eight", "0x8"}) {
        CAPTURE(unreadable);
        CHECK_FALSE(metadataWith(unreadable).callsPerSecond);
        CHECK(metadataWith(unreadable).hasUnreadableRateLimit);
    }
    const AnswerMetadata without = PlatformHeaderCodec().readAnswerMetadata(HttpResponse());
    CHECK_FALSE(without.callsPerSecond);
    CHECK_FALSE(without.hasUnreadableRateLimit);
}

// Guards against weights that are read from an event's data, or from its number.
TEST_CASE("The weights that an event states are read from its first line only")
{
    const PlatformHeaderCodec codec;
    CHECK(codec.readEventWeights("oleandergate-weight-versions: 8\nid: 4\ndata: a\n\n") == 8);
    CHECK(codec.readEventWeights("oleandergate-weight-versions:8\r\nid: 4\r\n\r\n") == 8);
    for (const char *other :
         {"id: 4\noleandergate-weight-versions: 8\n\n", "data: oleandergate-weight-versions: 8\n\n", "oleandergate-weight-versions: x\n\n", ""}) {
        CAPTURE(other);
        CHECK_FALSE(codec.readEventWeights(other));
    }
}

TEST_CASE("Retry-After has fractions of a second")
{
    CHECK(PlatformHeaderCodec().retryAfter(std::chrono::milliseconds(250)).value == "0.250");
}

TEST_CASE("A configuration is parsed with its routes, traffic splits, services and limits")
{
    const Result<GatewayConfiguration> read = PlatformRecordFormat().readConfiguration(configuration);
    REQUIRE(read);
    CHECK(read.value().version == 7);
    REQUIRE(read.value().routes.size() == 2);
    CHECK(read.value().routes[0].kind == RouteKind::Stream);
    CHECK(read.value().routes[0].resumable);
    CHECK(read.value().routes[1].kind == RouteKind::Once);
    CHECK(read.value().routes[1].targets.size() == 2);
    CHECK(read.value().services[0].isEngine);
    CHECK(read.value().services[0].tokensPerEvent == 10);
    CHECK(read.value().bounds.bodyBytes == 1000);
}

TEST_CASE("A configuration with an unknown kind of route is refused, and the error names the route")
{
    std::string text = configuration;
    text.replace(text.find("unsafe"), 6, "sometimes");
    const Result<GatewayConfiguration> read = PlatformRecordFormat().readConfiguration(text);
    REQUIRE_FALSE(read);
    CHECK(read.error().detail.find("r2") != std::string::npos);
}

// Guards against keys in memory and in what peers are sent.
TEST_CASE("Organisations: a configuration is parsed with their hashed keys, also where a peer has replaced the keys by hashes")
{
    const std::string text = std::string(R"({"Version":8,"Tenants":[{"Name":"o1","ApiKeys":["k1","k2"],"Priority":2,"RatePerS":8.5,"Burst":3},{"Name":"o2"}],)")
        + std::string(configuration).substr(std::string_view(R"({"Version":7,)").size());
    const PlatformRecordFormat records;
    const std::string shared = records.withoutKeys(text);
    CHECK(shared.find("k1") == std::string::npos);
    CHECK(records.withoutKeys(shared) == shared);
    for (const std::string &document : {text, shared}) {
        const Result<GatewayConfiguration> read = records.readConfiguration(document);
        REQUIRE(read);
        CHECK(read.value().identifiesCallers);
        REQUIRE(read.value().organisations.size() == 2);
        const Organisation &first = read.value().organisations[0];
        CHECK(first.name == "o1");
        CHECK(first.keyHashes == std::vector<std::string>{sha256Hex("k1"), sha256Hex("k2")});
        CHECK(first.rank == 2);
        CHECK(first.allowance == Allowance{8.5, 3.0});
        CHECK(read.value().organisations[1].keyHashes.empty());
        CHECK_FALSE(read.value().organisations[1].rank);
        CHECK(read.value().routes.size() == 2);
        CHECK(read.value().bounds.bodyBytes == 1000);
    }
    CHECK(records.withoutKeys(configuration) == configuration);
    CHECK_FALSE(records.readConfiguration(configuration).value().identifiesCallers);
    CHECK(records.readConfiguration(R"({"Version":9,"Tenants":[]})").value().identifiesCallers);
}

TEST_CASE("Organisations: a configuration that leaves their rights open is refused, and the error does not name a key")
{
    for (const char *organisations : {R"([{"Name":"","ApiKeys":["secret"]}])",
                                      R"([{"ApiKeys":["secret"]}])",
                                      R"([{"Name":"o\r\nX: y","ApiKeys":["secret"]}])",
                                      R"([{"Name":"o1","ApiKeys":["secret"]},{"Name":"o2","ApiKeys":["k2","secret"]}])",
                                      R"([{"Name":"o1","ApiKeys":["secret"]},{"Name":"o1","ApiKeys":["k2"]}])",
                                      R"([{"Name":"o1","ApiKeys":["secret"],"RatePerS":-1}])",
                                      R"([{"Name":"o1","ApiKeys":["secret"],"RatePerS":"8"}])",
                                      R"([{"Name":"o1","ApiKeys":["secret"],"Burst":-0.5}])",
                                      R"([{"Name":"o1","ApiKeys":["secret",""]}])",
                                      R"([{"Name":"o1","ApiKeys":["secret",7]}])",
                                      R"([{"Name":"o1","ApiKeys":"secret"}])"}) {
        CAPTURE(organisations);
        const Result<GatewayConfiguration> read = PlatformRecordFormat().readConfiguration(R"({"Version":8,"Tenants":)" + std::string(organisations) + "}");
        REQUIRE_FALSE(read);
        CHECK(read.error().code == ErrorCode::InvalidConfiguration);
        CHECK(read.error().detail.find("secret") == std::string::npos);
    }
    // A key that is listed twice and a burst without a rate leave nothing open.
    CHECK(PlatformRecordFormat().readConfiguration(R"({"Version":8,"Tenants":[{"Name":"o1","ApiKeys":["k","k"],"Burst":4}]})"));
}

TEST_CASE("Organisations: ten thousand of them with two keys each are read")
{
    std::string text = R"({"Version":8,"Tenants":[)";
    for (int index = 0; index < 10'000; ++index) {
        const std::string number = std::to_string(index);
        text += index == 0 ? "" : ",";
        text += R"({"Name":"o)";
        text += number;
        text += R"(","ApiKeys":["first-key-of-)";
        text += number;
        text += R"(","second-key-of-)";
        text += number;
        text += R"("],"RatePerS":8,"Burst":8})";
    }
    const Result<GatewayConfiguration> read = PlatformRecordFormat().readConfiguration(text + "]}");
    REQUIRE(read);
    CHECK(read.value().organisations.size() == 10'000);
    CHECK(OrganisationTable(read.value().organisations).findByKeyHash(sha256Hex("second-key-of-9999"))->name == "o9999");
}

TEST_CASE("Organisations: exactly one key with the right scheme is read from a request")
{
    const auto keyHashOf = [](const std::vector<std::string> &credentials) {
        HttpRequest request = turnRequest();
        for (const std::string &value : credentials) {
            request.headers.push_back(HttpHeader{"authorization", value});
        }
        return PlatformHeaderCodec().decode(std::move(request)).value().keyHash;
    };
    CHECK(keyHashOf({"Token k1"}) == sha256Hex("k1"));
    CHECK(keyHashOf({"token  k1 "}) == sha256Hex("k1"));
    CHECK(keyHashOf({"Token " + std::string(15'000, 'k')}) == sha256Hex(std::string(15'000, 'k')));
    for (const char *other : {"", "k1", "Token", "Token ", "Bearer k1", "Tokenk1"}) {
        CHECK(keyHashOf({other}).empty());
    }
    CHECK(keyHashOf({"Token k1", "Token k1"}).empty());
    CHECK(keyHashOf({"Token k1", "Token k2"}).empty());
    CHECK(keyHashOf({}).empty());
}

TEST_CASE("Organisations: an endpoint sees the organisation that the gateway found, and no key; without organisations it sees what the caller sent")
{
    HttpRequest request = turnRequest();
    request.headers.push_back(HttpHeader{"Authorization", "Token k1"});
    request.headers.push_back(HttpHeader{"oleandergate-tenant", "forged"});
    RelayCall call = PlatformHeaderCodec().decode(std::move(request)).value();
    CHECK(has(PlatformHeaderCodec().encode(call, ForwardingOptions()), "Authorization", "Token k1"));
    call.isIdentified = true;
    for (const char *organisation : {"o1", ""}) {
        call.organisation = organisation;
        const std::vector<HttpHeader> headers = PlatformHeaderCodec().encode(call, ForwardingOptions());
        CHECK(has(headers, "Oleandergate-Tenant", "o1") == !call.organisation.empty());
        for (const HttpHeader &header : headers) {
            CHECK(header.value != "forged");
            CHECK(header.value.find("k1") == std::string::npos);
        }
    }
}

TEST_CASE("A registration yields an endpoint only if every field is valid")
{
    const PlatformRecordFormat records;
    const std::string good = R"({"Service":"s1","Address":"10.128.0.9:8080","Zone":"a","Version":"v1.2","Slots":16,"State":"draining","Seq":4,"born":17})";
    const Result<EndpointEntry> entry = records.readEndpoint(KvPair{"servers/i-1", good, 1});
    REQUIRE(entry);
    CHECK(entry.value().spec.id == "i-1");
    CHECK(entry.value().spec.leaving);
    CHECK(entry.value().startedAt == 17);
    CHECK(entry.value().spec.version == "v1.2");
    for (const char *bad : {"",
                            "[]",
                            R"({"Service":"s1"})",
                            R"({"Service":"s1","Address":"10.128.0.9:8080","Slots":"16","State":"ready"})",
                            R"({"Service":"s1","Address":"10.128.0.9:8080","Slots":16,"State":"resting"})",
                            R"({"Service":"s1","Address":"host:80","Slots":16,"State":"ready"})",
                            R"({"Service":7,"Address":"10.128.0.9:8080","Slots":16,"State":"ready"})"}) {
        CHECK_FALSE(records.readEndpoint(KvPair{"servers/i-1", bad, 1}));
    }
}

TEST_CASE("Parsing malformed documents never ends the process")
{
    const PlatformRecordFormat records;
    std::mt19937 random(20261204);
    for (int round = 0; round < 3000; ++round) {
        std::string text = configuration;
        for (int damage = 0; damage < 3; ++damage) {
            text[random() % text.size()] = static_cast<char>(random() % 256);
        }
        (void)records.readConfiguration(text);
        (void)records.readEndpoint(KvPair{"servers/i-1", text, 1});
    }
    CHECK(records.readConfiguration(configuration));
}

TEST_CASE("Settings in the platform's format are validated, and unknown fields are ignored")
{
    const std::string good = "NodeName = \"n\"\nZone = \"z\"\nIp = \"10.1.0.38\"\nSeeds = [\"10.1.0.38:8144\"]\nNew = 3\n"
                             "[Listen]\nFront = \"10.1.0.38:8149\"\nReady = \"10.1.0.38:8141\"\nControl = \"10.1.0.38:8144\"\n"
                             "[Bounds]\nGraceS = 8.5\n[Platform]\nAddress = \"10.200.1.7:8142\"\n";
    ConfigIssues issues;
    const std::optional<PlatformSettings> settings = readPlatformSettings(good, "boot.toml", issues);
    REQUIRE(settings);
    CHECK(settings->gateway.drainLimit == std::chrono::milliseconds(8500));
    CHECK(settings->gateway.callerAddress == "10.1.0.38:8149");
    CHECK(settings->storeAddress == "10.200.1.7:8142");
    CHECK(settings->gateway.allowanceTolerance.calls == 0.0);
    ConfigIssues none;
    std::string tolerant = good;
    tolerant.replace(tolerant.find("GraceS"), 0, "QuotaWindowS = 5\nQuotaOver = 0.1\nQuotaSlack = 20\n");
    const std::optional<PlatformSettings> withTolerance = readPlatformSettings(tolerant, "boot.toml", none);
    REQUIRE(withTolerance);
    CHECK(withTolerance->gateway.allowanceTolerance.window == std::chrono::seconds(5));
    CHECK(withTolerance->gateway.allowanceTolerance.share == 0.1);
    CHECK(withTolerance->gateway.allowanceTolerance.calls == 20.0);
    ConfigIssues faults;
    CHECK_FALSE(readPlatformSettings("NodeName = 3\n", "boot.toml", faults));
    CHECK_FALSE(faults.empty());
}
