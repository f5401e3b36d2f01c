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
    std::uint64_t revision = 0; //!< Of the latest change; 0 when the key does not exist.
};

//! A condition: the key's latest change has this revision; 0 for a key that must not exist.
struct KvCompare
{
    std::string key{};
    std::uint64_t revision = 0;
};

//! A key to write.
struct KvPut
{
    std::string key{};
    std::string value{};
    std::uint64_t lease = 0; //!< The key vanishes with this lease; 0 for none.
};

//! Keys to delete.
struct KvDelete
{
    std::string key{};
    bool prefix = false; //!< All keys that start with \ref key.
};

//! Writes that happen together, and only if all conditions hold.
struct KvTransaction
{
    std::vector<KvCompare> compares{};
    std::vector<KvPut> puts{};
    std::vector<KvDelete> deletes{};
    std::vector<std::string> elseKeys{}; //!< Keys to read when a condition fails.
};

struct KvTransactionReply
{
    bool succeeded = false;
    std::uint64_t revision = 0; //!< Of the service after the transaction.
    std::vector<KvPair> found{}; //!< One for each of elseKeys when a condition failed.
};

struct KvRange
{
    std::uint64_t revision = 0; //!< Of the service at the reading.
    std::vector<KvPair> pairs{};
};

//! A change that a watch reports.
struct KvEvent
{
    bool deleted = false;
    KvPair pair{};
};

//! The platform's key-value service. An Error with Ran::Unknown leaves open whether a write took effect.
class KeyValueService
{
public:
    virtual ~KeyValueService() = default;

    virtual boost::asio::awaitable<Result<KvTransactionReply>> transact(KvTransaction transaction) = 0;

    //! Reads all keys that start with \p prefix.
    virtual boost::asio::awaitable<Result<KvRange>> range(std::string prefix) = 0;

    //! Returns the number of a new lease.
    virtual boost::asio::awaitable<Result<std::uint64_t>> grantLease(Duration length) = 0;

    //! Renews a lease. NotFound means that it has lapsed.
    virtual boost::asio::awaitable<Result<void>> renewLease(std::uint64_t lease) = 0;

    //! Reports changes of keys under \p prefix from \p fromRevision on, until the watch breaks or, with the code Cancelled,
    //! \p keepWatching says after a report that it is not needed any more.
    virtual boost::asio::awaitable<Error>
    watch(std::string prefix, std::uint64_t fromRevision, std::function<void(const KvEvent &)> onEvent, std::function<bool()> keepWatching) = 0;
};

} // namespace oleandergate

#endif
