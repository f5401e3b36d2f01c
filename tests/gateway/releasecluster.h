#ifndef OLEANDERGATE_TESTS_GATEWAY_RELEASECLUSTER_H
#define OLEANDERGATE_TESTS_GATEWAY_RELEASECLUSTER_H

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace oleandergate::support {

inline constexpr int programCount = 16; //!< Programs whose streams a ReleaseCluster begins and takes up.

//! How often all streams are taken up while a gateway learns what it does not know, and the time between.
inline constexpr int takeUpRounds = 4;
inline constexpr std::chrono::milliseconds roundInterval(150);

//! Gateways before an endpoint of v1 and one of v2, which registers later.
struct ReleaseCluster : GatewayCluster
{
    explicit ReleaseCluster(std::size_t gatewayCount = 3)
        : GatewayCluster(gatewayCount, 2)
    {
        this->endpoints[1]->setVersion("v2");
        this->configure(1);
        this->registerEndpoint(0);
        REQUIRE(this->waitUntilReady());
        this->awaitBuckets("v1:128");
    }

    void release()
    {
        this->registerEndpoint(1);
        this->awaitBuckets("v1:64,v2:64");
    }

    //! Waits until all gateways that run know the shares.
    void awaitBuckets(const std::string &shares) const
    {
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            if (!this->ended.contains(gateway)) {
                REQUIRE(this->logHas(gateway, "\"buckets\":\"" + shares + "\""));
            }
        }
    }

    static std::vector<HttpHeader> headersOf(const std::string &program)
    {
        return {{"Oleandergate-Program-Id", program},
                {"Oleandergate-Session-Id", program + "-main"},
                {"Oleandergate-Token-Counts", "100,100"},
                {"Oleandergate-Prompt-Prefix", "a1:50," + program + ":50"}};
    }

    //! \p resumes is the attempt that began the stream; empty if the caller does not name it.
    static std::vector<HttpHeader> takeUpHeadersOf(const std::string &program, const std::string &resumes)
    {
        std::vector<HttpHeader> headers = headersOf(program);
        headers.push_back(HttpHeader{"Last-Event-Id", "2"});
        if (!resumes.empty()) {
            headers.push_back(HttpHeader{"Resumes", resumes});
        }
        return headers;
    }

    //! Begins a stream of each program. Returns how many were served; the others were refused.
    std::size_t beginAll(std::size_t gateway)
    {
        for (int number = 0; number < programCount; ++number) {
            const std::string program = "p" + std::to_string(number);
            const std::optional<HttpResponse> answer = this->call(gateway, "POST", "/turns/1", headersOf(program));
            REQUIRE(answer);
            CHECK((answer->status == 200 || answer->status == 503));
            if (answer->status == 200) {
                this->begun[program] = answer->header("Oleandergate-Request-Id");
            }
        }
        return this->begun.size();
    }

    //! Sends a first attempt of the stream of each program to \p gateway, all at once. They wait in its backlog if it stands still.
    std::vector<std::jthread> beginTogether(std::size_t gateway)
    {
        std::vector<std::jthread> callers;
        callers.reserve(programCount);
        for (int number = 0; number < programCount; ++number) {
            callers.emplace_back([this, gateway, program = "p" + std::to_string(number)]() {
                const std::optional<HttpResponse> answer = this->call(gateway, "POST", "/turns/1", headersOf(program));
                const std::lock_guard lock(this->mutex);
                if (answer && answer->status == 200) {
                    this->begun[program] = answer->header("Oleandergate-Request-Id");
                }
            });
        }
        return callers;
    }

    //! Takes the streams, or the first \p count ones, up at \p gateway. Checks that each goes on at the version that began it or is refused as not run. Returns
    //! how many were served.
    std::size_t takeUpAll(std::size_t gateway, bool isAttemptNamed = true, std::size_t count = programCount)
    {
        std::size_t served = 0;
        std::size_t takenUp = 0;
        for (const auto &each : this->begun) {
            if (++takenUp > count) {
                break;
            }
            const std::vector<HttpHeader> headers = takeUpHeadersOf(each.first, isAttemptNamed ? each.second : std::string());
            const std::size_t before = this->receivedCount();
            const std::optional<HttpResponse> answer = this->call(gateway, "POST", "/turns/1", headers);
            REQUIRE(answer);
            CAPTURE(each.first);
            CAPTURE(answer->body);
            if (answer->status == 200) {
                served += 1;
                CHECK(this->servedBy(answer->header("Oleandergate-Request-Id")) == this->servedBy(each.second));
            } else {
                CHECK(answer->status == 503);
                CHECK(this->receivedCount() == before);
            }
        }
        return served;
    }

    //! Takes all streams up at \p gateway, all at once. Checks as takeUpAll() does. Returns how many were served.
    std::size_t takeUpTogether(std::size_t gateway, bool isAttemptNamed)
    {
        std::map<std::string, std::optional<HttpResponse>> answers;
        std::vector<std::jthread> callers;
        for (const auto &[program, attempt] : this->begun) {
            callers.emplace_back([this, gateway, &answers, program = program, resumes = isAttemptNamed ? attempt : std::string()]() {
                std::optional<HttpResponse> answer = this->call(gateway, "POST", "/turns/1", takeUpHeadersOf(program, resumes));
                const std::lock_guard lock(this->mutex);
                answers[program] = std::move(answer);
            });
        }
        callers.clear();
        std::size_t served = 0;
        for (const auto &each : answers) {
            const std::string &program = each.first;
            const std::optional<HttpResponse> &answer = each.second;
            REQUIRE(answer);
            CAPTURE(program);
            CAPTURE(answer->body);
            served += answer->status == 200 ? 1 : 0;
            if (answer->status == 200) {
                CHECK(this->servedBy(answer->header("Oleandergate-Request-Id")) == this->servedBy(this->begun.at(program)));
            } else {
                CHECK(answer->status == 503);
                CHECK(this->servedBy(answer->header("Oleandergate-Request-Id")).empty());
            }
        }
        return served;
    }

    //! Takes all streams up again and again while the memory of \p gateway fills, by turns with and without the name of the attempt that began them.
    void takeUpWhileFilling(std::size_t gateway)
    {
        for (int round = 0; round < takeUpRounds; ++round) {
            this->takeUpAll(gateway, round % 2 == 0);
            std::this_thread::sleep_for(roundInterval);
        }
    }

    //! Returns the endpoint that ran the request; empty for none.
    std::string servedBy(const std::string &requestId) const
    {
        for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
            for (const ReceivedRequest &received : endpoint->received()) {
                if (received.request.header("Oleandergate-Request-Id") == requestId && received.behaviour != Behaviour::Refuse) {
                    return endpoint->identifier();
                }
            }
        }
        return {};
    }

    void end(std::size_t gateway)
    {
        this->gateways[gateway].kill();
        this->clearLog(gateway);
        this->ended.insert(gateway);
    }

    //! Starts \p gateway, and waits until it answers at all.
    void start(std::size_t gateway)
    {
        this->startGateway(gateway);
        this->ended.erase(gateway);
        REQUIRE(waitFor(
            [this, gateway]() {
                return this->call(gateway, "GET", "/none/").has_value();
            },
            logTimeoutMs));
    }

    //! Ends all processes and starts them again. Their logs begin anew.
    void restartAll()
    {
        for (ChildProcess &gateway : this->gateways) {
            gateway.signal(SIGKILL);
        }
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            this->end(gateway);
        }
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            this->start(gateway);
        }
    }

    void awaitConfiguration(std::size_t gateway) const
    {
        REQUIRE(this->logHas(gateway, R"("message":"activated","version":"1")"));
    }

    std::mutex mutex{}; //!< Guards \ref begun while callers run.
    std::map<std::string, std::string> begun{}; //!< Attempts that began the streams, by program.
    std::set<std::size_t> ended{}; //!< Gateways whose processes have ended.
};

} // namespace oleandergate::support

#endif
