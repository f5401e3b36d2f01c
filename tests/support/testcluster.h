#ifndef OLEANDERGATE_SUPPORT_TESTCLUSTER_H
#define OLEANDERGATE_SUPPORT_TESTCLUSTER_H

#include "runtime/httpmessage.h"
#include "support/childprocess.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergate::support {

//! What a test wants to run.
struct ClusterOptions
{
    std::size_t instances = 3;
    std::size_t engines = 2;
    std::size_t tools = 1;
    int engineSlots = 8;
    int engineTokenUs = 1000;
    std::string fencing = "ignore";
    int leaseMs = 1000;
    int instanceListLagMs = 0;
    std::string configuration{}; //!< TOML; empty for testConfiguration().
    std::string extraSettings{}; //!< TOML lines appended to each instance's settings.
};

//! A request of a test's caller.
struct TestRequest
{
    std::string method = "POST";
    std::string target{};
    std::string body{};
    std::vector<HttpHeader> headers{};
    int timeoutMs = 20000;
};

//! Entry instances and stand-ins as separate processes on loopback, in a folder of their own.
class TestCluster
{
public:
    explicit TestCluster(const ClusterOptions &options);
    ~TestCluster();
    TestCluster(const TestCluster &) = delete;
    TestCluster &operator=(const TestCluster &) = delete;

    //! Waits until every running instance is ready and every slot has an owner. Returns false after \p timeoutMs.
    bool waitReady(int timeoutMs = 20000);

    //! Sends a request to the callers' address of \p instance. Nothing when no response came.
    std::optional<HttpResponse> call(std::size_t instance, const TestRequest &request);

    //! Sends a request to the operators' address with the operator's key.
    std::optional<HttpResponse>
    admin(std::size_t instance, const std::string &method, const std::string &target, const std::string &body = "", const std::string &ifMatch = "");

    //! Sends a request to a stand-in.
    std::optional<HttpResponse> send(const std::string &address, const std::string &method, const std::string &target, const std::string &body = "");

    void setFault(const std::string &address, const std::string &mode, int value = 0);

    void startInstance(std::size_t instance);
    void registerEndpoint(const std::string &service, const std::string &id, const std::string &address, const std::string &state);

    //! Returns what the stand-ins of endpoints saw, in order of time.
    std::vector<boost::json::object> records() const;

    //! Returns the name of the instance that owns \p program, or its index.
    std::optional<std::size_t> ownerOf(const std::string &program);

    std::string folder() const;
    std::vector<std::string> eventFiles() const;

    std::vector<ChildProcess> instances{};
    std::vector<ChildProcess> engines{};
    std::vector<ChildProcess> tools{};
    ChildProcess keyValue{};
    ChildProcess instanceList{};
    std::string keyValueAddress{};
    std::string listAddress{};
    std::vector<std::string> engineAddresses{};
    std::vector<std::string> toolAddresses{};
    std::vector<std::string> callerAddresses{};
    std::vector<std::string> adminAddresses{};
    std::vector<std::string> peerAddresses{};

private:
    std::string program(const std::string &name) const;
    std::string logFile(const std::string &name) const;
    bool pollUntilReady(int timeoutMs);
    void writeSettings(std::size_t instance);

    ClusterOptions options;
    std::string workFolder;
    std::string programFolder;
};

//! The keys of the test configuration.
inline constexpr const char *nakhlaKey = "nakhla-test-key";
inline constexpr const char *talleresKey = "talleres-test-key";
inline constexpr const char *operatorKey = "operator-test-key";

//! Returns a configuration with both organisations, one pool and one service.
std::string testConfiguration(int peakTokensPerMinute = 0, const std::string &budget = "5.00");

//! Sends a request to \p address and waits for the response. Nothing when no whole response came.
std::optional<HttpResponse> sendRequest(const std::string &address, const TestRequest &request);

//! Returns an unused loopback address.
std::string unusedAddress();

//! Calls \p check every few milliseconds until it holds. Returns false after \p timeoutMs.
bool waitFor(const std::function<bool()> &check, int timeoutMs);

//! Returns the headers of a program's call.
std::vector<HttpHeader>
callHeaders(const std::string &program, const std::string &request, int sequence = 0, const std::string &branch = "", const char *key = nakhlaKey);

//! Returns the body of a chat completion with one user message.
std::string chatBody(const std::string &text, bool stream = false);

} // namespace oleandergate::support

#endif
