#include "programs/oleanderctl/adminclient.h"

#include "runtime/httpclient.h"

#include <boost/asio.hpp>

#include <iostream>

namespace oleandergate {

namespace asio = boost::asio;

AdminClient::AdminClient(std::string address, std::string key)
    : address(std::move(address))
    , key(std::move(key))
{
}

std::optional<HttpResponse> AdminClient::send(const std::string &method, const std::string &target, const std::string &body, const std::string &ifMatch)
{
    asio::io_context context;
    HttpClient client(context);
    HttpCall call;
    call.address = this->address;
    call.method = method;
    call.target = target;
    call.body = body;
    call.headers.push_back(HttpHeader{"Authorization", "Bearer " + this->key});
    if (!ifMatch.empty()) {
        call.headers.push_back(HttpHeader{"If-Match", ifMatch});
    }
    std::optional<HttpResponse> response;
    const auto run = [&]() -> asio::awaitable<void> {
        const HttpOutcome outcome = co_await client.send(std::move(call), Step::Receive);
        if (outcome) {
            response = outcome.value();
        } else {
            std::cerr << "oleanderctl: " << this->address << " does not answer: " << outcome.error().error.detail << '\n';
        }
    };
    asio::co_spawn(asio::make_strand(context), run(), asio::detached);
    context.run();
    return response;
}

} // namespace oleandergate
