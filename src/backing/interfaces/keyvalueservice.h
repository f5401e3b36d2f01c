#ifndef OLEANDERGATE_BACKING_INTERFACES_KEYVALUESERVICE_H
#define OLEANDERGATE_BACKING_INTERFACES_KEYVALUESERVICE_H

#include "decision/error.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace oleandergate {

//! A key with its value.
struct KvPair
{
    std::string key{};
    std::string value{};
    std::uint64_t revision = 0; //!< Revision of the latest change of the key; 0 when the key does not exist.
};

//! Condition of a transaction: the latest change of the key has this revision. With revision 0 the key must not exist.
struct KvCompare
{
    std::string key{};
    std::uint64_t revision = 0;
};

//! A write of a key.
struct KvPut
{
    std::string key{};
    std::string value{};
    std::uint64_t lease = 0; //!< The key is deleted when this lease ends; 0 for none.
};

//! A deletion of a key or of all keys with a prefix.
struct KvDelete
{
    std::string key{};
    bool prefix = false; //!< Deletes all keys that start with \ref key.
};

//! Writes that are applied atomically, and only if all conditions hold.
struct KvTransaction
{
    std::vector<KvCompare> compares{};
    std::vector<KvPut> puts{};
    std::vector<KvDelete> deletes{};
    std::vector<std::string> elseKeys{}; //!< Keys to read when a condition fails.
    bool hasOwnValues = false; //!< No other write stores these values. When a condition fails and all keys of the writes, which have to be among elseKeys,
                               //!< have them, the transaction counts as applied: an earlier copy of it was, and its answer was lost.
};

//! Result of a transaction.
struct KvTransactionReply
{
    bool succeeded = false;
    std::uint64_t revision = 0; //!< Revision of the service after the transaction.
    std::vector<KvPair> found{}; //!< One for each of KvTransaction::elseKeys, in their order, when a condition failed; otherwise empty.
};

//! Returns whether a reading keeps \p pair. What is not kept costs no memory behind its page.
using KvFilter = std::function<bool(const KvPair &pair)>;

//! Result of reading a range of keys.
struct KvRange
{
    std::uint64_t revision = 0; //!< Revision of the service at which all pairs were read.
    std::vector<KvPair> pairs{};
};

//! A change that a watch reports.
struct KvEvent
{
    bool deleted = false;
    KvPair pair{};
};

//! The platform's key-value service. After an Error with Executed::Unknown, a write may or may not have taken effect.
class KeyValueService
{
public:
    virtual ~KeyValueService() = default;

    virtual boost::asio::awaitable<Result<KvTransactionReply>> transact(KvTransaction transaction) = 0;

    //! Reads all keys that start with \p prefix, and returns those that \p keeps accepts; all without one. Fails with ServiceUnavailable where the service's
    //! pages have no end, and where what is kept exceeds the bounds of a reading.
    virtual boost::asio::awaitable<Result<KvRange>> range(std::string prefix, KvFilter keeps = nullptr) = 0;

    //! Returns the identifier of a new lease of at least \p length.
    virtual boost::asio::awaitable<Result<std::uint64_t>> grantLease(Duration length) = 0;

    //! Renews a lease. Fails with NotFound if it has expired.
    virtual boost::asio::awaitable<Result<void>> renewLease(std::uint64_t lease) = 0;

    //! Reports changes of keys that start with \p prefix from \p fromRevision on. Returns when the connection fails or the service ends
    //! the watch, or with the code Cancelled when \p keepWatching, which is called after each report, returns false.
    virtual boost::asio::awaitable<Error>
    watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> keepWatching) = 0;
};

} // namespace oleandergate

#endif
