#include "testprogram.h"

#include "backing/base64.h"
#include "backing/etcdkeyvalue.h"
#include "runtime/errorresponse.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration callTimeout = std::chrono::seconds(2);

template <typename Answer>
asio::awaitable<void> keepAnswer(asio::awaitable<Answer> asked, std::optional<Answer> &answer)
{
    answer.emplace(co_await std::move(asked));
}

//! A client of a cluster's key-value service, whose calls use one connection as long as that is kept.
struct KeyValueClient
{
    explicit KeyValueClient(const std::string &address)
        : keyValue(client, address, callTimeout)
    {
    }

    template <typename Answer>
    Answer run(asio::awaitable<Answer> asked)
    {
        std::optional<Answer> answer;
        this->context.restart();
        asio::co_spawn(this->context, keepAnswer(std::move(asked), answer), asio::detached);
        this->context.run();
        return *answer;
    }

    Result<KvTransactionReply> write(const std::string &key, std::uint64_t revision, bool hasOwnValue = false)
    {
        KvTransaction write;
        write.compares.push_back(KvCompare{key, revision});
        write.puts.push_back(KvPut{key, "written", 0});
        write.elseKeys.push_back(key);
        write.hasOwnValues = hasOwnValue;
        return this->run(this->keyValue.transact(std::move(write)));
    }

    asio::io_context context{};
    HttpClient client{context};
    EtcdKeyValue keyValue;
};

//! A key-value service that answers each range with the same page and says that more follow, up to a number of times that no sound reading needs.
class RepeatingService
{
public:
    static constexpr int mostPages = 50;

    //! \p key is that of the page's only pair; without it the page is empty.
    explicit RepeatingService(const std::optional<std::string> &key)
    {
        if (key) {
            this->pairs.push_back(json::object{{"key", toBase64(*key)}, {"value", ""}, {"mod_revision", "1"}});
        }
        REQUIRE(this->server.start(this->address).has_value());
        this->thread = std::thread([this]() {
            this->context.run();
        });
    }

    ~RepeatingService()
    {
        this->context.stop();
        this->thread.join();
    }

    RepeatingService(const RepeatingService &) = delete;
    RepeatingService &operator=(const RepeatingService &) = delete;

    const std::string address = unusedAddress();
    std::atomic<int> pagesAnswered{0};

private:
    asio::awaitable<void> handle(HttpRequest /*request*/, HttpExchange &exchange)
    {
        const bool hasMore = ++this->pagesAnswered < mostPages;
        HttpResponse response
            = jsonResponse(json::serialize(json::object{{"header", json::object{{"revision", "1"}}}, {"kvs", this->pairs}, {"more", hasMore}}));
        co_await exchange.respond(std::move(response));
    }

    json::array pairs;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    HttpServer server{context,
                      HttpLimits(),
                      [this](HttpRequest request, HttpExchange &exchange) {
                          return this->handle(std::move(request), exchange);
                      },
                      unreadableRequestResponse};
    std::thread thread;
};

} // namespace

// Guards against readings that go on for ever, without a pause, where the service's pages do not go forward.
TEST_CASE("A range of the key-value service whose pages have no end is a failure")
{
    std::optional<std::string> key;
    SUBCASE("an empty page")
    {
    }
    SUBCASE("a page that is repeated")
    {
        key = "test/a";
    }
    const RepeatingService service(key);
    KeyValueClient caller(service.address);
    const Result<KvRange> found = caller.run(caller.keyValue.range("test/"));
    REQUIRE_FALSE(found.has_value());
    CHECK(found.error().code == ErrorCode::ServiceUnavailable);
    CHECK(service.pagesAnswered <= 2);
}

// Guards against a write of the journal that is told as done though it was refused, because the service wrote an earlier answer once more.
TEST_CASE("A copy of an earlier answer of the key-value service doesn't prove a write")
{
    ClusterOptions options;
    options.instances = 1;
    TestCluster cluster(options);
    REQUIRE(cluster.waitReady());
    KeyValueClient caller(cluster.keyValueAddress);
    REQUIRE(caller.write("test/b", 0).has_value());
    REQUIRE(caller.write("test/a", 0).has_value());
    cluster.setFault(cluster.keyValueAddress, "repeat");
    const Result<KvTransactionReply> refused = caller.write("test/b", 0);
    const bool toldDone = refused.has_value() && refused.value().succeeded;
    CHECK_FALSE(toldDone);
    const Result<KvTransactionReply> next = caller.write("test/c", 0);
    REQUIRE(next.has_value());
    CHECK(next.value().succeeded);
}

// Guards against lists of other keys, because the service wrote an earlier answer once more: slots without owners.
TEST_CASE("A copy of an earlier answer of the key-value service isn't the answer to the next range")
{
    ClusterOptions options;
    options.instances = 1;
    TestCluster cluster(options);
    REQUIRE(cluster.waitReady());
    KeyValueClient caller(cluster.keyValueAddress);
    REQUIRE(caller.write("test/a", 0).has_value());
    REQUIRE(caller.run(caller.keyValue.range("none/")).has_value());
    cluster.setFault(cluster.keyValueAddress, "repeat");
    const Result<KvRange> found = caller.run(caller.keyValue.range("test/"));
    REQUIRE(found.has_value());
    CHECK(found.value().pairs.size() == 1);
}

// Guards against a write that is told as refused though it was applied: its answer was lost, and the copy on the next connection met its own change.
TEST_CASE("A write that is repeated because its answer was lost is told as done if no other write has its value")
{
    ClusterOptions options;
    options.instances = 1;
    TestCluster cluster(options);
    REQUIRE(cluster.waitReady());
    KeyValueClient caller(cluster.keyValueAddress);
    REQUIRE(caller.write("test/a", 0).has_value());
    // In place of the answer the service sends the former one, which the client does not believe.
    cluster.setFault(cluster.keyValueAddress, "repeat");
    const Result<KvTransactionReply> written = caller.write("test/b", 0, true);
    cluster.setFault(cluster.keyValueAddress, "none");
    REQUIRE(written.has_value());
    CHECK(written.value().succeeded);
    const Result<KvRange> stored = caller.run(caller.keyValue.range("test/b"));
    REQUIRE(stored.has_value());
    REQUIRE(stored.value().pairs.size() == 1);
    CHECK(stored.value().pairs.front().revision == written.value().revision);
    const Result<KvTransactionReply> other = caller.write("test/b", 0);
    REQUIRE(other.has_value());
    CHECK_FALSE(other.value().succeeded);
}
