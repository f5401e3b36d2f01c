#ifndef OLEANDERGATE_BACKING_ETCDKEYVALUE_H
#define OLEANDERGATE_BACKING_ETCDKEYVALUE_H

#include "backing/interfaces/keyvalueservice.h"

#include <boost/json/object.hpp>

#include <memory>

namespace oleandergate {

class HttpClient;

//! Client for a key-value service with etcd's version 3 API, over its JSON gateway.
class EtcdKeyValue : public KeyValueService
{
public:
    EtcdKeyValue(HttpClient &client, std::string address, Duration timeout);

    boost::asio::awaitable<Result<KvTransactionReply>> transact(KvTransaction transaction) override;
    boost::asio::awaitable<Result<KvRange>> range(std::string prefix) override;
    boost::asio::awaitable<Result<std::uint64_t>> grantLease(Duration length) override;
    boost::asio::awaitable<Result<void>> renewLease(std::uint64_t lease) override;
    boost::asio::awaitable<Error>
    watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> keepWatching) override;

private:
    boost::asio::awaitable<Result<boost::json::object>> post(std::string path, boost::json::object body);

    HttpClient &client;
    std::string address;
    Duration timeout;
};

} // namespace oleandergate

#endif
