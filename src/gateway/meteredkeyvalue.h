#ifndef OLEANDERGATE_GATEWAY_METEREDKEYVALUE_H
#define OLEANDERGATE_GATEWAY_METEREDKEYVALUE_H

#include "backing/interfaces/keyvalueservice.h"

#include "runtime/metrics.h"

#include <memory>

namespace oleandergate {

//! Counts the calls to a key-value service by kind and outcome, and measures their duration.
class MeteredKeyValue : public KeyValueService
{
public:
    MeteredKeyValue(std::unique_ptr<KeyValueService> service, Metrics &metrics);

    boost::asio::awaitable<Result<KvTransactionReply>> transact(KvTransaction transaction) override;
    boost::asio::awaitable<Result<KvRange>> range(std::string prefix, KvFilter keeps = nullptr) override;
    boost::asio::awaitable<Result<std::uint64_t>> grantLease(Duration length) override;
    boost::asio::awaitable<Result<void>> renewLease(std::uint64_t lease) override;
    boost::asio::awaitable<Error>
    watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> wanted) override;

private:
    //! Counters of one kind of call.
    struct CallCounters
    {
        CallCounters(Metrics &metrics, const std::string &call);

        Counter &begun;
        Counter &succeeded;
        Counter &failed;
    };

    void count(CallCounters &call, bool succeeded, Time began, Time now);

    std::unique_ptr<KeyValueService> service;
    CallCounters transactions;
    CallCounters ranges;
    CallCounters leaseGrants;
    CallCounters leaseRenewals;
    Counter &events;
    Counter &watchesEnded;
    LatencyHistogram &seconds;
};

} // namespace oleandergate

#endif
