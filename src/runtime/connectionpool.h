#ifndef OLEANDERGATE_RUNTIME_CONNECTIONPOOL_H
#define OLEANDERGATE_RUNTIME_CONNECTIONPOOL_H

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oleandergate {

//! Kept connections by address. Thread-safe.
template <typename Connection>
class ConnectionPool
{
public:
    using Pointer = std::shared_ptr<Connection>;

    //! Returns a kept connection to \p address, or nullptr.
    Pointer take(const std::string &address)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<Pointer> &kept = this->connections[address];
        if (kept.empty()) {
            return nullptr;
        }
        Pointer connection = std::move(kept.back());
        kept.pop_back();
        return connection;
    }

    //! Keeps \p connection for a later call, unless enough are kept.
    void keep(const std::string &address, Pointer connection)
    {
        constexpr std::size_t keptPerAddress = 64;
        const std::lock_guard lock(this->mutex);
        std::vector<Pointer> &kept = this->connections[address];
        if (kept.size() < keptPerAddress) {
            kept.push_back(std::move(connection));
        }
    }

    void clear()
    {
        const std::lock_guard lock(this->mutex);
        this->connections.clear();
    }

private:
    std::mutex mutex;
    std::map<std::string, std::vector<Pointer>> connections;
};

} // namespace oleandergate

#endif
