#ifndef OLEANDERGATE_RUNTIME_CONNECTIONBUDGET_H
#define OLEANDERGATE_RUNTIME_CONNECTIONBUDGET_H

#include "decision/connectionledger.h"
#include "runtime/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace oleandergate {

class ConnectionPlace;

//! Bounds the connections that all servers and clients of a process have open together. Thread-safe.
class ConnectionBudget
{
public:
    ConnectionBudget(const ConnectionLimits &limits, Metrics &metrics);

    //! Returns the place of a new connection; nullptr when there is none. Another connection may be ended for it.
    std::unique_ptr<ConnectionPlace> open(ConnectionKind kind);

    //! The same. Waits a little while others are being ended.
    boost::asio::awaitable<std::unique_ptr<ConnectionPlace>> openInTime(ConnectionKind kind);

    //! The same, where nobody is told that there is no place.
    std::unique_ptr<ConnectionPlace> openAdmitted(ConnectionKind kind);

    //! Exports the number of open connections and its limit, by kind.
    void exportGauges();

private:
    friend class ConnectionPlace;

    //! \p admission is what was decided on the new connection.
    std::unique_ptr<ConnectionPlace> open(ConnectionKind kind, Admission &admission);

    std::mutex mutex;
    ConnectionLedger ledger; //!< Guarded by the mutex.
    std::unordered_map<ConnectionId, std::function<void()>> endings; //!< Guarded by the mutex.
    Metrics &metrics;
    std::array<Counter *, connectionKindNames.size()> endedCounters;
    std::array<Counter *, connectionKindNames.size()> refusedCounters;
};

//! The place of one connection, from its beginning to its end. A new connection rests.
class ConnectionPlace
{
public:
    ConnectionPlace(ConnectionBudget &budget, ConnectionId id, bool isTurnedAway);
    ~ConnectionPlace();
    ConnectionPlace(const ConnectionPlace &) = delete;
    ConnectionPlace &operator=(const ConnectionPlace &) = delete;

    //! Returns whether the connection may only be told that there is no place for it.
    bool isTurnedAway() const;

    //! Calls \p onEnded when the place is needed for another connection, on the thread of the one who needs it. It has to end the connection, or to call rest()
    //! or occupy() when something has happened on it meanwhile.
    void setEnding(std::function<void()> onEnded);

    //! Notes that something has happened on the connection, and that it may be ended from now on.
    void rest();

    //! Notes that the connection must not be ended, as a request is being served on it.
    void occupy();

    //! Returns whether the connection has to end behind the request that is being served on it, for one that found no place.
    bool yieldsAfterRequest();

private:
    ConnectionBudget &budget;
    ConnectionId id;
    bool turnedAway;
};

} // namespace oleandergate

#endif
