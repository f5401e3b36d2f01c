#ifndef OLEANDERGATE_GATEWAY_PREFIXFOLLOWER_H
#define OLEANDERGATE_GATEWAY_PREFIXFOLLOWER_H

#include "backing/interfaces/keyvalueservice.h"

#include <functional>

namespace oleandergate {

//! Keeps a copy of all keys under a prefix: reads them once, follows the changes, and reads again when the watch breaks.
class PrefixFollower
{
public:
    struct Hooks
    {
        std::function<void(const KvRange &range)> onLoad{}; //!< A whole reading.
        std::function<void(const KvEvent &event)> onEvent{};
        std::function<void()> onBack{}; //!< The service answers after it did not; called ahead of onLoad.
    };

    PrefixFollower(KeyValueService &service, std::string prefix, Hooks hooks);

    //! Runs for the life of the process.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> load();

    KeyValueService &service;
    std::string prefix;
    Hooks hooks;
    std::uint64_t revision = 0; //!< Up to which changes are known.
    bool lost = false;
    Duration pause{};
};

} // namespace oleandergate

#endif
