#ifndef OLEANDERGATE_BACKING_ETCDKEYVALUE_H
#define OLEANDERGATE_BACKING_ETCDKEYVALUE_H

#include "backing/interfaces/keyvalueservice.h"

#include <boost/json/object.hpp>

#include <memory>

namespace oleandergate {

class HttpClient;
struct HttpResponse;

//! Client for a key-value service with etcd's version 3 API, over its JSON gateway.
//!
//! The service's answers name no request. A connection stays in use only behind an answer that no other one equals, so that the copy of an earlier answer is
//! recognised: the transaction that it meets is sent again on a new connection. All other calls use connections of their own.
class EtcdKeyValue : public KeyValueService
{
public:
    EtcdKeyValue(HttpClient &client, std::string address, Duration timeout);

    boost::asio::awaitable<Result<KvTransactionReply>> transact(KvTransaction transaction) override;
    boost::asio::awaitable<Result<KvRange>> range(std::string prefix, KvFilter keeps = nullptr) override;
    boost::asio::awaitable<Result<std::uint64_t>> grantLease(Duration length) override;
    boost::asio::awaitable<Result<void>> renewLease(std::uint64_t lease) override;
    boost::asio::awaitable<Error>
    watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> keepWatching) override;

private:
    //! Returns whether no other answer of the service equals the given one.
    using UniquenessCheck = bool (*)(const HttpResponse &response);

    boost::asio::awaitable<Result<boost::json::object>> post(std::string path, boost::json::object body, UniquenessCheck isUnique);

    HttpClient &client;
    std::string address;
    Duration timeout;
};

} // namespace oleandergate

#endif
