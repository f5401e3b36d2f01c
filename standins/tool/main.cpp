//! Stand-in for a service other than a model engine in tests. Executes every request that arrives, repeated ones too, and
//! returns outcomes by idempotency key.

#include "common/standin.h"
#include "runtime/asyncsignal.h"
#include "runtime/commandline.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <map>

namespace {

using namespace oleandergate;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char *usage = R"(standin-tool: a service other than a model engine, for tests.

Usage:
  standin-tool --listen=ADDRESS --name=NAME [options]

Options:
  --listen=ADDRESS  IP address and port.
  --name=NAME       Name of the endpoint.
  --record=FILE     File for a record of the requests, as JSON lines [default: ].
  --delay-ms=N      Milliseconds to execute a request [default: 20].
)";

struct Tool
{
    std::string name;
    Duration delay;
    standin::Recorder recorder;
    std::mutex mutex{};
    std::string fault = "none";
    std::map<std::string, std::string> outcomes{};
    std::uint64_t executions = 0;
};

asio::awaitable<void> execute(Tool &tool, HttpRequest request, HttpExchange &exchange)
{
    const std::string key = request.header("Idempotency-Key");
    std::string fault;
    {
        const std::lock_guard lock(tool.mutex);
        fault = tool.fault;
    }
    json::object record{{"kind", "arrival"},
                        {"endpoint", tool.name},
                        {"path", request.path()},
                        {"program", request.header("Program-Id")},
                        {"branch", request.header("Program-Branch")},
                        {"sequence", request.header("Program-Sequence")},
                        {"request", key},
                        {"accepted", true}};
    tool.recorder.write(record);
    co_await sleepFor(tool.delay);
    std::string result;
    {
        const std::lock_guard lock(tool.mutex);
        tool.executions += 1;
        result = json::serialize(json::object{{"done", request.path()}, {"execution", tool.executions}, {"by", tool.name}});
        tool.outcomes[key] = result;
    }
    record["kind"] = "executed";
    tool.recorder.write(record);
    if (fault == "hang") {
        co_await sleepFor(std::chrono::hours(1));
    }
    if (fault == "cut") {
        HttpResponse head;
        co_await exchange.startStream(std::move(head));
        throw std::runtime_error("simulated break of the answer");
    }
    co_await exchange.respond(makeResponse(200, "application/json", result));
}

asio::awaitable<void> handle(Tool &tool, HttpRequest request, HttpExchange &exchange)
{
    constexpr std::string_view outcomesPath = "/outcomes/";
    const std::string path = request.path();
    if (path == "/fault") {
        {
            const std::lock_guard lock(tool.mutex);
            tool.fault = jsonText(parseJsonObject(request.body), "mode");
        }
        co_await exchange.respond(standin::jsonResponse(json::object()));
    } else if (path.starts_with(outcomesPath)) {
        HttpResponse response = standin::jsonResponse(json::object{{"error", "no outcome under this key"}}, 404);
        {
            const std::lock_guard lock(tool.mutex);
            const auto found = tool.outcomes.find(path.substr(outcomesPath.size()));
            if (found != tool.outcomes.end()) {
                response = HttpResponse{200, "application/json", found->second};
            }
        }
        co_await exchange.respond(std::move(response));
    } else {
        co_await execute(tool, std::move(request), exchange);
    }
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("standin-tool", usage, argc, argv);
    Tool tool{options.at("--name").asString(),
              std::chrono::milliseconds(std::strtoll(options.at("--delay-ms").asString().c_str(), nullptr, 10)),
              standin::Recorder(options.at("--record").asString())};
    return standin::serve(tool.name, options.at("--listen").asString(), 2, [&tool](HttpRequest request, HttpExchange &exchange) {
        return handle(tool, std::move(request), exchange);
    });
}
