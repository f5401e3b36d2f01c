#include "backing/etcdkeyvalue.h"

#include "backing/base64.h"
#include "decision/pagedreading.h"
#include "runtime/cancellation.h"
#include "runtime/httpclient.h"
#include "runtime/jsonaccess.h"
#include "runtime/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace oleandergate {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

//! Most keys that one range request returns.
constexpr std::int64_t keysPerPage = 500;

//! Only instances write the keys that are read here, and their journals are read whole.
constexpr PagedReading::Limits readingLimits{.items = std::numeric_limits<std::size_t>::max(), .keptBytes = std::numeric_limits<std::size_t>::max()};

std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xFFU) {
        prefix.pop_back();
    }
    if (!prefix.empty()) {
        prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1U);
    }
    return prefix;
}

//! Returns the number at \p key; etcd encodes 64-bit numbers as JSON strings.
std::uint64_t numberAt(const json::object &object, std::string_view key)
{
    return static_cast<std::uint64_t>(jsonNumber(object, key));
}

KvPair pairOf(const json::object &object)
{
    KvPair pair;
    pair.key = fromBase64(jsonText(object, "key"));
    pair.value = fromBase64(jsonText(object, "value"));
    pair.revision = numberAt(object, "mod_revision");
    return pair;
}

std::uint64_t headerRevision(const json::object &object)
{
    const json::value *header = object.if_contains("header");
    return header != nullptr && header->is_object() ? numberAt(header->get_object(), "revision") : 0;
}

json::value compareOf(const KvCompare &compare)
{
    return {{"key", toBase64(compare.key)}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(compare.revision)}};
}

json::value putOf(const KvPut &put)
{
    json::object request{{"key", toBase64(put.key)}, {"value", toBase64(put.value)}};
    if (put.lease != 0) {
        request["lease"] = std::to_string(put.lease);
    }
    return {{"request_put", request}};
}

json::value deleteOf(const KvDelete &deletion)
{
    json::object request{{"key", toBase64(deletion.key)}};
    if (deletion.prefix) {
        request["range_end"] = toBase64(endOfPrefix(deletion.key));
    }
    return {{"request_delete_range", request}};
}

//! For calls whose answers may say the same each time.
bool isNeverUnique(const HttpResponse & /*response*/)
{
    return false;
}

//! Returns whether \p response shows the revision of a write that was applied, which no other write has.
bool showsWrite(const HttpResponse &response)
{
    const json::object answer = parseJsonObject(response.body);
    return response.status == statusOk && jsonFlag(answer, "succeeded") && headerRevision(answer) != 0;
}

//! Returns the revision of an earlier copy of \p transaction that \p found shows; 0 when it shows none.
std::uint64_t revisionOfEarlierCopy(const KvTransaction &transaction, const std::vector<KvPair> &found)
{
    if (!transaction.hasOwnValues || transaction.puts.empty()) {
        return 0;
    }
    std::uint64_t revision = 0;
    for (const KvPut &put : transaction.puts) {
        const auto pair = std::find_if(found.begin(), found.end(), [&put](const KvPair &candidate) {
            return candidate.key == put.key;
        });
        const bool isOwn = pair != found.end() && pair->value == put.value && (revision == 0 || pair->revision == revision);
        if (!isOwn) {
            return 0;
        }
        revision = pair->revision;
    }
    return revision;
}

Error malformedReply(const std::string &address)
{
    return Error{ErrorCode::ServiceUnavailable,
                 Step::Parse,
                 address,
                 Executed::Unknown,
                 std::nullopt,
                 "the key-value service sent an unexpected response; expected a JSON object"};
}

Result<json::object> parseObject(const std::string &text, const std::string &address)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return malformedReply(address);
    }
    return value.get_object();
}

void reportEvents(const std::string &line, const std::function<void(const KvEvent &)> &onEvent)
{
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    const json::value *result = error || !value.is_object() ? nullptr : value.get_object().if_contains("result");
    const json::value *events = result == nullptr || !result->is_object() ? nullptr : result->get_object().if_contains("events");
    if (events == nullptr || !events->is_array()) {
        return;
    }
    for (const json::value &entry : events->get_array()) {
        const json::value *kv = entry.is_object() ? entry.get_object().if_contains("kv") : nullptr;
        if (kv == nullptr || !kv->is_object()) {
            continue;
        }
        const json::value *type = entry.get_object().if_contains("type");
        KvEvent event;
        event.deleted = type != nullptr && type->is_string() && type->get_string() == "DELETE";
        event.pair = pairOf(kv->get_object());
        onEvent(event);
    }
}

} // namespace

EtcdKeyValue::EtcdKeyValue(HttpClient &client, std::string address, Duration timeout)
    : client(client)
    , address(std::move(address))
    , timeout(timeout)
{
}

asio::awaitable<Result<json::object>> EtcdKeyValue::post(std::string path, json::object body, UniquenessCheck isUnique)
{
    HttpCall call;
    call.address = this->address;
    call.method = "POST";
    call.target = std::move(path);
    call.body = json::serialize(body);
    call.headers.push_back(HttpHeader{"Content-Type", "application/json"});
    call.connectTimeout = this->timeout;
    call.idleTimeout = this->timeout;
    call.reuse = isUnique != isNeverUnique;
    call.isUnique = isUnique;
    HttpOutcome outcome = co_await this->client.send(std::move(call), Step::JournalIntent);
    if (!outcome) {
        Error error = outcome.error().error;
        error.code = ErrorCode::ServiceUnavailable;
        co_return error;
    }
    if (outcome.value().status == statusNotFound) {
        co_return Error{ErrorCode::NotFound, Step::LeaseRenew, this->address, Executed::Yes, std::nullopt, outcome.value().body};
    }
    if (outcome.value().status != statusOk) {
        co_return Error{ErrorCode::ServiceUnavailable,
                        Step::JournalIntent,
                        this->address,
                        Executed::Unknown,
                        std::nullopt,
                        "the key-value service answered with status " + std::to_string(outcome.value().status)};
    }
    co_return parseObject(outcome.value().body, this->address);
}

asio::awaitable<Result<KvTransactionReply>> EtcdKeyValue::transact(KvTransaction transaction)
{
    json::array compares;
    for (const KvCompare &compare : transaction.compares) {
        compares.push_back(compareOf(compare));
    }
    json::array success;
    for (const KvPut &put : transaction.puts) {
        success.push_back(putOf(put));
    }
    for (const KvDelete &deletion : transaction.deletes) {
        success.push_back(deleteOf(deletion));
    }
    json::array failure;
    for (const std::string &key : transaction.elseKeys) {
        failure.push_back(json::object{{"request_range", json::object{{"key", toBase64(key)}}}});
    }
    const json::object body{{"compare", compares}, {"success", success}, {"failure", failure}};
    // A transaction that stores nothing need not raise the service's revision.
    const UniquenessCheck isUnique = transaction.puts.empty() ? isNeverUnique : showsWrite;
    Result<json::object> answer = co_await this->post("/v3/kv/txn", body, isUnique);
    if (!answer) {
        co_return answer.error();
    }
    const json::object &object = answer.value();
    KvTransactionReply reply;
    reply.succeeded = jsonFlag(object, "succeeded");
    reply.revision = headerRevision(object);
    const json::value *responses = object.if_contains("responses");
    if (reply.succeeded || responses == nullptr || !responses->is_array()) {
        co_return reply;
    }
    std::size_t index = 0;
    for (const json::value &response : responses->get_array()) {
        KvPair pair;
        const json::value *range = response.is_object() ? response.get_object().if_contains("response_range") : nullptr;
        const json::value *kvs = range != nullptr && range->is_object() ? range->get_object().if_contains("kvs") : nullptr;
        if (kvs != nullptr && kvs->is_array() && !kvs->get_array().empty() && kvs->get_array().front().is_object()) {
            pair = pairOf(kvs->get_array().front().get_object());
        }
        if (index < transaction.elseKeys.size()) {
            pair.key = transaction.elseKeys[index];
        }
        index += 1;
        reply.found.push_back(std::move(pair));
    }
    const std::uint64_t appliedAt = revisionOfEarlierCopy(transaction, reply.found);
    if (appliedAt != 0) {
        logRecord(LogLevel::Info,
                  "etcd",
                  "a write whose answer was lost is in effect",
                  {{"key", transaction.puts.front().key}, {"revision", std::to_string(appliedAt)}});
        reply = KvTransactionReply{true, appliedAt};
    }
    co_return reply;
}

asio::awaitable<Result<KvRange>> EtcdKeyValue::range(std::string prefix, KvFilter keeps)
{
    KvRange range;
    PagedReading reading(readingLimits);
    PageVerdict verdict = PageVerdict::Continue;
    while (verdict == PageVerdict::Continue) {
        const std::string from = reading.lastKey() ? *reading.lastKey() + std::string(1, '\0') : prefix;
        json::object body{{"key", toBase64(from)}, {"range_end", toBase64(endOfPrefix(prefix))}, {"limit", std::to_string(keysPerPage)}};
        if (range.revision != 0) {
            body["revision"] = std::to_string(range.revision);
        }
        Result<json::object> answer = co_await this->post("/v3/kv/range", body, isNeverUnique);
        if (!answer) {
            co_return answer.error();
        }
        const json::object &object = answer.value();
        if (range.revision == 0) {
            range.revision = headerRevision(object);
        }
        PagedReading::Page page;
        page.isTruncated = jsonFlag(object, "more");
        for (const json::object &kv : jsonObjects(object, "kvs")) {
            KvPair pair = pairOf(kv);
            const bool isKept = !keeps || keeps(pair);
            page.add(pair.key, isKept ? pair.key.size() + pair.value.size() : 0);
            if (isKept) {
                range.pairs.push_back(std::move(pair));
            }
        }
        verdict = reading.onPage(page);
    }
    if (verdict != PageVerdict::Complete) {
        co_return Error{ErrorCode::ServiceUnavailable, Step::Parse, this->address, Executed::No, std::nullopt, std::string(nameIn(pageVerdictNames, verdict))};
    }
    co_return range;
}

asio::awaitable<Result<std::uint64_t>> EtcdKeyValue::grantLease(Duration length)
{
    const auto seconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(length).count());
    const json::object body{{"TTL", std::to_string(seconds)}};
    Result<json::object> answer = co_await this->post("/v3/lease/grant", body, isNeverUnique);
    if (!answer) {
        co_return answer.error();
    }
    const std::uint64_t lease = numberAt(answer.value(), "ID");
    if (lease == 0) {
        co_return malformedReply(this->address);
    }
    co_return lease;
}

asio::awaitable<Result<void>> EtcdKeyValue::renewLease(std::uint64_t lease)
{
    const json::object body{{"ID", std::to_string(lease)}};
    Result<json::object> answer = co_await this->post("/v3/lease/keepalive", body, isNeverUnique);
    if (!answer) {
        co_return answer.error();
    }
    const json::value *result = answer.value().if_contains("result");
    if (result == nullptr || !result->is_object() || numberAt(result->get_object(), "TTL") == 0) {
        co_return Error{ErrorCode::NotFound, Step::LeaseRenew, this->address, Executed::Yes, std::nullopt, "the lease has expired"};
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<Error>
EtcdKeyValue::watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> keepWatching)
{
    constexpr std::chrono::hours watchIdleTimeout{24};
    auto pending = std::make_shared<std::string>();
    HttpCall call;
    call.address = this->address;
    call.method = "POST";
    call.target = "/v3/watch";
    call.headers.push_back(HttpHeader{"Content-Type", "application/json"});
    const json::object create{{"key", toBase64(prefix)}, {"range_end", toBase64(endOfPrefix(prefix))}, {"start_revision", std::to_string(fromRevision)}};
    call.body = json::serialize(json::object{{"create_request", create}});
    call.connectTimeout = this->timeout;
    call.idleTimeout = watchIdleTimeout;
    call.reuse = false;
    call.collectBody = false;
    call.cancellation = std::make_shared<Cancellation>();
    call.onBodyChunk = [pending, onEvent = std::move(onEvent), keepWatching = std::move(keepWatching), cancellation = call.cancellation](
                           int /*status*/, std::string_view chunk) {
        pending->append(chunk);
        std::size_t end = pending->find('\n');
        while (end != std::string::npos) {
            reportEvents(pending->substr(0, end), onEvent);
            pending->erase(0, end + 1);
            end = pending->find('\n');
        }
        if (!keepWatching()) {
            cancellation->cancel();
        }
    };
    HttpOutcome outcome = co_await this->client.send(std::move(call), Step::ConfigFetch);
    if (!outcome) {
        co_return outcome.error().error;
    }
    co_return Error{ErrorCode::ServiceUnavailable, Step::ConfigFetch, this->address, Executed::Yes, std::nullopt, "the key-value service ended the watch"};
}

} // namespace oleandergate
