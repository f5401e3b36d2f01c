#ifndef OLEANDERGATE_DECISION_CONNECTIONLEDGER_H
#define OLEANDERGATE_DECISION_CONNECTIONLEDGER_H

#include "decision/processlimits.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace oleandergate {

//! Whether a connection may be opened.
enum class Admission : std::uint8_t {
    Admitted,
    TurnedAway, //!< It may be told so, and is then to be closed.
    Dropped, //!< It is to be closed at once.
    Wait, //!< Others are being ended. To be asked again.
};

using ConnectionId = std::uint64_t;

//! Bounds the connections that a process has open, by kind, so that no kind takes the descriptors and the memory of another.
//!
//! A new connection goes before one on which nothing happens: when a kind has no place left, the connection of that kind that has rested for longest is ended.
//! A connection whose request is being served is never ended.
class ConnectionLedger
{
public:
    struct Decision
    {
        Admission admission = Admission::Admitted;
        ConnectionId connection = 0; //!< Of the new connection, if it is opened.
        std::optional<ConnectionId> ended{}; //!< Another connection that has to end now.
    };

    explicit ConnectionLedger(const ConnectionLimits &limits);

    //! Decides on a new connection. It rests.
    Decision open(ConnectionKind kind);
    void close(ConnectionId connection);

    //! Notes that something has happened on \p connection, and that it may be ended from now on. A connection that was to end goes on.
    void rest(ConnectionId connection);

    //! Notes that \p connection must not be ended. One that was to end goes on.
    void occupy(ConnectionId connection);

    //! Returns whether \p connection has to end behind the request that is being served on it although the next one has arrived. For each new connection
    //! that found no place one other does, so that there is a place when it comes again.
    bool yieldsAfterRequest(ConnectionId connection);

    //! Returns the number of open connections, those included that are turned away or have to end.
    std::size_t openCount(ConnectionKind kind) const;
    std::size_t limit(ConnectionKind kind) const;

private:
    enum class Standing : std::uint8_t {
        Resting,
        Occupied,
        TurnedAway,
        Ending,
    };

    struct Connection
    {
        ConnectionKind kind = ConnectionKind::Caller;
        Standing standing = Standing::Resting;
        std::list<ConnectionId>::iterator position{}; //!< Valid while it rests.
    };

    struct Kind
    {
        std::size_t limit = 0;
        std::size_t open = 0;
        std::size_t turnedAway = 0;
        std::size_t ending = 0;
        std::size_t missed = 0; //!< New connections without a place, for which no other connection has yielded.
        std::list<ConnectionId> resting{}; //!< The longest resting one is first.
    };

    Kind &kindOf(const Connection &connection);

    //! Changes the standing of \p connection, unless it was turned away.
    void change(ConnectionId id, Standing standing);
    void enter(ConnectionId id, Connection &connection, Standing standing);
    void leave(Connection &connection);

    std::array<Kind, connectionKindNames.size()> kinds;
    std::unordered_map<ConnectionId, Connection> connections;
    ConnectionId nextConnection = 1;
};

} // namespace oleandergate

#endif
