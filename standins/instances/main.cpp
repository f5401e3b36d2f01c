//! Stand-in for the platform's instance list: the parts of Consul's agent and health protocol that are used, with a lag.

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
  --listen=ADDRESS  IP number and port.
  --lag-ms=N        Time until a change shows [default: 0].
)";

struct Change
{
    Time visibleAt{};
    std::string id{};
    json::object service{}; //!< Empty for a removal.
};

struct List
{
    Duration lag;
    std::mutex mutex{};
    std::vector<Change> changes{};
    std::map<std::string, json::object> services{};

    void settle()
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

asio::awaitable<void> handle(List &list, HttpRequest request, HttpExchange &exchange)
{
    constexpr std::string_view health = "/v1/health/service/";
    constexpr std::string_view removal = "/v1/agent/service/deregister/";
    const std::string path = request.path();
    HttpResponse response = standin::jsonResponse(json::object{{"error", "no such path"}}, 404);
    {
        const std::lock_guard lock(list.mutex);
        list.settle();
        if (path == "/v1/agent/service/register") {
            const json::object service = parseJsonObject(request.body);
            list.changes.push_back(Change{currentTime() + list.lag, jsonText(service, "ID"), service});
            response = standin::jsonResponse(json::object{});
        } else if (path.starts_with(removal)) {
            list.changes.push_back(Change{currentTime() + list.lag, path.substr(removal.size()), {}});
            response = standin::jsonResponse(json::object{});
        } else if (path.starts_with(health)) {
            json::array found;
            for (const auto &[id, service] : list.services) {
                if (jsonText(service, "Name") == path.substr(health.size())) {
                    found.push_back(json::object{{"Service", service}});
                }
            }
            response = HttpResponse{200, "application/json", json::serialize(found)};
        }
    }
    co_await exchange.respond(std::move(response));
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("standin-instances", usage, argc, argv);
    List list{std::chrono::milliseconds(std::strtoll(options.at("--lag-ms").asString().c_str(), nullptr, 10))};
    return standin::serve("instances", options.at("--listen").asString(), 1, [&list](HttpRequest request, HttpExchange &exchange) {
        return handle(list, std::move(request), exchange);
    });
}
