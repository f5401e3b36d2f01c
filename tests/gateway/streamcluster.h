#ifndef OLEANDERGATE_TESTS_GATEWAY_STREAMCLUSTER_H
#define OLEANDERGATE_TESTS_GATEWAY_STREAMCLUSTER_H

#include "gatewaycluster.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace oleandergate::support {

//! A stream as its caller received it.
struct ReceivedStream
{
    std::string status{};
    std::vector<int> pieces{}; //!< Numbers of the events, in the order of their arrival.
    bool complete = false; //!< Ends with the last chunk.
    std::size_t heads = 0; //!< Of answers.
    std::size_t unnumbered = 0; //!< Events "[DONE]".

    //! Returns whether no piece is missing in front of another one, and none comes twice.
    bool isInOrder() const
    {
        for (std::size_t index = 0; index < this->pieces.size(); ++index) {
            if (this->pieces[index] != static_cast<int>(index) + 1) {
                return false;
            }
        }
        return !this->complete || this->isWhole();
    }

    bool isWhole() const
    {
        return this->complete && this->pieces.size() == StandinEndpoint::eventCount;
    }
};

struct StreamCluster : GatewayCluster
{
    explicit StreamCluster(std::size_t endpointCount)
        : GatewayCluster(1, endpointCount)
    {
        REQUIRE(this->startServing());
        this->configure(2, streamRoutes);
        REQUIRE(this->logHas(0, "\"version\":\"2\""));
    }

    ReceivedStream receive(const std::string &target = "/turns/1", int deadlineMs = 4000)
    {
        const std::string id = "stream-" + std::to_string(++this->streams);
        const std::string bytes = this->sendRaw(0,
                                                "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nOleandergate-Request-Id: " + id
                                                    + "\r\nOleandergate-Token-Counts: 100,100\r\nOleandergate-Prompt-Prefix: a1:100\r\n"
                                                      "Oleandergate-Deadline-Ms: "
                                                    + std::to_string(deadlineMs) + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
        ReceivedStream stream;
        stream.status = bytes.substr(0, bytes.find("\r\n"));
        stream.complete = bytes.ends_with("0\r\n\r\n");
        stream.heads = countOf(bytes, "HTTP/1.1");
        stream.unnumbered = countOf(bytes, "data: [DONE]");
        const std::string marker = "data: token ";
        for (std::size_t at = bytes.find(marker); at != std::string::npos; at = bytes.find(marker, at + 1)) {
            stream.pieces.push_back(std::stoi(bytes.substr(at + marker.size())));
        }
        return stream;
    }

    int streams = 0;
};

} // namespace oleandergate::support

#endif
