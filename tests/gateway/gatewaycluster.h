#ifndef OLEANDERGATE_TESTS_GATEWAY_GATEWAYCLUSTER_H
#define OLEANDERGATE_TESTS_GATEWAY_GATEWAYCLUSTER_H

#include "standinendpoint.h"
#include "standinstore.h"
#include "support/childprocess.h"
#include "support/loopbackproxy.h"
#include "support/peerlinks.h"
#include "support/testcluster.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergate::support {

//! Routes for streams beside the default ones: one that may not be resumed, and one that may at three endpoints.
inline constexpr const char *streamRoutes = R"(,
    {"Name":"single","Host":"h.example","PathPrefix":"/single/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":0,"Service":"engine","MaxAttempts":3,"Resumable":false,"GapAimMs":200},
    {"Name":"spread","Host":"h.example","PathPrefix":"/spread/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":0,"Service":"engine","MaxAttempts":3,"Resumable":true,"GapAimMs":200})";

//! In which directions the links between some gateways and the others are cut.
enum class PeerCut : std::uint8_t {
    None,
    Both,
    Incoming, //!< Nothing of the others arrives at them.
    Outgoing, //!< Nothing of them arrives at the others.
};

//! What gateways have of the store.
enum class StoreContact : std::uint8_t {
    Whole,
    Refused,
    Silent, //!< They are answered, and no change is reported to them.
};

//! Gateway processes with a stand-in store and stand-in endpoints.
class GatewayCluster
{
public:
    //! The first \p linkedGateways gateways reach the endpoints over links of their own, which setLink() changes. Each gateway's
    //! process may use \p gatewayMegabytes of memory.
    GatewayCluster(std::size_t gateways, std::size_t endpoints, std::size_t linkedGateways = 0, int gatewayMegabytes = memoryMegabytes);
    ~GatewayCluster();
    GatewayCluster(const GatewayCluster &) = delete;
    GatewayCluster &operator=(const GatewayCluster &) = delete;

    //! Starts the gateway's process, in place of an ended one.
    void startGateway(std::size_t index);

    //! The same with another file for its settings or its log.
    void startGateway(std::size_t index, const std::string &settingsFile, const std::string &logFile);

    std::string settingsFile(std::size_t gateway) const;
    std::string logFile(std::size_t gateway) const;

    //! Returns true when the gateway's readiness check succeeds.
    bool isReady(std::size_t index) const;

    //! Waits until all gateways are ready. Returns false when that takes too long.
    bool waitUntilReady();

    //! Stores the first configuration and the registrations of all endpoints, and waits until all gateways are ready. Returns false when that takes
    //! too long.
    bool startServing();

    //! Stores a configuration with \p version; \p routes are added to the default ones.
    void configure(int version, const std::string &routes = "", const std::string &limits = defaultLimits);

    //! Sets the timeout of the routes that all configurations have, and of streamRoutes, in the configurations that follow.
    void setRouteTimeout(int timeoutMs);

    //! Sets the tokens in an event of the service "engine" in the configurations that follow; without a number it is no engine.
    void setTokensPerEvent(std::optional<int> tokens);

    //! Sets the organisations, a JSON array, of the configurations that follow; none when empty.
    void setOrganisations(const std::string &organisations);

    //! Adds \p endpointCount endpoints of another service to the configurations that follow.
    void addService(const std::string &name, std::size_t endpointCount);

    //! Returns the identifier of the endpoint that first received the request \p requestId; empty for none.
    std::string firstEndpointOf(const std::string &requestId) const;

    //! Stores the registration of \p endpoint.
    void registerEndpoint(std::size_t endpoint, const std::string &state = "ready");

    //! Sends a request with a new identifier.
    std::optional<HttpResponse> call(std::size_t gateway, const std::string &method, const std::string &target, std::vector<HttpHeader> headers = {});

    //! Sends a turn of a program with the token budget \p budget.
    std::optional<HttpResponse> turn(std::size_t gateway, const std::string &program, int budget);

    //! Sends \p bytes unchanged. Returns everything that is received until the connection ends.
    std::string sendRaw(std::size_t gateway, const std::string &bytes) const;

    //! Changes the links of \p gateway to all endpoints, or to the first \p endpointCount ones.
    void setLink(std::size_t gateway, Link link, std::optional<std::size_t> endpointCount = std::nullopt);

    //! While it refuses a gateway, the store answers its calls with status 503, and its watches report nothing.
    void setStoreRefusing(std::size_t gateway, bool refusing);

    //! While it repeats pages to a gateway, the store answers each of its readings with the first page.
    void setStoreRepeatingPages(std::size_t gateway, bool repeatingPages);

    //! While the watches of a gateway are silent, the store reports no changes to it, and answers its other calls.
    void setWatchesSilent(std::size_t gateway, bool watchesSilent);

    //! Cuts the links between \p gateways and all others in the directions of \p cut, and opens those among each other and among the others.
    void cutPeers(const std::set<std::size_t> &gateways, PeerCut cut);

    //! Cuts the links of \p gateways as cutPeers() does, and leaves them \p contact with the store.
    void cutOff(const std::set<std::size_t> &gateways, PeerCut cut, StoreContact contact);

    //! Changes how long the gateway's process may take to stop, and has it read its settings again.
    void setGrace(std::size_t gateway, int seconds);

    //! Starts the gateway anew, with at most \p descriptors open at a time by its settings.
    void setMaxDescriptors(std::size_t gateway, int descriptors);

    //! Starts the gateway anew, with \p share as the largest share of requests that are sent a second time while the first send is under way.
    void setHedgeShare(std::size_t gateway, double share);

    //! Returns the number of requests that all endpoints received together.
    std::size_t receivedCount() const;

    const std::string &callerAddress(std::size_t gateway) const;
    const std::string &readyAddress(std::size_t gateway) const;
    const std::string &peerAddress(std::size_t gateway) const;
    const std::string &metricsAddress(std::size_t gateway) const;

    //! Returns the gateway's log.
    std::string log(std::size_t gateway) const;

    //! Empties the log of a gateway whose process has ended.
    void clearLog(std::size_t gateway) const;

    //! Waits until the gateway's log has \p text. Returns false when that takes over \p limitMs.
    bool logHas(std::size_t gateway, const std::string &text, int limitMs = logTimeoutMs) const;

    //! Sets what happens with the folder of a cluster that has ended, which holds its logs; it is removed unless stated.
    static void setFolderHook(std::function<void(const std::string &folder)> hook);

    static constexpr int logTimeoutMs = 20000;
    static constexpr int defaultRouteTimeoutMs = 8000;
    static constexpr int memoryMegabytes = 110; //!< That each gateway's process may use, unless stated.
    static constexpr const char *defaultLimits = R"({"HeaderBytes":16384,"BodyBytes":4096,"HeaderMs":3000,"IdleMs":15000})";

    StandinStore store{};
    std::vector<std::unique_ptr<StandinEndpoint>> endpoints{};
    std::vector<ChildProcess> gateways{};

private:
    struct Addresses
    {
        std::string caller{};
        std::string ready{};
        std::string peer{};
        std::string metricsHost{}; //!< An IP address that no other gateway of this machine's test runs has: the port is the same for all.
        std::string metrics{};
        std::string store{};
    };

    std::string file(std::size_t gateway, const std::string &ending) const;
    void writeSettings(std::size_t index) const;

    std::string root;
    int gatewayMegabytes;
    std::string organisations; //!< A JSON array.
    std::string otherServices; //!< Their entries in configurations.
    std::optional<int> tokensPerEvent = 10; //!< Of the service "engine".
    int routeTimeoutMs = defaultRouteTimeoutMs;
    std::vector<Addresses> addresses;
    std::vector<std::vector<std::unique_ptr<LoopbackProxy>>> links; //!< By gateway and endpoint.
    std::vector<PeerLinks> peerLinks; //!< By gateway.
    std::vector<int> graceSeconds; //!< By gateway.
    std::vector<double> hedgeShares; //!< By gateway.
    std::vector<int> maxDescriptors; //!< By gateway; 0 where the settings name none.
    std::atomic<int> requestCount{0};
};

//! Returns how often \p part occurs in \p text, without overlaps.
std::size_t countOf(const std::string &text, const std::string &part);

} // namespace oleandergate::support

#endif
