#include "gatewaycluster.h"

#include "runtime/address.h"
#include "runtime/textfile.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace oleandergate::support {

namespace asio = boost::asio;

namespace {

constexpr int timeoutMs = 20000;
constexpr int defaultGraceSeconds = 8;
constexpr std::size_t portPosition = 10; //!< In an address like 127.0.0.1:8080.

constexpr const char *defaultRoutes = R"(
    {"Name":"turns","Host":"h.example","PathPrefix":"/turns/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":0,"Service":"engine","MaxAttempts":1,"Resumable":true,"GapAimMs":200},
    {"Name":"reads","Host":"h.example","PathPrefix":"/reads/","Kind":"safe","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":1,"Service":"engine","MaxAttempts":2},
    {"Name":"orders","Host":"h.example","PathPrefix":"/orders/","Kind":"unsafe","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":1,"Service":"engine","MaxAttempts":1})";

//! Port of the metrics on the users' platform.
constexpr const char *metricsPort = "9464";

//! Returns a loopback address that stands for \p port.
std::string hostOfPort(const std::string &port)
{
    constexpr int valuesPerByte = 256;
    const int number = std::stoi(port);
    return "127.1." + std::to_string(number / valuesPerByte) + "." + std::to_string(number % valuesPerByte);
}

std::function<void(const std::string &folder)> &folderHook()
{
    static std::function<void(const std::string &folder)> hook = [](const std::string &folder) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    };
    return hook;
}

} // namespace

GatewayCluster::GatewayCluster(std::size_t gatewayCount, std::size_t endpointCount, std::size_t linkedGateways, int gatewayMegabytes)
    : root((std::filesystem::temp_directory_path() / ("oleander-gateway-" + std::to_string(::getpid()) + "-" + unusedAddress().substr(portPosition))).string())
    , gatewayMegabytes(gatewayMegabytes)
{
    std::filesystem::create_directories(this->root);
    for (std::size_t index = 0; index < endpointCount; ++index) {
        this->endpoints.push_back(std::make_unique<StandinEndpoint>("i-" + std::to_string(index)));
    }
    for (std::size_t index = 0; index < gatewayCount; ++index) {
        Addresses &own = this->addresses.emplace_back(Addresses{unusedAddress(), unusedAddress(), unusedAddress(), {}, {}, {}});
        own.metricsHost = hostOfPort(own.caller.substr(portPosition));
        own.metrics = own.metricsHost + ":" + metricsPort;
    }
    this->links.resize(linkedGateways);
    for (std::size_t index = 0; index < gatewayCount; ++index) {
        std::map<std::string, std::string> replaced;
        if (index < linkedGateways) {
            for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
                this->links[index].push_back(std::make_unique<LoopbackProxy>(endpoint->address()));
                replaced[endpoint->address()] = this->links[index].back()->address();
            }
        }
        this->addresses[index].store = this->store.addView(replaced);
    }
    this->gateways.resize(gatewayCount);
    this->graceSeconds.assign(gatewayCount, defaultGraceSeconds);
    this->maxDescriptors.assign(gatewayCount, 0);
    this->hedgeShares.assign(gatewayCount, 0.0);
    for (std::size_t index = 0; index < gatewayCount; ++index) {
        this->peerLinks.emplace_back(this->file(index, ".links"));
        this->writeSettings(index);
        this->startGateway(index);
    }
}

GatewayCluster::~GatewayCluster()
{
    this->gateways.clear();
    folderHook()(this->root);
}

void GatewayCluster::setFolderHook(std::function<void(const std::string &folder)> hook)
{
    folderHook() = std::move(hook);
}

std::string GatewayCluster::file(std::size_t gateway, const std::string &ending) const
{
    return this->root + "/front-" + std::to_string(gateway) + ending;
}

void GatewayCluster::writeSettings(std::size_t index) const
{
    const Addresses &own = this->addresses[index];
    std::ofstream out(this->file(index, ".toml"));
    out << "NodeName = \"front-" << index << "\"\nZone = \"a\"\nIp = \"" << own.metricsHost << "\"\nSeeds = [\"" << this->addresses.front().peer << "\"]\n"
        << "[Listen]\nFront = \"" << own.caller << "\"\nReady = \"" << own.ready << "\"\nControl = \"" << own.peer << "\"\n"
        << "[Bounds]\nQuotaWindowS = 5\nQuotaOver = 0.1\nQuotaSlack = 20\nGraceS = " << this->graceSeconds[index]
        << "\n[Limits]\nMemoryMb = " << this->gatewayMegabytes << "\n"
        << (this->maxDescriptors[index] > 0 ? "MaxFds = " + std::to_string(this->maxDescriptors[index]) + "\n" : std::string()) << "[Platform]\nAddress = \""
        << own.store << "\"\n";
}

std::string GatewayCluster::settingsFile(std::size_t gateway) const
{
    return this->file(gateway, ".toml");
}

std::string GatewayCluster::logFile(std::size_t gateway) const
{
    return this->file(gateway, ".log");
}

void GatewayCluster::startGateway(std::size_t index)
{
    this->startGateway(index, this->settingsFile(index), this->logFile(index));
}

void GatewayCluster::startGateway(std::size_t index, const std::string &settingsFile, const std::string &logFile)
{
    const char *bin = std::getenv("OLEANDER_BIN");
    const std::string program = (bin == nullptr ? std::string("build/release/bin") : std::string(bin)) + "/oleander-front";
    this->gateways[index] = ChildProcess(
        {program, "--settings=" + settingsFile, "--hedge-share=" + std::to_string(this->hedgeShares[index])}, logFile, this->peerLinks[index].environment());
}

bool GatewayCluster::isReady(std::size_t index) const
{
    TestRequest request;
    request.method = "GET";
    request.target = "/readiness";
    const std::optional<HttpResponse> response = sendRequest(this->addresses[index].ready, request);
    return response && response->status == 200;
}

bool GatewayCluster::waitUntilReady()
{
    return waitFor(
        [this]() {
            for (std::size_t index = 0; index < this->gateways.size(); ++index) {
                if (!this->isReady(index)) {
                    return false;
                }
            }
            return true;
        },
        timeoutMs);
}

bool GatewayCluster::startServing()
{
    this->configure(1);
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        this->registerEndpoint(index);
    }
    return this->waitUntilReady();
}

void GatewayCluster::configure(int version, const std::string &routes, const std::string &limits)
{
    const std::string engine = this->tokensPerEvent ? ",\"Engine\":{\"TokensPerEvent\":" + std::to_string(*this->tokensPerEvent) + "}" : std::string();
    const auto timeoutField = [](int timeoutMs) {
        return "\"TimeoutMs\":" + std::to_string(timeoutMs) + ",";
    };
    const std::string allRoutes
        = boost::algorithm::replace_all_copy(defaultRoutes + routes, timeoutField(defaultRouteTimeoutMs), timeoutField(this->routeTimeoutMs));
    this->store.put("op/config",
                    "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + allRoutes + "],\"Services\":[{\"Name\":\"engine\",\"MaxConns\":180" + engine
                        + "}" + this->otherServices
                        + "],"
                          "\"Limits\":"
                        + limits + (this->organisations.empty() ? std::string() : ",\"Tenants\":" + this->organisations) + "}");
}

void GatewayCluster::setRouteTimeout(int timeoutMs)
{
    this->routeTimeoutMs = timeoutMs;
}

void GatewayCluster::setTokensPerEvent(std::optional<int> tokens)
{
    this->tokensPerEvent = tokens;
}

void GatewayCluster::setOrganisations(const std::string &newOrganisations)
{
    this->organisations = newOrganisations;
}

void GatewayCluster::addService(const std::string &name, std::size_t endpointCount)
{
    this->otherServices += ",{\"Name\":\"" + name + "\",\"MaxConns\":180,\"Engine\":{\"TokensPerEvent\":10}}";
    for (std::size_t index = 0; index < endpointCount; ++index) {
        const StandinEndpoint &endpoint = *this->endpoints.emplace_back(std::make_unique<StandinEndpoint>(name + "-" + std::to_string(index)));
        this->store.put("servers/" + endpoint.identifier(), endpoint.registration(name));
    }
}

std::string GatewayCluster::firstEndpointOf(const std::string &requestId) const
{
    Time first = Time::max();
    std::string id;
    for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
        for (const ReceivedRequest &received : endpoint->received()) {
            if (received.request.header("Oleandergate-Request-Id") == requestId && received.receivedAt < first) {
                first = received.receivedAt;
                id = endpoint->identifier();
            }
        }
    }
    return id;
}

void GatewayCluster::registerEndpoint(std::size_t endpoint, const std::string &state)
{
    this->store.put("servers/" + this->endpoints[endpoint]->identifier(), this->endpoints[endpoint]->registration("engine", state));
}

std::optional<HttpResponse> GatewayCluster::call(std::size_t gateway, const std::string &method, const std::string &target, std::vector<HttpHeader> headers)
{
    TestRequest request;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    request.headers.push_back(HttpHeader{"Host", "h.example"});
    request.headers.push_back(HttpHeader{"Oleandergate-Request-Id", "r" + std::to_string(++this->requestCount)});
    request.body = method == "POST" ? "body" : "";
    return sendRequest(this->addresses[gateway].caller, request);
}

std::optional<HttpResponse> GatewayCluster::turn(std::size_t gateway, const std::string &program, int budget)
{
    return this->call(gateway,
                      "POST",
                      "/turns/1",
                      {{"Oleandergate-Program-Id", program},
                       {"Oleandergate-Session-Id", program + "-main"},
                       {"Oleandergate-Token-Budget", std::to_string(budget)},
                       {"Oleandergate-Token-Counts", "100,100"},
                       {"Oleandergate-Prompt-Prefix", "a1:100"}});
}

std::string GatewayCluster::sendRaw(std::size_t gateway, const std::string &bytes) const
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(*parseTcpAddress(this->addresses[gateway].caller));
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(answer), ended);
    return answer;
}

void GatewayCluster::setStoreRefusing(std::size_t gateway, bool refusing)
{
    this->store.setRefusingAt(this->addresses[gateway].store, refusing);
}

void GatewayCluster::setStoreRepeatingPages(std::size_t gateway, bool repeatingPages)
{
    this->store.setRepeatingPagesAt(this->addresses[gateway].store, repeatingPages);
}

void GatewayCluster::setWatchesSilent(std::size_t gateway, bool watchesSilent)
{
    this->store.setWatchesSilentAt(this->addresses[gateway].store, watchesSilent);
}

void GatewayCluster::cutPeers(const std::set<std::size_t> &cutGateways, PeerCut cut)
{
    for (std::size_t from = 0; from < this->peerLinks.size(); ++from) {
        const bool isCutOne = cutGateways.contains(from);
        const bool loses = cut == PeerCut::Both || (cut == PeerCut::Outgoing && isCutOne) || (cut == PeerCut::Incoming && !isCutOne);
        std::set<std::string> unreached;
        for (std::size_t to = 0; to < this->addresses.size(); ++to) {
            if (loses && cutGateways.contains(to) != isCutOne) {
                unreached.insert(this->addresses[to].peer);
            }
        }
        this->peerLinks[from].cut(unreached);
    }
}

void GatewayCluster::cutOff(const std::set<std::size_t> &cutGateways, PeerCut cut, StoreContact contact)
{
    this->cutPeers(cutGateways, cut);
    for (const std::size_t gateway : cutGateways) {
        this->setStoreRefusing(gateway, contact == StoreContact::Refused);
        this->setWatchesSilent(gateway, contact == StoreContact::Silent);
    }
}

void GatewayCluster::setLink(std::size_t gateway, Link link, std::optional<std::size_t> endpointCount)
{
    for (std::size_t index = 0; index < endpointCount.value_or(this->endpoints.size()); ++index) {
        this->links[gateway][index]->setLink(link);
    }
}

void GatewayCluster::setGrace(std::size_t gateway, int seconds)
{
    this->graceSeconds[gateway] = seconds;
    this->writeSettings(gateway);
    const std::size_t reloads = countOf(this->log(gateway), "reloaded settings");
    this->gateways[gateway].signal(SIGHUP);
    waitFor(
        [&]() {
            return countOf(this->log(gateway), "reloaded settings") > reloads;
        },
        timeoutMs);
}

void GatewayCluster::setMaxDescriptors(std::size_t gateway, int descriptors)
{
    this->maxDescriptors[gateway] = descriptors;
    this->writeSettings(gateway);
    this->gateways[gateway] = ChildProcess();
    this->startGateway(gateway);
}

void GatewayCluster::setHedgeShare(std::size_t gateway, double share)
{
    this->hedgeShares[gateway] = share;
    this->gateways[gateway] = ChildProcess();
    this->startGateway(gateway);
}

std::size_t GatewayCluster::receivedCount() const
{
    std::size_t count = 0;
    for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
        count += endpoint->receivedCount();
    }
    return count;
}

const std::string &GatewayCluster::callerAddress(std::size_t gateway) const
{
    return this->addresses[gateway].caller;
}

const std::string &GatewayCluster::readyAddress(std::size_t gateway) const
{
    return this->addresses[gateway].ready;
}

const std::string &GatewayCluster::peerAddress(std::size_t gateway) const
{
    return this->addresses[gateway].peer;
}

const std::string &GatewayCluster::metricsAddress(std::size_t gateway) const
{
    return this->addresses[gateway].metrics;
}

std::string GatewayCluster::log(std::size_t gateway) const
{
    return readTextFile(this->file(gateway, ".log")).value_or("");
}

void GatewayCluster::clearLog(std::size_t gateway) const
{
    std::ofstream(this->file(gateway, ".log"), std::ios::trunc);
}

bool GatewayCluster::logHas(std::size_t gateway, const std::string &text, int limitMs) const
{
    return waitFor(
        [&]() {
            return this->log(gateway).find(text) != std::string::npos;
        },
        limitMs);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        count += 1;
    }
    return count;
}

} // namespace oleandergate::support
