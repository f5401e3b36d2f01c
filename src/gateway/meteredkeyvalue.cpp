#include "gateway/meteredkeyvalue.h"

#include "runtime/clock.h"

namespace oleandergate {

namespace asio = boost::asio;

MeteredKeyValue::MeteredKeyValue(std::unique_ptr<KeyValueService> service, Metrics &metrics)
    : service(std::move(service))
    , transactions(metrics, "transact")
    , ranges(metrics, "range")
    , leaseGrants(metrics, "grant-lease")
    , leaseRenewals(metrics, "renew-lease")
    , events(metrics.counter("oleandergate_store_events_total"))
    , watchesEnded(metrics.counter("oleandergate_store_watches_ended_total"))
    , seconds(metrics.histogram("oleandergate_store_seconds"))
{
}

MeteredKeyValue::CallCounters::CallCounters(Metrics &metrics, const std::string &call)
    : begun(metrics.counter("oleandergate_store_calls_begun_total", "call=\"" + call + "\""))
    , succeeded(metrics.counter("oleandergate_store_calls_total", "call=\"" + call + "\",ok=\"true\""))
    , failed(metrics.counter("oleandergate_store_calls_total", "call=\"" + call + "\",ok=\"false\""))
{
}

void MeteredKeyValue::count(CallCounters &call, bool succeeded, Time began, Time now)
{
    (succeeded ? call.succeeded : call.failed).add();
    this->seconds.observe(now - began);
}

asio::awaitable<Result<KvTransactionReply>> MeteredKeyValue::transact(KvTransaction transaction)
{
    const Time began = currentTime();
    this->transactions.begun.add();
    Result<KvTransactionReply> reply = co_await this->service->transact(std::move(transaction));
    this->count(this->transactions, reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Result<KvRange>> MeteredKeyValue::range(std::string prefix, KvFilter keeps)
{
    const Time began = currentTime();
    this->ranges.begun.add();
    Result<KvRange> reply = co_await this->service->range(std::move(prefix), std::move(keeps));
    this->count(this->ranges, reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Result<std::uint64_t>> MeteredKeyValue::grantLease(Duration length)
{
    const Time began = currentTime();
    this->leaseGrants.begun.add();
    Result<std::uint64_t> reply = co_await this->service->grantLease(length);
    this->count(this->leaseGrants, reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Result<void>> MeteredKeyValue::renewLease(std::uint64_t lease)
{
    const Time began = currentTime();
    this->leaseRenewals.begun.add();
    Result<void> reply = co_await this->service->renewLease(lease);
    this->count(this->leaseRenewals, reply.has_value(), began, currentTime());
    co_return reply;
}

asio::awaitable<Error>
MeteredKeyValue::watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> wanted)
{
    // The service counts each response of a watch as a call, and each response carries events.
    const auto counted = [this, onEvent = std::move(onEvent)](const KvEvent &event) {
        this->events.add();
        onEvent(event);
    };
    Error ended = co_await this->service->watch(std::move(prefix), fromRevision, counted, std::move(wanted));
    this->watchesEnded.add();
    co_return ended;
}

} // namespace oleandergate
