#ifndef OLEANDERGATE_TESTS_GATEWAY_GATEWAYCLUSTER_H
#define OLEANDERGATE_TESTS_GATEWAY_GATEWAYCLUSTER_H

#include "standinendpoint.h"
#include "standinstore.h"
#include "support/childprocess.h"
#include "support/testcluster.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate::support {

//! Gateway processes in front of a stand-in store and stand-in endpoints.
class GatewayCluster
{
public:
    GatewayCluster(std::size_t gateways, std::size_t endpoints);
    ~GatewayCluster();
    GatewayCluster(const GatewayCluster &) = delete;
    GatewayCluster &operator=(const GatewayCluster &) = delete;

    void startGateway(std::size_t index);
    bool isReady(std::size_t index) const;
    bool waitUntilReady();

    //! Puts the configuration with \p version in force; \p routes are added to the usual ones.
    void configure(int version, const std::string &routes = "");
    void registerEndpoint(std::size_t endpoint, const std::string &state = "ready");

    //! Sends a request with a fresh identifier.
    std::optional<HttpResponse> call(std::size_t gateway, const std::string &method, const std::string &target, std::vector<HttpHeader> headers = {});

    //! Sends a turn of a program.
    std::optional<HttpResponse> turn(std::size_t gateway, const std::string &program, int budget);

    //! Sends \p bytes as they are and returns all that comes back until the connection ends.
    std::string sendRaw(std::size_t gateway, const std::string &bytes) const;

    //! Returns how many requests all endpoints received.
    std::size_t receivedCount() const;

    const std::string &callerAddress(std::size_t gateway) const;

    //! Returns the front's log.
    std::string log(std::size_t gateway) const;

    StandinStore store{};
    std::vector<std::unique_ptr<StandinEndpoint>> endpoints{};
    std::vector<ChildProcess> gateways{};

private:
    struct Addresses
    {
        std::string caller{};
        std::string ready{};
        std::string peer{};
    };

    std::string file(std::size_t gateway, const std::string &ending) const;
    void writeSettings(std::size_t index) const;

    std::string root;
    std::vector<Addresses> addresses;
    int requestCount = 0;
};

} // namespace oleandergate::support

#endif
