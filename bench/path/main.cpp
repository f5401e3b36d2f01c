//! Benchmarks with real processes on the loopback interface: the latency that the request path adds to a direct call of an engine,
//! the resource use of idle instances, and the time until another instance takes over from a killed owner.

#include "decision/time.h"
#include "runtime/commandline.h"
#include "runtime/httpclient.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string_view>
#include <thread>
#include <unistd.h>

namespace {

using namespace oleandergate;
using namespace oleandergate::support;
namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds settleTime(3); //!< Wait before idle instances are measured, so that their start does not count.
constexpr int takeoverTimeoutMs = 30000;

constexpr const char *usage = R"(path-bench: latency and resource use of the request path, with real processes.

Usage:
  path-bench latency [--callers=N] [--calls=N] [--journal-writes=N]
  path-bench idle [--instances=N] [--seconds=N]
  path-bench takeover [--runs=N]

Options:
  --callers=N    Number of programs that call concurrently [default: 4].
  --calls=N      Number of calls of each program [default: 500].
  --journal-writes=N  Limit of journal writes per second over all instances [default: 100000].
  --instances=N  Number of entry instances [default: 8].
  --seconds=N    Length of the measurement in seconds [default: 10].
  --runs=N       Number of runs; each kills one owner [default: 5].
)";

struct ProcessUsage
{
    double cpuSeconds = 0.0;
    double residentMb = 0.0; //!< In units of 1024 kB.
};

//! Returns the CPU time and the resident memory of a process, read from /proc.
ProcessUsage usageOf(pid_t pid)
{
    ProcessUsage processUsage;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fieldsBeforeTime = 11;
    for (int index = 0; index < fieldsBeforeTime; ++index) {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    processUsage.cpuSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        constexpr std::string_view residentField = "VmRSS:";
        if (line.starts_with(residentField)) {
            constexpr double kilobytesPerMegabyte = 1024.0;
            processUsage.residentMb = std::strtod(line.c_str() + residentField.size(), nullptr) / kilobytesPerMegabyte;
        }
    }
    return processUsage;
}

double percentile(std::vector<double> values, double quantile)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

//! Sends \p calls calls of one program in sequence over a persistent connection, and appends the time of each to \p millis.
asio::awaitable<void> callSequentially(HttpClient &client, std::string address, std::string program, int calls, std::vector<double> &millis, int &failed)
{
    for (int turn = 1; turn <= calls; ++turn) {
        HttpCall call;
        call.address = address;
        call.method = "POST";
        call.target = "/v1/chat/completions";
        call.body = chatBody("ping [[tokens=1]]");
        call.headers = callHeaders(program, program + "-" + std::to_string(turn), turn);
        const Clock::time_point started = Clock::now();
        const HttpOutcome outcome = co_await client.send(std::move(call), Step::Receive);
        millis.push_back(std::chrono::duration<double, std::milli>(Clock::now() - started).count());
        failed += outcome && outcome.value().status == 200 ? 0 : 1;
    }
}

struct LatencyResult
{
    std::vector<double> millis{};
    double seconds = 0.0;
    int failed = 0;
};

LatencyResult measure(const std::vector<std::string> &addresses, const std::vector<std::string> &programs, int calls)
{
    asio::io_context context;
    HttpClient client(context);
    std::vector<std::vector<double>> millis(programs.size());
    LatencyResult result;
    const Clock::time_point started = Clock::now();
    for (std::size_t index = 0; index < programs.size(); ++index) {
        asio::co_spawn(
            asio::make_strand(context), callSequentially(client, addresses[index], programs[index], calls, millis[index], result.failed), asio::detached);
    }
    context.run();
    result.seconds = std::chrono::duration<double>(Clock::now() - started).count();
    for (const std::vector<double> &callerMillis : millis) {
        result.millis.insert(result.millis.end(), callerMillis.begin(), callerMillis.end());
    }
    return result;
}

void printLatency(const char *name, const LatencyResult &result, double cpuSeconds)
{
    const auto count = static_cast<double>(result.millis.size());
    std::printf("%-28s p50 %.3f ms  p90 %.3f ms  p99 %.3f ms  %.0f calls/s  %d failed",
                name,
                percentile(result.millis, 0.5),
                percentile(result.millis, 0.9),
                percentile(result.millis, 0.99),
                count / result.seconds,
                result.failed);
    if (cpuSeconds > 0.0) {
        std::printf("  %.0f calls per second of a core", count / cpuSeconds);
    }
    std::printf("\n");
}

double cpuSecondsOf(const TestCluster &cluster)
{
    double seconds = 0.0;
    for (const ChildProcess &instance : cluster.instances) {
        seconds += usageOf(instance.id()).cpuSeconds;
    }
    return seconds;
}

std::int64_t keyValueWrites(TestCluster &cluster)
{
    const auto stats = cluster.send(cluster.keyValueAddress, "GET", "/stats");
    const json::value document = json::parse(stats->body);
    return document.at("writes").as_int64();
}

int latency(std::size_t callers, int calls, int journalWrites)
{
    ClusterOptions options;
    options.extraSettings = "journal_writes_per_second = " + std::to_string(journalWrites) + "\n";
    options.engineTokenUs = 0;
    options.configuration = testConfiguration(0, "9000.00");
    options.configuration.replace(options.configuration.find("deadline_s = 120"), 16, "max_turns = 10000\ndeadline_s = 3600");
    TestCluster cluster(options);
    if (!cluster.waitReady()) {
        return 1;
    }
    std::vector<std::string> programs;
    std::vector<std::string> ownerAddresses;
    std::vector<std::string> otherAddresses;
    for (std::size_t index = 0; index < callers; ++index) {
        programs.push_back("bench-" + std::to_string(index));
        const TestRequest create{"POST", "/v1/programs", json::serialize(json::object{{"kind", "round"}, {"id", programs.back()}}), callHeaders("", "")};
        cluster.call(0, create);
        const std::size_t owner = cluster.ownerOf(programs.back()).value_or(0);
        ownerAddresses.push_back(cluster.callerAddresses[owner]);
        otherAddresses.push_back(cluster.callerAddresses[(owner + 1) % cluster.instances.size()]);
    }
    const std::vector<std::string> engineAddresses(callers, cluster.engineAddresses.front());
    std::vector<std::string> directPrograms;
    for (std::size_t index = 0; index < callers; ++index) {
        directPrograms.push_back("direct-" + std::to_string(index));
    }
    constexpr int warmUpDivisor = 5; // The warm-up, which is not measured, makes 1 / warmUpDivisor of the calls.
    measure(engineAddresses, directPrograms, calls / warmUpDivisor);
    printLatency("engine directly", measure(engineAddresses, directPrograms, calls), 0.0);
    const double cpuBefore = cpuSecondsOf(cluster);
    const std::int64_t writesBefore = keyValueWrites(cluster);
    const LatencyResult ownerResult = measure(ownerAddresses, programs, calls);
    const std::int64_t writes = keyValueWrites(cluster) - writesBefore;
    const double cpuAfterOwner = cpuSecondsOf(cluster);
    printLatency("through the owner", ownerResult, cpuAfterOwner - cpuBefore);
    std::printf("writes of the key-value service: %.0f a second, %.2f a call\n",
                static_cast<double>(writes) / ownerResult.seconds,
                static_cast<double>(writes) / static_cast<double>(ownerResult.millis.size()));
    std::vector<std::string> forwardedPrograms;
    for (std::size_t index = 0; index < callers; ++index) {
        forwardedPrograms.push_back("hop-" + std::to_string(index));
        const TestRequest create{
            "POST", "/v1/programs", json::serialize(json::object{{"kind", "round"}, {"id", forwardedPrograms.back()}}), callHeaders("", "")};
        cluster.call(0, create);
        const std::size_t owner = cluster.ownerOf(forwardedPrograms.back()).value_or(0);
        otherAddresses[index] = cluster.callerAddresses[(owner + 1) % cluster.instances.size()];
    }
    const LatencyResult forwardResult = measure(otherAddresses, forwardedPrograms, calls);
    printLatency("with one forward hop", forwardResult, cpuSecondsOf(cluster) - cpuAfterOwner);
    return ownerResult.failed + forwardResult.failed == 0 ? 0 : 1;
}

int idle(std::size_t instances, int seconds)
{
    ClusterOptions options;
    options.instances = instances;
    options.leaseMs = 3000;
    TestCluster cluster(options);
    if (!cluster.waitReady(60000)) {
        return 1;
    }
    std::this_thread::sleep_for(settleTime);
    const auto calls = [&cluster]() {
        const auto stats = cluster.send(cluster.keyValueAddress, "GET", "/stats");
        const json::value document = json::parse(stats->body);
        return document.at("reads").as_int64() + document.at("writes").as_int64() + document.at("watches").as_int64();
    };
    const double cpuBefore = cpuSecondsOf(cluster);
    const std::int64_t callsBefore = calls();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const double cpu = cpuSecondsOf(cluster) - cpuBefore;
    const std::int64_t made = calls() - callsBefore;
    double resident = 0.0;
    for (const ChildProcess &instance : cluster.instances) {
        resident += usageOf(instance.id()).residentMb;
    }
    const auto count = static_cast<double>(instances);
    std::printf("%zu instances: %.3f%% of a core and %.1f MB each, %.2f calls of the key-value service a second in all\n",
                instances,
                100.0 * cpu / seconds / count,
                resident / count,
                static_cast<double>(made) / seconds);
    return 0;
}

int takeover(int runs)
{
    for (int run = 0; run < runs; ++run) {
        ClusterOptions options;
        options.leaseMs = 3000;
        TestCluster cluster(options);
        if (!cluster.waitReady()) {
            return 1;
        }
        const TestRequest create{"POST", "/v1/programs", json::serialize(json::object{{"kind", "round"}, {"id", "p"}}), callHeaders("", "")};
        cluster.call(0, create);
        const std::size_t owner = cluster.ownerOf("p").value_or(0);
        cluster.instances[owner].kill();
        const std::size_t otherInstance = (owner + 1) % cluster.instances.size();
        const Clock::time_point started = Clock::now();
        const bool answered = waitFor(
            [&]() {
                const auto response
                    = cluster.call(otherInstance, TestRequest{"POST", "/v1/chat/completions", chatBody("on [[tokens=1]]"), callHeaders("p", "r1", 1)});
                return response && response->status == 200;
            },
            takeoverTimeoutMs);
        std::printf(
            "owner killed: %s after %.2f s\n", answered ? "its program answered" : "no answer", std::chrono::duration<double>(Clock::now() - started).count());
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("path-bench", usage, argc, argv);
    const auto number = [&options](const char *key) {
        return static_cast<int>(std::strtol(options.at(key).asString().c_str(), nullptr, 10));
    };
    if (options.at("latency").asBool()) {
        return latency(static_cast<std::size_t>(number("--callers")), number("--calls"), number("--journal-writes"));
    }
    if (options.at("idle").asBool()) {
        return idle(static_cast<std::size_t>(number("--instances")), number("--seconds"));
    }
    return takeover(number("--runs"));
}
