//! Stand-in for the platform's key-value service in tests. Implements the parts of etcd's version 3 JSON API that are used,
//! and simulates outages, slow calls, and answers lost after the write took effect.

#include "backing/base64.h"
#include "common/standin.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/commandline.h"

#include <boost/json.hpp>

#include <map>

namespace {

using namespace oleandergate;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char *usage = R"(standin-kv: a key-value service for tests.

Usage:
  standin-kv --listen=ADDRESS [--delay-us=N]

Options:
  --listen=ADDRESS  IP address and port.
  --delay-us=N      Microseconds for each call [default: 500].
)";

constexpr Duration watchPollInterval = std::chrono::milliseconds(5);

struct Entry
{
    std::string value{};
    std::int64_t revision = 0;
    std::int64_t lease = 0;
};

struct Lease
{
    Duration length{};
    Time expires{};
};

struct Change
{
    std::int64_t revision = 0;
    bool deleted = false;
    std::string key{};
    std::string value{};
};

struct Store
{
    Duration delay;
    std::mutex mutex{};
    std::map<std::string, Entry> entries{};
    std::map<std::int64_t, Lease> leases{};
    std::vector<Change> changes{};
    std::int64_t revision = 1;
    std::int64_t nextLease = 1000;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t watches = 0;
    std::string fault = "none";
    Duration faultDelay{};
    std::map<std::string, json::object> formerAnswers{}; //!< The last answer on each connection, by the caller's address and port.

    void put(const std::string &key, const std::string &value, std::int64_t lease)
    {
        this->entries[key] = Entry{value, this->revision, lease};
        this->changes.push_back(Change{this->revision, false, key, value});
    }

    void erase(const std::string &key)
    {
        if (this->entries.erase(key) > 0) {
            this->changes.push_back(Change{this->revision, true, key, {}});
        }
    }

    void expireLeases(Time now)
    {
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (lease->second.expires > now) {
                ++lease;
                continue;
            }
            std::vector<std::string> removedKeys;
            for (const auto &[key, entry] : this->entries) {
                if (entry.lease == lease->first) {
                    removedKeys.push_back(key);
                }
            }
            this->revision += removedKeys.empty() ? 0 : 1;
            for (const std::string &key : removedKeys) {
                this->erase(key);
            }
            lease = this->leases.erase(lease);
        }
    }

    //! Gives every lease its full length again at the end of an outage, as the real service does when it recovers.
    void restartLeases(Time now)
    {
        for (auto &[id, lease] : this->leases) {
            lease.expires = now + lease.length;
        }
    }
};

json::object responseHeader(const Store &store)
{
    return json::object{{"revision", std::to_string(store.revision)}};
}

json::object keyValueJson(const std::string &key, const Entry &entry)
{
    return json::object{{"key", toBase64(key)}, {"value", toBase64(entry.value)}, {"mod_revision", std::to_string(entry.revision)}};
}

json::object range(Store &store, const json::object &request)
{
    const std::string key = fromBase64(jsonText(request, "key"));
    const std::string end = fromBase64(jsonText(request, "range_end"));
    const std::int64_t limit = jsonNumber(request, "limit", 0);
    json::array kvs;
    bool more = false;
    for (auto entry = store.entries.lower_bound(key); entry != store.entries.end(); ++entry) {
        if (end.empty() ? entry->first != key : entry->first >= end) {
            break;
        }
        if (limit > 0 && static_cast<std::int64_t>(kvs.size()) >= limit) {
            more = true;
            break;
        }
        kvs.push_back(keyValueJson(entry->first, entry->second));
    }
    return json::object{{"header", responseHeader(store)}, {"kvs", kvs}, {"more", more}};
}

bool conditionHolds(const Store &store, const json::object &compare)
{
    const auto entry = store.entries.find(fromBase64(jsonText(compare, "key")));
    const std::int64_t revision = entry == store.entries.end() ? 0 : entry->second.revision;
    return revision == jsonNumber(compare, "mod_revision");
}

void apply(Store &store, const json::object &operation)
{
    if (const json::value *put = operation.if_contains("request_put")) {
        const json::object &request = put->as_object();
        store.put(fromBase64(jsonText(request, "key")), fromBase64(jsonText(request, "value")), jsonNumber(request, "lease"));
    } else if (const json::value *deletion = operation.if_contains("request_delete_range")) {
        const std::string key = fromBase64(jsonText(deletion->as_object(), "key"));
        const std::string end = fromBase64(jsonText(deletion->as_object(), "range_end"));
        std::vector<std::string> removedKeys;
        for (auto entry = store.entries.lower_bound(key); entry != store.entries.end() && (end.empty() ? entry->first == key : entry->first < end); ++entry) {
            removedKeys.push_back(entry->first);
        }
        for (const std::string &name : removedKeys) {
            store.erase(name);
        }
    }
}

json::object transact(Store &store, const json::object &body)
{
    bool succeeded = true;
    for (const json::value &compare : body.at("compare").as_array()) {
        succeeded = succeeded && conditionHolds(store, compare.as_object());
    }
    json::array responses;
    if (succeeded) {
        store.revision += 1;
        for (const json::value &operation : body.at("success").as_array()) {
            apply(store, operation.as_object());
        }
    } else {
        for (const json::value &operation : body.at("failure").as_array()) {
            responses.push_back(json::object{{"response_range", range(store, operation.as_object().at("request_range").as_object())}});
        }
    }
    return json::object{{"header", responseHeader(store)}, {"succeeded", succeeded}, {"responses", responses}};
}

json::object serveLease(Store &store, const json::object &body, bool grant, Time now)
{
    if (grant) {
        const std::int64_t id = store.nextLease++;
        const Duration length = std::chrono::seconds(jsonNumber(body, "TTL", 1));
        store.leases[id] = Lease{length, now + length};
        return json::object{{"ID", std::to_string(id)}, {"TTL", std::to_string(jsonNumber(body, "TTL", 1))}};
    }
    const auto found = store.leases.find(jsonNumber(body, "ID"));
    if (found == store.leases.end()) {
        return json::object{{"result", json::object{{"TTL", "0"}}}};
    }
    found->second.expires = now + found->second.length;
    return json::object{{"result", json::object{{"TTL", std::to_string(std::chrono::ceil<std::chrono::seconds>(found->second.length).count())}}}};
}

json::object eventJson(const Change &change)
{
    return json::object{{"type", change.deleted ? "DELETE" : "PUT"}, {"kv", keyValueJson(change.key, Entry{change.value, change.revision})}};
}

std::string watchMessage(const json::array &events)
{
    return json::serialize(json::object{{"result", json::object{{"events", events}}}}) + "\n";
}

json::object statsJson(const Store &store)
{
    return json::object{{"reads", store.reads}, {"writes", store.writes}, {"watches", store.watches}, {"keys", store.entries.size()}};
}

json::object notFoundBody()
{
    return json::object{{"error", "no such path"}};
}

asio::awaitable<void> watch(Store &store, HttpRequest request, HttpExchange &exchange)
{
    const json::object body = parseJsonObject(request.body);
    const json::object createRequest = body.at("create_request").as_object();
    const std::string key = fromBase64(jsonText(createRequest, "key"));
    const std::string end = fromBase64(jsonText(createRequest, "range_end"));
    std::int64_t nextRevision = jsonNumber(createRequest, "start_revision");
    HttpResponse head;
    co_await exchange.startStream(std::move(head));
    bool connected = co_await exchange.sendChunk("{\"result\":{\"created\":true}}\n");
    while (connected) {
        co_await sleepFor(watchPollInterval);
        json::array events;
        bool down = false;
        {
            const std::lock_guard lock(store.mutex);
            down = store.fault == "down";
            store.expireLeases(currentTime());
            auto change = std::lower_bound(store.changes.begin(), store.changes.end(), nextRevision, [](const Change &entry, std::int64_t revision) {
                return entry.revision < revision;
            });
            for (; change != store.changes.end(); ++change) {
                if (change->key >= key && change->key < end) {
                    events.push_back(eventJson(*change));
                }
                nextRevision = change->revision + 1;
            }
        }
        if (down) {
            throw std::runtime_error("simulated outage");
        }
        if (!events.empty()) {
            connected = co_await exchange.sendChunk(watchMessage(events));
        }
    }
}

asio::awaitable<void> setFault(Store &store, HttpRequest request, HttpExchange &exchange)
{
    {
        const json::object body = parseJsonObject(request.body);
        const std::lock_guard lock(store.mutex);
        const bool wasDown = store.fault == "down";
        store.fault = jsonText(body, "mode");
        store.faultDelay = std::chrono::milliseconds(jsonNumber(body, "ms", 0));
        if (wasDown && store.fault != "down") {
            store.restartLeases(currentTime());
        }
    }
    co_await exchange.respond(standin::jsonResponse(json::object()));
}

asio::awaitable<void> handle(Store &store, HttpRequest request, HttpExchange &exchange)
{
    const std::string path = request.path();
    if (path == "/fault") {
        co_await setFault(store, std::move(request), exchange);
        co_return;
    }
    if (path == "/stats") {
        json::object stats;
        {
            const std::lock_guard lock(store.mutex);
            stats = statsJson(store);
        }
        co_await exchange.respond(standin::jsonResponse(stats));
        co_return;
    }
    std::string fault;
    Duration callDelay = store.delay;
    {
        const std::lock_guard lock(store.mutex);
        fault = store.fault;
        callDelay += store.faultDelay;
    }
    if (fault == "down") {
        throw std::runtime_error("simulated outage");
    }
    co_await sleepFor(callDelay);
    if (path == "/v3/watch") {
        {
            const std::lock_guard lock(store.mutex);
            store.watches += 1;
        }
        co_await watch(store, std::move(request), exchange);
        co_return;
    }
    json::object answer = notFoundBody();
    int status = 404;
    {
        const json::object body = parseJsonObject(request.body);
        const std::lock_guard lock(store.mutex);
        const Time now = currentTime();
        store.expireLeases(now);
        const auto former = store.formerAnswers.find(request.peer);
        if (path == "/v3/kv/range") {
            store.reads += 1;
            answer = range(store, body);
            status = 200;
        } else if (path == "/v3/kv/txn") {
            store.writes += 1;
            answer = transact(store, body);
            status = 200;
        } else if (path == "/v3/lease/grant" || path == "/v3/lease/keepalive") {
            store.writes += 1;
            answer = serveLease(store, body, path.ends_with("grant"), now);
            status = 200;
        }
        if (fault == "repeat" && former != store.formerAnswers.end()) {
            answer = former->second;
        }
        store.formerAnswers[request.peer] = answer;
    }
    if (fault == "lose-answers") {
        throw std::runtime_error("simulated loss of the answer");
    }
    co_await exchange.respond(standin::jsonResponse(answer, status));
}

} // namespace

int main(int argc, char **argv)
{
    auto options = oleandergate::parseCommandLine("standin-kv", usage, argc, argv);
    Store store{Duration(std::strtoll(options.at("--delay-us").asString().c_str(), nullptr, 10))};
    return standin::serve("kv", options.at("--listen").asString(), 2, [&store](HttpRequest request, HttpExchange &exchange) {
        return handle(store, std::move(request), exchange);
    });
}
