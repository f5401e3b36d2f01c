//! Streams that callers take up without telling, or telling wrongly, which attempt began them.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int streamCount = 24;
constexpr std::chrono::milliseconds standstill{1500};

constexpr const char *splitRouteStart
    = R"(,{"Name":"split","Host":"h.example","PathPrefix":"/split/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":0,"TrafficSplit":[{"Service":"engine","Weight":)";

std::string splitRoute(int engineWeight)
{
    return splitRouteStart + std::to_string(engineWeight) + R"(},{"Service":"other","Weight":)" + std::to_string(100 - engineWeight)
        + R"(}],"MaxAttempts":1,"Resumable":true,"GapAimMs":200})";
}

//! An attempt of a stream. Streams differ in their paths and in the last parts of their prompts, as on the platform.
struct TakenUpAttempt
{
    std::string prefix = "/turns/";
    int stream = 0;
    std::string id{};
    std::string program{}; //!< Empty for none.
    std::string lastEvent{}; //!< Empty for a first attempt.
    std::string resumes{}; //!< Empty when the caller does not name the first attempt.

    std::string bytes() const
    {
        const std::string number = std::to_string(this->stream);
        std::string text = "POST " + this->prefix + number + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nConnection: close\r\n"
            + "Oleandergate-Token-Counts: 100,100\r\nOleandergate-Prompt-Prefix: a1:50,b" + number + ":50\r\nOleandergate-Request-Id: " + this->id + "\r\n";
        if (!this->program.empty()) {
            text += "Oleandergate-Program-Id: " + this->program + "\r\nOleandergate-Session-Id: " + this->program + "-main\r\n";
        }
        text += this->lastEvent.empty() ? std::string() : "Last-Event-Id: " + this->lastEvent + "\r\n";
        text += this->resumes.empty() ? std::string() : "Resumes: " + this->resumes + "\r\n";
        return text + "\r\nbody";
    }
};

//! Three gateways before two endpoints of v1 and two of v2 that joined later, with no streams under way.
struct TakeUpCluster : GatewayCluster
{
    TakeUpCluster()
        : GatewayCluster(3, 4)
    {
        this->endpoints[2]->setVersion("v2");
        this->endpoints[3]->setVersion("v2");
        this->addService("other", 2);
        this->configure(1, splitRoute(50));
        this->registerEndpoint(0);
        this->registerEndpoint(1);
        REQUIRE(this->waitUntilReady());
        this->awaitBuckets("v1:128");
        this->registerEndpoint(2);
        this->registerEndpoint(3);
        this->awaitBuckets("v1:64,v2:64");
    }

    void awaitBuckets(const std::string &shares) const
    {
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            REQUIRE(this->logHas(gateway, "\"buckets\":\"" + shares + "\""));
        }
    }

    //! Begins streams at the first gateway, each with an identifier of its own.
    std::vector<TakenUpAttempt> beginAll(const std::string &prefix, bool hasPrograms)
    {
        std::vector<TakenUpAttempt> begun;
        for (int number = 0; number < streamCount; ++number) {
            TakenUpAttempt attempt;
            attempt.prefix = prefix;
            attempt.stream = number;
            attempt.id = (hasPrograms ? "program" : "begun") + prefix + std::to_string(number);
            attempt.program = hasPrograms ? "p" + std::to_string(number) : std::string();
            REQUIRE(this->sendRaw(0, attempt.bytes()).starts_with("HTTP/1.1 200"));
            begun.push_back(attempt);
        }
        return begun;
    }

    //! Takes a stream up behind its third event. Returns whether it was served.
    bool takeUp(std::size_t gateway, TakenUpAttempt attempt, const std::string &resumes)
    {
        attempt.id = "taken-up-" + std::to_string(++this->takeUps);
        attempt.lastEvent = "3";
        attempt.resumes = resumes;
        const std::string answer = this->sendRaw(gateway, attempt.bytes());
        const bool served = answer.starts_with("HTTP/1.1 200");
        if (!served) {
            CHECK(answer.starts_with("HTTP/1.1 503"));
        }
        this->lastTakeUp = attempt.id;
        return served;
    }

    std::string versionThatGot(const std::string &request) const
    {
        const std::string id = this->firstEndpointOf(request);
        for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
            if (endpoint->identifier() == id) {
                return endpoint->softwareVersion();
            }
        }
        return {};
    }

    //! Takes all \p begun up at another gateway. Returns how many were served; none of them at another version.
    int takeUpAll(const std::vector<TakenUpAttempt> &begun, const std::function<std::string(const TakenUpAttempt &)> &resumes)
    {
        int served = 0;
        for (const TakenUpAttempt &attempt : begun) {
            if (this->takeUp(1, attempt, resumes(attempt))) {
                served += 1;
                CAPTURE(attempt.id);
                CHECK(this->versionThatGot(this->lastTakeUp) == this->versionThatGot(attempt.id));
            }
        }
        return served;
    }

    int takeUps = 0;
    std::string lastTakeUp;
};

std::string noAttempt(const TakenUpAttempt & /*attempt*/)
{
    return {};
}

} // namespace

// Guards against streams joined from two software versions: the version followed from the identifier of the new attempt where the caller named none.
TEST_CASE("Taken up: a stream whose caller does not name its first attempt goes on at the version that began it")
{
    TakeUpCluster cluster;
    const std::vector<TakenUpAttempt> begun = cluster.beginAll("/turns/", false);
    cluster.gateways[0].signal(SIGSTOP);
    std::this_thread::sleep_for(standstill);
    CHECK(cluster.takeUpAll(begun, noAttempt) == streamCount);
    cluster.gateways[0].signal(SIGCONT);
}

// Guards against refusing what is recorded: take-ups of programs that do not name their first attempt, while buckets move.
TEST_CASE("Taken up: a program's stream whose caller does not name its first attempt is served while software versions change")
{
    TakeUpCluster cluster;
    const std::vector<TakenUpAttempt> begun = cluster.beginAll("/turns/", true);
    cluster.gateways[0].signal(SIGSTOP);
    std::this_thread::sleep_for(standstill);
    CHECK(cluster.takeUpAll(begun, noAttempt) == streamCount);
    cluster.gateways[0].signal(SIGCONT);
}

// Guards against streams joined from two versions because the caller names an attempt that never was, or one of another stream.
TEST_CASE("Taken up: an attempt that did not begin the stream does not choose its software version")
{
    TakeUpCluster cluster;
    const std::vector<TakenUpAttempt> begun = cluster.beginAll("/turns/", false);
    const auto ofNone = [](const TakenUpAttempt &attempt) {
        return "never-" + attempt.id;
    };
    const auto ofAnother = [&begun](const TakenUpAttempt &attempt) {
        return begun[static_cast<std::size_t>(attempt.stream + 1) % begun.size()].id;
    };
    cluster.takeUpAll(begun, ofNone);
    cluster.takeUpAll(begun, ofAnother);
    // At the gateway that began the streams, too.
    for (const TakenUpAttempt &attempt : begun) {
        if (cluster.takeUp(0, attempt, ofAnother(attempt))) {
            CHECK(cluster.versionThatGot(cluster.lastTakeUp) == cluster.versionThatGot(attempt.id));
        }
    }
}

// Guards against a stream that goes on at another service of a split route: the identifier of the new attempt chose it where the caller named none.
TEST_CASE("Taken up: a stream of a split route whose caller does not name its first attempt goes on at the service that began it")
{
    TakeUpCluster cluster;
    for (const bool hasPrograms : {false, true}) {
        const std::vector<TakenUpAttempt> begun = cluster.beginAll("/split/", hasPrograms);
        int atOther = 0;
        int served = 0;
        for (const TakenUpAttempt &attempt : begun) {
            const bool wasAtOther = cluster.firstEndpointOf(attempt.id).starts_with("other");
            atOther += wasAtOther ? 1 : 0;
            if (cluster.takeUp(1, attempt, {})) {
                served += 1;
                CHECK(cluster.firstEndpointOf(cluster.lastTakeUp).starts_with("other") == wasAtOther);
            }
        }
        CHECK(served == streamCount);
        CHECK(atOther > 0);
        CHECK(atOther < streamCount);
    }
}

// Guards against a stream that goes on at another service because the shares of its route have changed since it began.
TEST_CASE("Taken up: a stream goes on at the service that began it, or is refused, after the shares of its route have changed")
{
    TakeUpCluster cluster;
    const std::vector<TakenUpAttempt> begun = cluster.beginAll("/split/", false);
    cluster.configure(2, splitRoute(20));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        REQUIRE(cluster.logHas(gateway, R"("version":"2")"));
    }
    int served = 0;
    for (const TakenUpAttempt &attempt : begun) {
        if (cluster.takeUp(1, attempt, attempt.id)) {
            served += 1;
            CHECK(cluster.firstEndpointOf(cluster.lastTakeUp).starts_with("other") == cluster.firstEndpointOf(attempt.id).starts_with("other"));
        }
    }
    CHECK(served > 0);
}
