#ifndef OLEANDERGATE_RUNTIME_CONFIGSERVICE_H
#define OLEANDERGATE_RUNTIME_CONFIGSERVICE_H

#include "backing/interfaces/keyvalueservice.h"
#include "config/configuration.h"
#include "decision/error.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace oleandergate {

class EventLog;

//! One version of the configuration, as the key-value service holds it.
struct ConfigVersion
{
    std::uint64_t version = 0;
    std::string author{};
    std::string nonce{}; //!< Tells a writer whose answer was lost that the write was its own.
    std::string text{};
    Time at{};
};

//! The configuration in force.
struct ActiveConfig
{
    ConfigVersion version{};
    Configuration configuration{};
};

//! Keeps the configuration in force: takes newer versions, never older ones, and keeps a copy on the disk if there is one.
class ConfigService
{
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveConfig> &)>;

    ConfigService(KeyValueService &service, std::string dataFolder, EventLog &events);

    //! Sets who is told of each new version.
    void setListener(Listener listener);

    //! Puts the copy from the disk in force, if there is one.
    void restoreFromDisk();

    //! Puts \p version in force when it is newer. Returns false when it is not, or does not read.
    bool activateIfNewer(const ConfigVersion &version);

    //! Takes the stored form of a version.
    bool activateStoredIfNewer(const std::string &stored);

    //! Returns the configuration in force, or nullptr.
    std::shared_ptr<const ActiveConfig> active() const;

    //! Writes \p text as the version behind \p expectedVersion. Conflict tells the loser of a race which version is in force.
    boost::asio::awaitable<Result<ConfigVersion>> apply(std::string text, std::string author, std::uint64_t expectedVersion, Time now);

    //! Returns stored versions, newest first.
    boost::asio::awaitable<Result<std::vector<ConfigVersion>>> history();

private:
    KeyValueService &service;
    std::string dataFolder;
    EventLog &events;
    Listener listener;
    mutable std::mutex mutex;
    std::shared_ptr<const ActiveConfig> activeConfig;
};

std::string serializeConfigVersion(const ConfigVersion &version);
std::optional<ConfigVersion> parseConfigVersion(const std::string &stored);

} // namespace oleandergate

#endif
