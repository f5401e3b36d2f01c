//! Example 100: one program of Nakhla Buggy Works from end to end.
//!
//! Starts stand-ins and three instances on loopback, applies a configuration, and runs a program with dependent model
//! calls, a pause for a tool, two sub-agents and one booking that may run only once. The calls go to the instances in turn,
//! as behind the platform's load balancer.

#include "support/testcluster.h"

#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <syncstream>
#include <thread>

namespace {

using namespace oleandergate;
using namespace oleandergate::support;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr const char *program = "charging-round-1";

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

//! Returns the text of a chat completion, streamed or not.
std::string answerText(const HttpResponse &response)
{
    std::string text;
    std::size_t start = 0;
    if (response.contentType != "text/event-stream") {
        const json::value document = json::parse(response.body);
        return std::string(document.at("choices").at(0).at("message").at("content").as_string());
    }
    while ((start = response.body.find("data: {", start)) != std::string::npos) {
        const std::size_t end = response.body.find('\n', start);
        const json::value event = json::parse(response.body.substr(start + 6, end - start - 6));
        const json::object &delta = event.at("choices").at(0).at("delta").as_object();
        text += delta.contains("content") ? std::string(delta.at("content").as_string()) : std::string();
        start = end;
    }
    return text;
}

class Demo
{
public:
    explicit Demo(TestCluster &cluster)
        : cluster(cluster)
    {
    }

    bool callModel(const std::string &branch, int sequence, const std::string &question, bool stream)
    {
        const std::string request = "turn-" + branch + std::to_string(sequence);
        TestRequest call{"POST", "/v1/chat/completions", chatBody(question, stream), callHeaders(program, request, sequence, branch)};
        return this->runCall(request, call, true);
    }

    bool callService(int sequence, const std::string &path, const std::string &request)
    {
        TestRequest call{"POST", "/v1/services/dispatch-app" + path, "{\"buggy\":7}", callHeaders(program, request, sequence)};
        return this->runCall(request, call, false);
    }

private:
    bool runCall(const std::string &name, const TestRequest &call, bool isModel)
    {
        const std::size_t instanceIndex = this->nextInstance++ % this->cluster.instances.size();
        const Clock::time_point start = Clock::now();
        const auto response = this->cluster.call(instanceIndex, call);
        if (!response || response->status != 200) {
            std::osyncstream(std::cout) << name << " failed: " << (response ? response->body : "no response") << '\n';
            return false;
        }
        std::string text = isModel ? answerText(*response) : response->body;
        text = text.size() > 60 ? text.substr(0, 60) + "..." : text;
        std::osyncstream(std::cout) << name << " through gate-" << instanceIndex << " in " << millisecondsSince(start) << " ms: " << text << '\n';
        return true;
    }

    TestCluster &cluster;
    std::size_t nextInstance = 0;
};

bool runProgram(TestCluster &cluster)
{
    TestRequest create{"POST", "/v1/programs", json::serialize(json::object{{"kind", "round"}, {"id", program}}), callHeaders("", "")};
    const auto created = cluster.call(0, create);
    if (!created || created->status != 201) {
        std::cout << "the program was not created: " << (created ? created->body : "no response") << '\n';
        return false;
    }
    Demo demo(cluster);
    bool succeeded = demo.callModel("", 1, "Which buggies need charging? [[tokens=24]]", true);
    succeeded = succeeded && demo.callService(2, "/positions/7", "positions-1");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    succeeded = succeeded && demo.callModel("", 3, "Plan the morning round. [[tokens=40]]", true);
    bool agadirSucceeded = false;
    std::thread subAgent([&]() {
        Demo agadirDemo(cluster);
        agadirSucceeded = agadirDemo.callModel("agadir", 1, "Check Agadir. [[tokens=16]]", false)
            && agadirDemo.callModel("agadir", 2, "And the ranges? [[tokens=16]]", false);
    });
    const bool marrakechSucceeded = demo.callModel("marrakech", 1, "Check Marrakech. [[tokens=16]]", false);
    subAgent.join();
    succeeded = succeeded && agadirSucceeded && marrakechSucceeded;
    succeeded = succeeded && demo.callService(4, "/bookings", "battery-swap-7");
    succeeded = succeeded && demo.callService(4, "/bookings", "battery-swap-7");
    succeeded = succeeded && demo.callModel("", 5, "Summarise. [[tokens=20]]", true);
    TestRequest status{"GET", std::string("/v1/programs/") + program, "", callHeaders("", "")};
    const auto state = cluster.call(1, status);
    TestRequest end{"POST", std::string("/v1/programs/") + program + "/end", "", callHeaders("", "")};
    const auto ended = cluster.call(2, end);
    succeeded = succeeded && state && ended && ended->status == 200;
    std::cout << "program state before its end: " << (state ? state->body : "none") << '\n';
    return succeeded;
}

std::size_t countExecutions(const TestCluster &cluster)
{
    std::size_t count = 0;
    for (const json::object &record : cluster.records()) {
        const bool executed = record.at("kind").as_string() == "executed";
        count += executed && record.at("request").as_string() == "battery-swap-7" ? 1 : 0;
    }
    return count;
}

} // namespace

int main()
{
    ClusterOptions options;
    TestCluster cluster(options);
    if (!cluster.waitReady()) {
        std::cout << "the instances did not become ready\n";
        return 1;
    }
    const Clock::time_point start = Clock::now();
    const bool succeeded = runProgram(cluster);
    std::cout << "duration of the program: " << millisecondsSince(start) << " ms\n";
    const std::size_t executions = countExecutions(cluster);
    std::cout << "the booking was requested twice and executed " << executions << " time(s), according to the service's record\n";
    for (ChildProcess &instance : cluster.instances) {
        instance.signal(SIGTERM);
    }
    bool stopped = true;
    for (ChildProcess &instance : cluster.instances) {
        stopped = instance.wait() == 0 && stopped;
    }
    std::cout << "timeline:\n" << std::flush;
    const char *binFolder = std::getenv("OLEANDER_BIN");
    std::vector<std::string> command{std::string(binFolder == nullptr ? "build/release/bin" : binFolder) + "/oleander-timeline",
                                     std::string("--program=") + program};
    for (const std::string &file : cluster.eventFiles()) {
        command.push_back(file);
    }
    ChildProcess timeline(command, "");
    const bool timelineSucceeded = timeline.wait() == 0;
    return succeeded && executions == 1 && stopped && timelineSucceeded ? 0 : 1;
}
