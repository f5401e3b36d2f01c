#ifndef OLEANDERGATE_GATEWAY_ROUTETARGETRECORDS_H
#define OLEANDERGATE_GATEWAY_ROUTETARGETRECORDS_H

#include "backing/interfaces/keyvalueservice.h"
#include "decision/ids.h"
#include "decision/routetargetledger.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <mutex>
#include <optional>
#include <random>

namespace boost::asio {
class io_context;
}

namespace oleandergate {

class Counter;
class Metrics;
class PeerGossip;

//! Keeps the record of the targets by which streams began in the key-value service. Thread-safe, up to step().
//!
//! A change of the targets of routes for streams is written once, by one of the instances, before the others use it. Its cost is one lease
//! and one transaction; changes of anything else cost nothing.
class RouteTargetRecords
{
public:
    struct Parts
    {
        boost::asio::io_context &context; //!< Runs the calls to the key-value service.
        KeyValueService &service;
        const PeerGossip &gossip;
        Metrics &metrics;
    };

    //! Reads the records again, through load().
    using Reread = std::function<boost::asio::awaitable<void>()>;

    RouteTargetRecords(const Parts &parts, const InstanceId &self);

    //! Sets how step() has the records read again.
    void setReread(Reread newReread);

    //! Returns whether \p key, which begins with versionRecordPrefix, is that of a record of targets.
    static bool isRecordKey(const std::string &key);

    //! The records were read.
    void load(const KvRange &range);

    //! A record has changed.
    void apply(const KvEvent &event);

    //! Has the record made to hold \p targets, by this instance or another one.
    void require(VersionedTargets targets, Time now);

    //! Has this instance record that it begins streams by \p targets, which the record does not hold.
    void addUnrecorded(VersionedTargets targets);

    //! As in RouteTargetLedger.
    bool holds(const VersionedTargets &targets) const;
    bool isAsNewAs(const VersionedTargets &targets) const;
    bool isNewerThan(const VersionedTargets &targets) const;
    bool isLoaded() const;
    bool isRead() const;
    Duration longestResumableTimeout(Time now) const;
    void addOrigins(const Route &route, std::string_view path, std::string_view key, Time now, StreamOrigins &origins) const;

    //! Writes or reads the record if that is due. To be called often, on the context's thread.
    void step(Time now);

private:
    boost::asio::awaitable<void> write();
    boost::asio::awaitable<void> reread();
    void put(const KvPair &pair, Time now);

    //! Stores \p change. Returns whether it is stored, or nothing when that is not known.
    boost::asio::awaitable<std::optional<bool>> store(RouteTargetLedger::Change change);

    //! Returns whether it is this instance's turn to write, \p waited after the change became due.
    bool isProposer(Duration waited, Time now) const;

    Parts parts;
    InstanceId self;
    Reread rereadRecords;
    Counter &recordsWritten;
    Counter &recordsFailed;
    Time startedAt;
    Duration startupDelay; //!< Before a first write, while instances that start together do not know each other.
    // Used on the context's thread only, up to the mutex.
    bool busy = false;
    std::optional<Time> dueSince;
    Time writeAgainAt{};
    Time rereadAt{};
    mutable std::mutex mutex; //!< Guards the members below.
    RouteTargetLedger ledger;
    VersionedTargets required;
    std::vector<VersionedTargets> unrecorded; //!< By which this instance has begun streams without a record.
};

} // namespace oleandergate

#endif
