#include "gateway/meteredkeyvalue.h"

#include "runtime/clock.h"
#include "runtime/metrics.h"

namespace oleandergate {

namespace asio = boost::asio;

MeteredKeyValue::MeteredKeyValue(std::unique_ptr<KeyValueService> service, Metrics &metrics)
    : service(std::move(service))
    , metrics(metrics)
{
}

void MeteredKeyValue::count(const char *call, bool succeeded, Time began, Time now)
{
    const std::string labels = std::string("call=\"") + call + "\",ok=\"" + (succeeded ? "true" : "false") + "\"";
    this->metrics.count("oleandergate_store_calls_total", labels);
    this->metrics.observe("oleandergate_store_seconds", toSeconds(now - began));
}

asio::awaitable<Result<KvTransactionReply>> MeteredKeyValue::transact(KvTransaction transaction)
{
    const Time began = currentTime();
    Result<KvTransactionReply> reply = co_await this->service->transact(std::move(transaction));
    this->count("transact", reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Result<KvRange>> MeteredKeyValue::range(std::string prefix)
{
    const Time began = currentTime();
    Result<KvRange> reply = co_await this->service->range(std::move(prefix));
    this->count("range", reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Result<std::uint64_t>> MeteredKeyValue::grantLease(Duration length)
{
    const Time began = currentTime();
    Result<std::uint64_t> reply = co_await this->service->grantLease(length);
    this->count("grant-lease", reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Result<void>> MeteredKeyValue::renewLease(std::uint64_t lease)
{
    const Time began = currentTime();
    Result<void> reply = co_await this->service->renewLease(lease);
    this->count("renew-lease", reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Error>
MeteredKeyValue::watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> wanted)
{
    // The service counts a watch anew with each answer, and each answer brings events.
    const auto counted = [this, onEvent = std::move(onEvent)](const KvEvent &event) {
        this->metrics.count("oleandergate_store_events_total");
        onEvent(event);
    };
    Error ended = co_await this->service->watch(std::move(prefix), fromRevision, counted, std::move(wanted));
    this->metrics.count("oleandergate_store_watches_ended_total");
    co_return ended;
}

} // namespace oleandergate
