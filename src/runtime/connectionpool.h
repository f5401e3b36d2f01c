#ifndef OLEANDERGATE_RUNTIME_CONNECTIONPOOL_H
#define OLEANDERGATE_RUNTIME_CONNECTIONPOOL_H

#include "runtime/connectionbudget.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oleandergate {

//! Idle connections by address. Thread-safe.
template <typename Connection>
class ConnectionPool
{
public:
    using Pointer = std::shared_ptr<Connection>;

    //! \p maxIdlePerAddress limits the idle connections to one address.
    explicit ConnectionPool(std::size_t maxIdlePerAddress)
        : maxIdlePerAddress(maxIdlePerAddress)
    {
    }

    //! Removes an idle connection to \p address from the pool and returns it; nullptr when there is none.
    Pointer acquire(const std::string &address)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connections.find(address);
        if (found == this->connections.end()) {
            return nullptr;
        }
        Pointer connection = std::move(found->second.back());
        found->second.pop_back();
        if (found->second.empty()) {
            this->connections.erase(found);
        }
        return connection;
    }

    //! Adds \p connection to the pool, or drops it when the pool holds enough connections to \p address.
    void release(const std::string &address, Pointer connection)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<Pointer> &idle = this->connections[address];
        if (idle.size() < this->maxIdlePerAddress) {
            idle.push_back(std::move(connection));
        }
    }

    //! Removes \p connection to \p address. Returns false when the pool does not hold it.
    bool remove(const std::string &address, const Pointer &connection)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connections.find(address);
        const bool isHeld = found != this->connections.end() && std::erase(found->second, connection) > 0;
        if (isHeld && found->second.empty()) {
            this->connections.erase(found);
        }
        return isHeld;
    }

    //! Drops the connections for which \p isUnusable returns true.
    void dropIf(const std::function<bool(const std::string &address, const Connection &connection)> &isUnusable)
    {
        std::vector<Pointer> dropped; // Destroyed without the lock.
        const std::lock_guard lock(this->mutex);
        for (auto position = this->connections.begin(); position != this->connections.end();) {
            std::vector<Pointer> &idle = position->second;
            const auto end = std::partition(idle.begin(), idle.end(), [&](const Pointer &connection) {
                return !isUnusable(position->first, *connection);
            });
            dropped.insert(dropped.end(), std::make_move_iterator(end), std::make_move_iterator(idle.end()));
            idle.erase(end, idle.end());
            position = idle.empty() ? this->connections.erase(position) : std::next(position);
        }
    }

    void clear()
    {
        const std::lock_guard lock(this->mutex);
        this->connections.clear();
    }

private:
    std::size_t maxIdlePerAddress;
    std::mutex mutex;
    std::map<std::string, std::vector<Pointer>> connections;
};

//! Gives \p connection, which is in use, its place among those of the process. While the pool of \p owner holds the connection, it is closed when another one
//! needs the place. A pool's owner calls rest() and occupy() of the place as it returns and takes the connection.
template <typename Owner, typename Connection>
void takePlace(const std::shared_ptr<Owner> &owner,
               const std::string &address,
               const std::shared_ptr<Connection> &connection,
               std::unique_ptr<ConnectionPlace> place)
{
    place->occupy();
    place->setEnding([weakOwner = std::weak_ptr<Owner>(owner), address, weakConnection = std::weak_ptr<Connection>(connection)]() {
        const std::shared_ptr<Owner> lockedOwner = weakOwner.lock();
        const std::shared_ptr<Connection> ended = weakConnection.lock();
        if (lockedOwner && ended && !lockedOwner->idleConnections.remove(address, ended)) {
            ended->place->occupy();
        }
    });
    connection->place = std::move(place);
}

} // namespace oleandergate

#endif
