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
    std::map<std::string, std::string> formerAnswers{}; //!< The last result on each connection, by the caller's address and port.
    std::uint64_t executions = 0;
};

//! Sends \p result, or where a fault says so the result that was sent last on the connection of \p peer.
asio::awaitable<void> sendResult(Tool &tool, std::string result, const std::string &peer, HttpExchange &exchange)
{
    {
        const std::lock_guard lock(tool.mutex);
        const bool repeats = tool.fault == "repeat" || tool.fault == "cut-and-repeat";
        std::string &former = tool.formerAnswers[peer];
        if (repeats && !former.empty()) {
            result = former;
        }
        former = result;
    }
    co_await exchange.respond(makeResponse(200, "application/json", std::move(result)));
}

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
    if (fault == "cut" || fault == "cut-and-repeat") {
        HttpResponse head;
        co_await exchange.startStream(std::move(head));
        throw std::runtime_error("simulated break of the answer");
    }
    co_await sendResult(tool, std::move(result), request.peer, exchange);
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
        std::string outcome;
        {
            const std::lock_guard lock(tool.mutex);
            const auto found = tool.outcomes.find(path.substr(outcomesPath.size()));
            outcome = found == tool.outcomes.end() ? std::string() : found->second;
        }
        if (outcome.empty()) {
            HttpResponse unknown = standin::jsonResponse(json::object{{"error", "no outcome under this key"}}, 404);
            co_await exchange.respond(std::move(unknown));
        } else {
            co_await sendResult(tool, std::move(outcome), request.peer, exchange);
        }
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
