#ifndef OLEANDERGATE_RUNTIME_CONNECTIONPOOL_H
#define OLEANDERGATE_RUNTIME_CONNECTIONPOOL_H

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

} // namespace oleandergate

#endif
