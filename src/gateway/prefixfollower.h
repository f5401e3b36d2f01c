#ifndef OLEANDERGATE_GATEWAY_PREFIXFOLLOWER_H
#define OLEANDERGATE_GATEWAY_PREFIXFOLLOWER_H

#include "backing/interfaces/keyvalueservice.h"

#include <atomic>
#include <functional>

namespace oleandergate {

//! Follows all keys under a prefix: reads them once, watches for changes, and reads them again when the watch breaks or load()
//! is called, as a watch may stop delivering events without an error.
class PrefixFollower
{
public:
    struct Hooks
    {
        std::function<void(const KvRange &range)> onLoad{}; //!< All keys were read.
        std::function<void(const KvEvent &event)> onEvent{};
        std::function<void(Time askedAt)> onFailed{}; //!< The service did not answer a reading. Optional, like the next one.
        std::function<void()> onAnswered{}; //!< The service answered a reading; called before onLoad.
        KvFilter keeps{}; //!< Which keys of a reading onLoad gets; all without one.
    };

    PrefixFollower(KeyValueService &service, std::string prefix, Hooks hooks);

    //! Follows the keys until the process ends.
    boost::asio::awaitable<void> run();

    //! An inactive follower does not watch. A pending watch is not aborted, but ends with its next response.
    void setActive(bool active);

    //! With \p relaxed set, calls that fail are repeated less often. To be set where changes also arrive in another way.
    void setRelaxed(bool relaxed);

    //! Reads all keys again. Returns false when the service does not answer.
    boost::asio::awaitable<bool> load();

    //! Returns the revision up to which changes are known.
    std::uint64_t seenRevision() const;

    //! Returns when the latest successful reading of the keys began.
    Time loadedAt() const;

private:
    KeyValueService &service;
    std::string prefix;
    Hooks hooks;
    std::uint64_t loadedRevision = 0; //!< Revision of the latest complete reading; events up to it are outdated.
    std::atomic<std::uint64_t> knownRevision{0}; //!< Revision up to which changes are known.
    bool serviceDown = false;
    std::atomic<Time> readAt{Time{}};
    std::atomic<bool> active{true};
    std::atomic<bool> relaxed{false};
    Duration retryDelay{};
};

} // namespace oleandergate

#endif
