#ifndef OLEANDERGATE_TESTS_GATEWAY_RESTARTCLUSTER_H
#define OLEANDERGATE_TESTS_GATEWAY_RESTARTCLUSTER_H

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <vector>

namespace oleandergate::support {

//! Streams that a RestartCluster begins and takes up.
inline constexpr int restartStreamCount = 12;

//! Gateways before two endpoints of each of two services.
struct RestartCluster : GatewayCluster
{
    explicit RestartCluster(const std::string &routes, std::size_t gatewayCount = 3)
        : GatewayCluster(gatewayCount, 2)
    {
        this->addService("other", 2);
        this->configure(1, routes);
        this->registerEndpoint(0);
        this->registerEndpoint(1);
        REQUIRE(this->waitUntilReady());
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            REQUIRE(this->logHas(gateway, R"("buckets":"v1:128")"));
        }
    }

    //! Sends an attempt of the stream \p number. It goes on behind its third event if \p resumes names its first attempt. Returns the bytes of the answer.
    std::string send(std::size_t gateway, int number, const std::string &id, const std::string &resumes = {}, const std::string &host = "h.example") const
    {
        const std::string text = std::to_string(number);
        std::string bytes = "POST /moved/" + text + "/turn HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 4\r\nConnection: close\r\n"
            + "Oleandergate-Token-Counts: 100,100\r\nOleandergate-Prompt-Prefix: a1:50,b" + text + ":50\r\nOleandergate-Request-Id: " + id
            + "\r\nOleandergate-Program-Id: p" + text + "\r\nOleandergate-Session-Id: p" + text + "-main\r\n";
        bytes += resumes.empty() ? std::string() : "Last-Event-Id: 3\r\nResumes: " + resumes + "\r\n";
        return this->sendRaw(gateway, bytes + "\r\nbody");
    }

    void beginAll(std::size_t gateway) const
    {
        for (int number = 0; number < restartStreamCount; ++number) {
            REQUIRE(this->send(gateway, number, "begun-" + std::to_string(number)).starts_with("HTTP/1.1 200"));
        }
    }

    //! Takes all streams up at \p gateway. Checks that none goes on at another service than the one that began it. Returns how many were served.
    int takeUpAll(std::size_t gateway)
    {
        int served = 0;
        for (int number = 0; number < restartStreamCount; ++number) {
            const std::string begun = "begun-" + std::to_string(number);
            const std::string id = "taken-up-" + std::to_string(++this->takeUps);
            const std::string answer = this->send(gateway, number, id, begun);
            CAPTURE(answer);
            if (!answer.starts_with("HTTP/1.1 200")) {
                CHECK(answer.starts_with("HTTP/1.1 503"));
                continue;
            }
            served += 1;
            CHECK(this->firstEndpointOf(id).starts_with("other") == this->firstEndpointOf(begun).starts_with("other"));
        }
        return served;
    }

    //! Waits until the instance knows the software version at which the streams of \p service run.
    void awaitAssignment(std::size_t gateway, const std::string &service) const
    {
        REQUIRE(this->logHas(gateway, R"("service":")" + service + R"(","buckets":"v1:128")"));
    }

    void awaitVersion(std::size_t gateway, int version) const
    {
        REQUIRE(this->logHas(gateway, R"("message":"activated","version":")" + std::to_string(version) + "\""));
    }

    //! Ends the processes of \p gatewaysToRestart at the same moment, and starts them again. Their logs begin anew.
    void restart(const std::vector<std::size_t> &gatewaysToRestart)
    {
        for (const std::size_t gateway : gatewaysToRestart) {
            this->gateways[gateway].signal(SIGKILL);
        }
        for (const std::size_t gateway : gatewaysToRestart) {
            this->gateways[gateway].kill();
            this->clearLog(gateway);
            this->startGateway(gateway);
        }
    }

    int takeUps = 0;
};

} // namespace oleandergate::support

#endif
