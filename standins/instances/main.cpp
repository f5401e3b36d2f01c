//! Stand-in for the platform's instance list in tests. Implements the parts of Consul's agent and health API that are used;
//! changes become visible after a delay.

#include "common/standin.h"
#include "runtime/clock.h"
#include "runtime/commandline.h"

#include <boost/json.hpp>

#include <map>

namespace {

using namespace oleandergate;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char *usage = R"(standin-instances: an instance list for tests.

Usage:
  standin-instances --listen=ADDRESS [--lag-ms=N]

Options:
  --listen=ADDRESS  IP address and port.
  --lag-ms=N        Milliseconds until a change is visible [default: 0].
)";

struct Change
{
    Time visibleAt{};
    std::string id{};
    json::object service{}; //!< Empty for a removal.
};

struct InstanceList
{
    Duration lag;
    std::mutex mutex{};
    std::vector<Change> changes{};
    std::map<std::string, json::object> services{};

    void applyVisibleChanges()
    {
        const Time now = currentTime();
        std::erase_if(this->changes, [this, now](const Change &change) {
            if (change.visibleAt > now) {
                return false;
            }
            if (change.service.empty()) {
                this->services.erase(change.id);
            } else {
                this->services[change.id] = change.service;
            }
            return true;
        });
    }
};

asio::awaitable<void> handle(InstanceList &instanceList, HttpRequest request, HttpExchange &exchange)
{
    constexpr std::string_view healthPath = "/v1/health/service/";
    constexpr std::string_view deregisterPath = "/v1/agent/service/deregister/";
    const std::string path = request.path();
    HttpResponse response = standin::jsonResponse(json::object{{"error", "no such path"}}, 404);
    {
        const std::lock_guard lock(instanceList.mutex);
        instanceList.applyVisibleChanges();
        if (path == "/v1/agent/service/register") {
            const json::object service = parseJsonObject(request.body);
            instanceList.changes.push_back(Change{currentTime() + instanceList.lag, jsonText(service, "ID"), service});
            response = standin::jsonResponse(json::object{});
        } else if (path.starts_with(deregisterPath)) {
            instanceList.changes.push_back(Change{currentTime() + instanceList.lag, path.substr(deregisterPath.size()), {}});
            response = standin::jsonResponse(json::object{});
        } else if (path.starts_with(healthPath)) {
            json::array entries;
            for (const auto &[id, service] : instanceList.services) {
                if (jsonText(service, "Name") == path.substr(healthPath.size())) {
                    entries.push_back(json::object{{"Service", service}});
                }
            }
            response = HttpResponse{200, "application/json", json::serialize(entries)};
        }
    }
    co_await exchange.respond(std::move(response));
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("standin-instances", usage, argc, argv);
    InstanceList instanceList{std::chrono::milliseconds(std::strtoll(options.at("--lag-ms").asString().c_str(), nullptr, 10))};
    return standin::serve("instances", options.at("--listen").asString(), 1, [&instanceList](HttpRequest request, HttpExchange &exchange) {
        return handle(instanceList, std::move(request), exchange);
    });
}
