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

//! Size and settings of a TestCluster.
struct ClusterOptions
{
    std::size_t instances = 3;
    std::size_t engines = 2;
    std::size_t tools = 1;
    int engineSlots = 8; //!< Calls that an engine runs at once.
    int engineTokenUs = 1000; //!< Time per generated token.
    std::string fencing = "ignore"; //!< Whether engines "refuse" or "ignore" old fencing numbers.
    int leaseMs = 1000;
    int instanceListLagMs = 0; //!< Delay until the instance list shows a change.
    std::string configuration{}; //!< TOML; empty for testConfiguration().
    std::string extraSettings{}; //!< TOML lines appended to each instance's settings.
};

//! A request sent by a test.
struct TestRequest
{
    std::string method = "POST";
    std::string target{};
    std::string body{};
    std::vector<HttpHeader> headers{};
    int timeoutMs = 20000;
};

//! Runs instances and stand-ins as separate processes on loopback, with their files in a temporary folder. The folder is
//! deleted at the end unless the environment variable OLEANDER_KEEP is set.
class TestCluster
{
public:
    explicit TestCluster(const ClusterOptions &options);
    ~TestCluster();
    TestCluster(const TestCluster &) = delete;
    TestCluster &operator=(const TestCluster &) = delete;

    //! Waits until every running instance is ready and every slot has an owner. Returns false after \p timeoutMs, with the state
    //! and log of the instances on standard error.
    bool waitReady(int timeoutMs = 20000);

    //! Sends a request to the caller address of \p instance. Returns nothing when no complete response arrived.
    std::optional<HttpResponse> call(std::size_t instance, const TestRequest &request);

    //! Sends a request to the operator address of \p instance with the operator's key.
    std::optional<HttpResponse>
    admin(std::size_t instance, const std::string &method, const std::string &target, const std::string &body = "", const std::string &ifMatch = "");

    //! Sends a request to a stand-in.
    std::optional<HttpResponse> send(const std::string &address, const std::string &method, const std::string &target, const std::string &body = "");

    //! Sets the fault \p mode of the stand-in at \p address. \p value is sent as factor and as milliseconds; the mode decides
    //! which of them is used.
    void setFault(const std::string &address, const std::string &mode, int value = 0);

    void startInstance(std::size_t instance);
    void registerEndpoint(const std::string &service, const std::string &id, const std::string &address, const std::string &state);

    //! Returns the records of the requests that the endpoint stand-ins received, in order of time.
    std::vector<boost::json::object> records() const;

    //! Returns the index of the instance that owns \p program; nothing when no running instance owns it.
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

//! API keys in the test configuration.
inline constexpr const char *nakhlaKey = "nakhla-test-key";
inline constexpr const char *talleresKey = "talleres-test-key";
inline constexpr const char *operatorKey = "operator-test-key";

//! Returns a TOML configuration with two organisations, one pool and one service. The limit on tokens per minute is off when
//! \p peakTokensPerMinute is 0.
std::string testConfiguration(int peakTokensPerMinute = 0, const std::string &budget = "5.00");

//! Sends a request to \p address and waits for the response. Returns nothing when no complete response arrived.
std::optional<HttpResponse> sendRequest(const std::string &address, const TestRequest &request);

//! Returns a loopback address whose port is unused for TCP and UDP.
std::string unusedAddress();

//! Calls \p check every 20 ms until it returns true. Returns false after \p timeoutMs.
bool waitFor(const std::function<bool()> &check, int timeoutMs);

//! Returns the headers of a call that belongs to \p program. Empty strings and a \p sequence of 0 leave their header out.
std::vector<HttpHeader>
callHeaders(const std::string &program, const std::string &request, int sequence = 0, const std::string &branch = "", const char *key = nakhlaKey);

//! Returns the body of a chat completion with one user message.
std::string chatBody(const std::string &text, bool stream = false);

} // namespace oleandergate::support

#endif
