//! Responses that end with their connection, as the clients of endpoints and of the store see them.

#include "platform/platformstore.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/httpclient.h"
#include "standinstore.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <future>
#include <optional>
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

//! Returns a write of \p key that applies while its revision is \p revision.
KvTransaction writeOf(const std::string &key, std::uint64_t revision)
{
    KvTransaction write;
    write.compares.push_back(KvCompare{key, revision});
    write.puts.push_back(KvPut{key, "written", 0});
    write.elseKeys.push_back(key);
    return write;
}

template <typename Answer>
asio::awaitable<void> keepAnswer(asio::awaitable<Answer> asked, std::optional<Answer> &answer)
{
    answer.emplace(co_await std::move(asked));
}

//! A client of a stand-in store, whose calls use one connection as long as that is kept.
struct StoreClient
{
    template <typename Answer>
    Answer run(asio::awaitable<Answer> asked)
    {
        std::optional<Answer> answer;
        this->context.restart();
        asio::co_spawn(this->context, keepAnswer(std::move(asked), answer), asio::detached);
        this->context.run();
        return *answer;
    }

    Result<KvTransactionReply> write(const std::string &key, std::uint64_t revision)
    {
        return this->run(this->platformStore.transact(writeOf(key, revision)));
    }

    Result<KvRange> range(const std::string &prefix)
    {
        return this->run(this->platformStore.range(prefix));
    }

    StandinStore store{};
    asio::io_context context{};
    HttpClient client{context};
    PlatformStore platformStore{client, store.address()};
};

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

// Guards against an answer whose status is none that is read as one of the store.
TEST_CASE("A status outside 200 to 599 is an error for every client, and so are two lengths or a length beside chunks")
{
    for (const char *head : {"HTTP/1.1 000 OK\r\nContent-Length: 12",
                             "HTTP/1.1 001 OK\r\nContent-Length: 12",
                             "HTTP/1.1 099 OK\r\nContent-Length: 12",
                             "HTTP/1.1 101 OK\r\nContent-Length: 12",
                             "HTTP/1.1 600 OK\r\nContent-Length: 12",
                             "HTTP/1.1 999 OK\r\nContent-Length: 12",
                             "HTTP/2.0 200 OK\r\nContent-Length: 12",
                             "HTTP/1.1 200 O\x01K\r\nContent-Length: 12",
                             "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 13",
                             "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked"}) {
        CAPTURE(head);
        SingleResponseServer server(head + std::string("\r\n\r\n{\"items\":[]}"));
        asio::io_context context;
        HttpClient client(context);
        HttpCall call;
        call.address = server.address();
        call.target = "/";
        call.deadline = currentTime() + std::chrono::seconds(10);
        call.idleTimeout = std::chrono::seconds(10);
        std::optional<HttpOutcome> outcome;
        asio::co_spawn(context, keepAnswer(client.send(std::move(call), Step::Send), outcome), asio::detached);
        context.run();
        REQUIRE(outcome);
        const bool answered = outcome->has_value();
        CHECK_FALSE(answered);
        if (!answered) {
            CHECK_FALSE(outcome->error().provablyNotSent);
        }
    }
}

// Guards against a write taken for done because the store wrote the answer of an earlier one once more: a budget spent twice.
TEST_CASE("A copy of an earlier write's answer doesn't prove a write of the store")
{
    StoreClient caller;
    caller.store.put("budget/b", "theirs");
    REQUIRE(caller.write("budget/a", 0).has_value());
    caller.store.setRepeating(true);
    const Result<KvTransactionReply> refused = caller.write("budget/b", 0);
    CHECK(caller.store.value("budget/b") == "theirs");
    const bool toldDone = refused.has_value() && refused.value().succeeded;
    CHECK_FALSE(toldDone);
    const Result<KvTransactionReply> next = caller.write("budget/c", 0);
    CHECK(next.has_value());
    CHECK(caller.store.value("budget/c") == "written");
}

// Guards against a conflict that is told of a write that the store applied, because it wrote the conflict of an earlier one once more.
TEST_CASE("A copy of an earlier conflict isn't the conflict of the next write of the store")
{
    StoreClient caller;
    caller.store.put("budget/b", "theirs");
    const Result<KvTransactionReply> conflict = caller.write("budget/b", 0);
    REQUIRE(conflict.has_value());
    REQUIRE(conflict.value().found.size() == 1);
    caller.store.setRepeating(true);
    const Result<KvTransactionReply> applied = caller.write("budget/b", conflict.value().found.front().revision);
    const bool toldConflict = applied.has_value() && !applied.value().succeeded;
    CHECK_FALSE(toldConflict);
}

// Guards against "not run" for a write that ran, because the store wrote an earlier refusal once more.
TEST_CASE("A copy of an earlier refusal of the store doesn't prove that a write didn't run, nor does what follows it answer the next one")
{
    StoreClient caller;
    caller.store.put("budget/b", "theirs");
    caller.store.setRefusing(true);
    REQUIRE_FALSE(caller.write("budget/a", 0).has_value());
    caller.store.setRefusing(false);
    caller.store.setRepeating(true);
    const Result<KvTransactionReply> ran = caller.write("budget/a", 0);
    const bool toldNotRun = !ran.has_value() && ran.error().executed == Executed::No;
    CHECK_FALSE(toldNotRun);
    const Result<KvTransactionReply> refused = caller.write("budget/b", 0);
    const bool toldDone = refused.has_value() && refused.value().succeeded;
    CHECK_FALSE(toldDone);
}

// Guards against lists of other keys, or empty ones, because the store wrote an earlier answer once more: services without endpoints.
TEST_CASE("A copy of an earlier answer isn't the answer to the next range of the store")
{
    StoreClient caller;
    caller.store.put("op/config", "{}");
    caller.store.put("servers/i-0", "{}");
    for (const std::string former : {"op/", "none/"}) {
        CAPTURE(former);
        caller.store.setRepeating(false);
        REQUIRE(caller.range(former).has_value());
        caller.store.setRepeating(true);
        const Result<KvRange> endpoints = caller.range("servers/");
        REQUIRE(endpoints.has_value());
        REQUIRE(endpoints.value().pairs.size() == 1);
        CHECK(endpoints.value().pairs.front().key == "servers/i-0");
    }
}

// Guards against changes that a watch leaves out, because it went on behind the revision of another answer that the store wrote once more.
TEST_CASE("A copy of an earlier answer doesn't move a watch of the store on")
{
    StoreClient caller;
    caller.store.put("op/config", "first");
    const std::uint64_t from = caller.range("op/").value().revision + 1;
    caller.store.put("op/config", "second");
    caller.store.put("servers/i-0", "{}");
    for (const std::string former : {"servers/", "none/"}) {
        CAPTURE(former);
        caller.store.setRepeating(false);
        REQUIRE(caller.range(former).has_value());
        caller.store.setRepeating(true, true);
        std::vector<std::string> seen;
        const Time until = currentTime() + std::chrono::seconds(2);
        std::thread later([&caller]() {
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            caller.store.put("op/config", "third");
        });
        caller.run(caller.platformStore.watch(
            "op/",
            from,
            [&seen](const KvEvent &event) {
                seen.push_back(event.pair.value);
            },
            [&seen, until]() {
                return currentTime() < until && (seen.empty() || seen.back() != "third");
            }));
        later.join();
        REQUIRE_FALSE(seen.empty());
        CHECK(seen.front() == "second");
    }
}
