#include "support/testcluster.h"

#include "config/configuration.h"
#include "runtime/clock.h"
#include "runtime/httpclient.h"
#include "support/portblock.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace oleandergate::support {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *peerKey = "test-peer-key-of-thirty-two-chars-or-more";
const std::vector<std::string> failureDomains{"souss-a", "souss-b", "souss-c"};

//! Longest wait for the stand-ins to answer, and for an instance to accept the configuration.
constexpr int startTimeoutMs = 10000;

//! Number of slots of a cluster; the default of the instances.
constexpr std::int64_t slotCount = 64;

constexpr std::chrono::milliseconds checkInterval{20};

} // namespace

std::optional<HttpResponse> sendRequest(const std::string &address, const TestRequest &request)
{
    asio::io_context context;
    HttpClient client(context);
    HttpCall call;
    call.address = address;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.headers = request.headers;
    call.idleTimeout = std::chrono::milliseconds(request.timeoutMs);
    std::optional<HttpResponse> response;
    const auto run = [&]() -> asio::awaitable<void> {
        HttpOutcome outcome = co_await client.send(std::move(call), Step::Receive);
        if (outcome) {
            response = std::move(outcome.value());
        }
    };
    asio::co_spawn(asio::make_strand(context), run(), asio::detached);
    context.run();
    return response;
}

std::string unusedAddress()
{
    static PortBlock ports;
    asio::io_context context;
    while (true) {
        const auto port = static_cast<std::uint16_t>(ports.next());
        boost::system::error_code tcpError;
        boost::system::error_code udpError;
        const auto host = asio::ip::make_address("127.0.0.1");
        asio::ip::tcp::socket stream(context, asio::ip::tcp::v4());
        stream.bind({host, port}, tcpError);
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        datagrams.bind({host, port}, udpError);
        if (!tcpError && !udpError) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

bool waitFor(const std::function<bool()> &check, int timeoutMs)
{
    const auto giveUpAt = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (!check()) {
        if (std::chrono::steady_clock::now() > giveUpAt) {
            return false;
        }
        std::this_thread::sleep_for(checkInterval);
    }
    return true;
}

std::string testConfiguration(int peakTokensPerMinute, const std::string &budget)
{
    std::string text = "[peak]\ntokens_per_minute = " + std::to_string(peakTokensPerMinute) + "\n";
    text += "[[operator]]\nname = \"amina\"\nkey_hash = \"" + sha256Hex(operatorKey) + "\"\n";
    text += "[[organisation]]\nname = \"nakhla\"\nkey_hashes = [\"" + sha256Hex(nakhlaKey) + "\"]\n";
    text += "[[organisation]]\nname = \"talleres\"\nkey_hashes = [\"" + sha256Hex(talleresKey) + "\"]\n";
    text += "[[pool]]\nname = \"atlas\"\nservice = \"atlas-llm\"\nmodels = [\"atlas-7b\"]\nprice_per_1k_tokens = \"0.002\"\nidle_timeout_ms = 1500\nfencing = "
            "true\n";
    text += "[[service]]\nname = \"dispatch-app\"\noutcome_path = \"/outcomes/\"\ntimeout_ms = 1000\n";
    text += "[[service.route]]\nprefix = \"/positions\"\nrepeatable = true\n";
    text += "[[service.route]]\nprefix = \"/bookings\"\nprice = \"0.01\"\n";
    for (const char *organisation : {"nakhla", "talleres"}) {
        text += "[[program]]\nname = \"round\"\norganisation = \"" + std::string(organisation) + "\"\nbudget = \"" + budget
            + "\"\ndeadline_s = 120\npools = [\"atlas\"]\nservices = [\"dispatch-app\"]\n";
    }
    return text;
}

std::vector<HttpHeader> callHeaders(const std::string &program, const std::string &request, int sequence, const std::string &branch, const char *key)
{
    std::vector<HttpHeader> headers{{"Authorization", std::string("Bearer ") + key}, {"Program-Id", program}, {"Content-Type", "application/json"}};
    if (!request.empty()) {
        headers.push_back(HttpHeader{"Idempotency-Key", request});
    }
    if (sequence > 0) {
        headers.push_back(HttpHeader{"Program-Sequence", std::to_string(sequence)});
    }
    if (!branch.empty()) {
        headers.push_back(HttpHeader{"Program-Branch", branch});
    }
    return headers;
}

std::string chatBody(const std::string &text, bool stream)
{
    const json::object message{{"role", "user"}, {"content", text}};
    return json::serialize(json::object{{"model", "atlas-7b"}, {"messages", json::array{message}}, {"max_tokens", 256}, {"stream", stream}});
}

TestCluster::TestCluster(const ClusterOptions &options)
    : options(options)
{
    const char *folder = std::getenv("OLEANDER_BIN");
    this->programFolder = folder == nullptr ? "build/release/bin" : folder;
    std::string pattern = (std::filesystem::temp_directory_path() / "oleandergate-XXXXXX").string();
    this->workFolder = ::mkdtemp(pattern.data());
    this->keyValueAddress = unusedAddress();
    this->listAddress = unusedAddress();
    this->keyValue = ChildProcess({this->program("standin-kv"), "--listen=" + this->keyValueAddress}, this->logFile("kv"));
    this->instanceList = ChildProcess(
        {this->program("standin-instances"), "--listen=" + this->listAddress, "--lag-ms=" + std::to_string(options.instanceListLagMs)}, this->logFile("list"));
    for (std::size_t index = 0; index < options.engines; ++index) {
        const std::string name = "engine-" + std::to_string(index);
        this->engineAddresses.push_back(unusedAddress());
        this->engines.emplace_back(std::vector<std::string>{this->program("standin-engine"),
                                                            "--listen=" + this->engineAddresses.back(),
                                                            "--name=" + name,
                                                            "--record=" + this->workFolder + "/" + name + ".record",
                                                            "--slots=" + std::to_string(options.engineSlots),
                                                            "--token-us=" + std::to_string(options.engineTokenUs),
                                                            "--fencing=" + options.fencing},
                                   this->logFile(name));
    }
    for (std::size_t index = 0; index < options.tools; ++index) {
        const std::string name = "tool-" + std::to_string(index);
        this->toolAddresses.push_back(unusedAddress());
        this->tools.emplace_back(std::vector<std::string>{this->program("standin-tool"),
                                                          "--listen=" + this->toolAddresses.back(),
                                                          "--name=" + name,
                                                          "--record=" + this->workFolder + "/" + name + ".record"},
                                 this->logFile(name));
    }
    for (std::size_t index = 0; index < options.instances; ++index) {
        this->callerAddresses.push_back(unusedAddress());
        this->adminAddresses.push_back(unusedAddress());
        this->peerAddresses.push_back(unusedAddress());
    }
    waitFor(
        [this]() {
            return this->send(this->listAddress, "GET", "/v1/health/service/none").has_value()
                && this->send(this->keyValueAddress, "GET", "/stats").has_value();
        },
        startTimeoutMs);
    for (std::size_t index = 0; index < options.engines; ++index) {
        this->registerEndpoint("atlas-llm", "engine-" + std::to_string(index), this->engineAddresses[index], "live");
    }
    for (std::size_t index = 0; index < options.tools; ++index) {
        this->registerEndpoint("dispatch-app", "tool-" + std::to_string(index), this->toolAddresses[index], "live");
    }
    for (std::size_t index = 0; index < options.instances; ++index) {
        this->writeSettings(index);
        this->instances.emplace_back();
        this->startInstance(index);
    }
    const std::string text = options.configuration.empty() ? testConfiguration() : options.configuration;
    waitFor(
        [this, &text]() {
            TestRequest request{"PUT", "/admin/config", text, {{"Authorization", std::string("Bearer ") + peerKey}, {"If-Match", "0"}}};
            const auto response = sendRequest(this->adminAddresses.front(), request);
            return response && response->status == 200;
        },
        startTimeoutMs);
}

TestCluster::~TestCluster()
{
    this->instances.clear();
    this->engines.clear();
    this->tools.clear();
    this->keyValue.kill();
    this->instanceList.kill();
    std::error_code ignored;
    if (std::getenv("OLEANDER_KEEP") == nullptr) {
        std::filesystem::remove_all(this->workFolder, ignored);
    }
}

std::string TestCluster::program(const std::string &name) const
{
    return this->programFolder + "/" + name;
}

std::string TestCluster::logFile(const std::string &name) const
{
    return this->workFolder + "/" + name + ".log";
}

std::string TestCluster::folder() const
{
    return this->workFolder;
}

std::vector<std::string> TestCluster::eventFiles() const
{
    std::vector<std::string> files;
    for (std::size_t index = 0; index < this->options.instances; ++index) {
        files.push_back(this->workFolder + "/gate-" + std::to_string(index) + ".events");
    }
    return files;
}

void TestCluster::writeSettings(std::size_t instance)
{
    const std::string name = "gate-" + std::to_string(instance);
    std::ofstream settingsFile(this->workFolder + "/" + name + ".toml");
    settingsFile << "[instance]\nname = \"" << name << "\"\ndomain = \"" << failureDomains[instance % failureDomains.size()] << "\"\n";
    if (instance == 0) {
        settingsFile << "data_folder = \"" << this->workFolder << "/" << name << ".data\"\n";
    }
    settingsFile << "[listen]\ncallers = \"" << this->callerAddresses[instance] << "\"\noperators = \"" << this->adminAddresses[instance] << "\"\npeers = \""
                 << this->peerAddresses[instance] << "\"\nseeds = [";
    for (std::size_t index = 0; index < this->peerAddresses.size(); ++index) {
        settingsFile << (index == 0 ? "\"" : ", \"") << this->peerAddresses[index] << "\"";
    }
    settingsFile << "]\n[platform]\nkey_value = \"" << this->keyValueAddress << "\"\ninstance_list = \"" << this->listAddress << "\"\n";
    settingsFile << "[security]\npeer_key = \"" << peerKey << "\"\n";
    settingsFile << "[log]\nformat = \"json\"\nevent_file = \"" << this->workFolder << "/" << name << ".events\"\n";
    settingsFile << "[runtime]\nlease_ms = " << this->options.leaseMs << "\n" << this->options.extraSettings;
}

void TestCluster::startInstance(std::size_t instance)
{
    const std::string name = "gate-" + std::to_string(instance);
    this->instances[instance] = ChildProcess({this->program("oleandergate"), "--settings=" + this->workFolder + "/" + name + ".toml"}, this->logFile(name));
}

bool TestCluster::waitReady(int timeoutMs)
{
    const bool ready = this->pollUntilReady(timeoutMs);
    for (std::size_t index = 0; !ready && index < this->instances.size(); ++index) {
        const auto status = this->admin(index, "GET", "/admin/status");
        std::cerr << "gate-" << index << ": " << (status ? status->body : "no response") << '\n'
                  << std::ifstream(this->logFile("gate-" + std::to_string(index))).rdbuf();
    }
    return ready;
}

bool TestCluster::pollUntilReady(int timeoutMs)
{
    return waitFor(
        [this]() {
            std::int64_t owned = 0;
            for (std::size_t index = 0; index < this->instances.size(); ++index) {
                if (!this->instances[index].isRunning()) {
                    continue;
                }
                const auto ready = this->admin(index, "GET", "/readyz");
                const auto status = this->admin(index, "GET", "/admin/status");
                if (!ready || ready->status != 200 || !status || status->status != 200) {
                    return false;
                }
                const json::object object = json::parse(status->body).as_object();
                owned += object.at("owned_slots").as_int64();
                std::int64_t endpoints = 0;
                for (const json::value &pool : object.at("pools").as_array()) {
                    endpoints += pool.as_object().at("endpoints").as_int64();
                }
                if (endpoints < static_cast<std::int64_t>(this->options.engines + this->options.tools)) {
                    return false;
                }
            }
            return owned == slotCount;
        },
        timeoutMs);
}

std::optional<HttpResponse> TestCluster::call(std::size_t instance, const TestRequest &request)
{
    return sendRequest(this->callerAddresses[instance], request);
}

std::optional<HttpResponse>
TestCluster::admin(std::size_t instance, const std::string &method, const std::string &target, const std::string &body, const std::string &ifMatch)
{
    TestRequest request{method, target, body, {{"Authorization", std::string("Bearer ") + operatorKey}}};
    if (!ifMatch.empty()) {
        request.headers.push_back(HttpHeader{"If-Match", ifMatch});
    }
    return sendRequest(this->adminAddresses[instance], request);
}

std::optional<HttpResponse> TestCluster::send(const std::string &address, const std::string &method, const std::string &target, const std::string &body)
{
    return sendRequest(address, TestRequest{method, target, body, {}});
}

void TestCluster::setFault(const std::string &address, const std::string &mode, int value)
{
    this->send(address, "POST", "/fault", json::serialize(json::object{{"mode", mode}, {"factor", std::max(1, value)}, {"ms", value}}));
}

void TestCluster::registerEndpoint(const std::string &service, const std::string &id, const std::string &address, const std::string &state)
{
    const std::size_t colon = address.find(':');
    const json::object meta{{"domain", failureDomains.front()}, {"state", state}};
    const json::object body{
        {"ID", id}, {"Name", service}, {"Address", address.substr(0, colon)}, {"Port", std::stoll(address.substr(colon + 1))}, {"Meta", meta}};
    this->send(this->listAddress, "PUT", "/v1/agent/service/register", json::serialize(body));
}

std::vector<json::object> TestCluster::records() const
{
    std::vector<json::object> merged;
    for (const auto &entry : std::filesystem::directory_iterator(this->workFolder)) {
        if (entry.path().extension() != ".record") {
            continue;
        }
        std::ifstream in(entry.path());
        std::string line;
        while (std::getline(in, line)) {
            boost::system::error_code error;
            const json::value value = json::parse(line, error);
            if (!error && value.is_object()) {
                merged.push_back(value.get_object());
            }
        }
    }
    std::stable_sort(merged.begin(), merged.end(), [](const json::object &left, const json::object &right) {
        return left.at("at").as_int64() < right.at("at").as_int64();
    });
    return merged;
}

std::optional<std::size_t> TestCluster::ownerOf(const std::string &program)
{
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        if (!this->instances[index].isRunning()) {
            continue;
        }
        const auto listed = this->admin(index, "GET", "/admin/programs?own=true");
        if (!listed || listed->status != 200) {
            continue;
        }
        const json::value document = json::parse(listed->body);
        for (const json::value &entry : document.at("programs").as_array()) {
            if (entry.as_object().at("id").as_string() == program) {
                return index;
            }
        }
    }
    return std::nullopt;
}

} // namespace oleandergate::support
