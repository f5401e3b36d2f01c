//! Responses that end with their connection, as the clients of endpoints and of the store see them.

#include "platform/platformstore.h"
#include "runtime/address.h"
#include "runtime/httpclient.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::platform;
using namespace oleandergate::support;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

//! Reads one request, sends \p response unchanged and closes the connection in order.
class SingleResponseServer
{
public:
    explicit SingleResponseServer(std::string response)
        : response(std::move(response))
        , listenAddress(unusedAddress())
        , acceptor(context, *parseTcpAddress(listenAddress))
        , thread([this]() {
            this->serve();
        })
    {
    }

    ~SingleResponseServer()
    {
        this->thread.join();
    }
    SingleResponseServer(const SingleResponseServer &) = delete;
    SingleResponseServer &operator=(const SingleResponseServer &) = delete;

    const std::string &address() const
    {
        return this->listenAddress;
    }

private:
    void serve()
    {
        tcp::socket socket(this->context);
        this->acceptor.accept(socket);
        std::string request;
        boost::system::error_code ignored;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        asio::write(socket, asio::buffer(this->response), ignored);
    }

    std::string response;
    std::string listenAddress;
    asio::io_context context{1};
    tcp::acceptor acceptor;
    std::thread thread;
};

//! Returns whether \p store answers a call for a range.
asio::awaitable<bool> answersRange(PlatformStore &store)
{
    const Result<KvRange> range = co_await store.range("servers/");
    co_return range.has_value();
}

} // namespace

// Guards against a cut answer of the store that is read as an empty list: services without endpoints, a gateway without configuration.
TEST_CASE("A range of the store whose connection ends inside the answer is an error, not an empty range")
{
    SingleResponseServer server("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"items\":[{\"Key\":\"servers/i-0\",");
    asio::io_context context;
    HttpClient client(context);
    PlatformStore store(client, server.address());
    std::future<bool> answered = asio::co_spawn(context, answersRange(store), asio::use_future);
    context.run();
    CHECK_FALSE(answered.get());
}
