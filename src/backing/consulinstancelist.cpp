#include "backing/consulinstancelist.h"

#include "runtime/httpclient.h"
#include "runtime/jsonaccess.h"
#include "runtime/requesttarget.h"

#include <boost/json.hpp>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int statusOk = 200;

std::optional<EndpointSpec> endpointOf(const json::value &entry)
{
    const json::value *service = entry.is_object() ? entry.get_object().if_contains("Service") : nullptr;
    if (service == nullptr || !service->is_object()) {
        return std::nullopt;
    }
    const json::object &object = service->get_object();
    const json::value *port = object.if_contains("Port");
    EndpointSpec endpoint;
    endpoint.id = jsonText(object, "ID");
    if (endpoint.id.empty() || port == nullptr || !port->is_int64()) {
        return std::nullopt;
    }
    endpoint.address = jsonText(object, "Address") + ":" + std::to_string(port->get_int64());
    const json::value *meta = object.if_contains("Meta");
    if (meta != nullptr && meta->is_object()) {
        endpoint.domain = jsonText(meta->get_object(), "domain");
        endpoint.leaving = jsonText(meta->get_object(), "state") == "leaving";
    }
    return endpoint;
}

} // namespace

ConsulInstanceList::ConsulInstanceList(HttpClient &client, std::string address, Duration timeout)
    : client(client)
    , address(std::move(address))
    , timeout(timeout)
{
}

asio::awaitable<Result<std::vector<EndpointSpec>>> ConsulInstanceList::instancesOf(std::string service)
{
    HttpCall call;
    call.address = this->address;
    call.target = targetWithQuery("/v1/health/service/" + escapedSegment(service), {{"passing", "true"}});
    call.connectTimeout = this->timeout;
    call.idleTimeout = this->timeout;
    HttpOutcome outcome = co_await this->client.send(std::move(call), Step::Place);
    if (!outcome) {
        co_return outcome.error().error;
    }
    boost::system::error_code error;
    const json::value document = json::parse(outcome.value().body, error);
    if (error || !document.is_array() || outcome.value().status != statusOk) {
        co_return Error{ErrorCode::ServiceUnavailable,
                        Step::Place,
                        this->address,
                        Executed::No,
                        std::nullopt,
                        "the instance list sent an unexpected response; expected status 200 and a JSON array"};
    }
    std::vector<EndpointSpec> endpoints;
    for (const json::value &entry : document.get_array()) {
        if (std::optional<EndpointSpec> endpoint = endpointOf(entry)) {
            endpoints.push_back(std::move(*endpoint));
        }
    }
    co_return endpoints;
}

} // namespace oleandergate
