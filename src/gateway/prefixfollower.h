#ifndef OLEANDERGATE_GATEWAY_PREFIXFOLLOWER_H
#define OLEANDERGATE_GATEWAY_PREFIXFOLLOWER_H

#include "backing/interfaces/keyvalueservice.h"

#include <atomic>
#include <functional>

namespace oleandergate {

//! Keeps a copy of all keys under a prefix: reads them once, follows the changes, and reads again when the watch breaks or
//! somebody asks for it, since a watch may fall silent without breaking.
class PrefixFollower
{
public:
    struct Hooks
    {
        std::function<void(const KvRange &range)> onLoad{}; //!< A whole reading.
        std::function<void(const KvEvent &event)> onEvent{};
        std::function<void()> onServiceRecovered{}; //!< The service answers after it did not; called ahead of onLoad.
    };

    PrefixFollower(KeyValueService &service, std::string prefix, Hooks hooks);

    //! Runs for the life of the process.
    boost::asio::awaitable<void> run();

    //! While passive it watches nothing; others tell of changes. A watch that waits is left to end by itself.
    void setActive(bool active);

    //! Reads all keys again. Returns false when the service does not answer.
    boost::asio::awaitable<bool> load();

    //! Returns the revision up to which changes are known.
    std::uint64_t seenRevision() const;

    //! Returns when the keys were last read.
    Time loadedAt() const;

private:
    KeyValueService &service;
    std::string prefix;
    Hooks hooks;
    std::uint64_t loadedRevision = 0; //!< Revision of the latest whole reading; events up to it are old.
    std::atomic<std::uint64_t> knownRevision{0}; //!< Revision up to which changes are known.
    bool serviceDown = false;
    std::atomic<Time> readAt{Time{}};
    std::atomic<bool> active{true};
    Duration retryDelay{};
};

} // namespace oleandergate

#endif
