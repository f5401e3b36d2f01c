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

//! One version of the configuration, as stored in the key-value service.
struct ConfigVersion
{
    std::uint64_t version = 0;
    std::string author{};
    std::string nonce{}; //!< Random; lets a writer that missed the reply recognise its own write.
    std::string text{}; //!< TOML.
    Time at{}; //!< When it was applied.
};

//! The active configuration.
struct ActiveConfig
{
    ConfigVersion version{};
    Configuration configuration{};
};

//! Holds the active configuration. Newer versions replace it, older ones never do. If there is a data folder, a copy of the
//! active version is kept in it.
class ConfigService
{
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveConfig> &)>;

    //! \p dataFolder is empty when no copy is to be kept on disk.
    ConfigService(KeyValueService &service, std::string dataFolder, EventLog &events);

    //! Sets the function that is called with each newly activated version.
    void setListener(Listener listener);

    //! Activates the copy in the data folder, if there is one.
    void restoreFromDisk();

    //! Activates \p version if it is newer than the active one. Returns false when it is not newer or cannot be parsed.
    bool activateIfNewer(const ConfigVersion &version);

    //! As activateIfNewer(), for a version in its stored JSON form.
    bool activateStoredIfNewer(const std::string &stored);

    //! Returns the active configuration, or nullptr when there is none yet.
    std::shared_ptr<const ActiveConfig> active() const;

    //! Writes \p text as the version after \p expectedVersion. Fails with ErrorCode::Conflict, naming the active version, when
    //! another version is active, and with ErrorCode::ServiceUnavailable when the key-value service does not confirm the write.
    boost::asio::awaitable<Result<ConfigVersion>> apply(std::string text, std::string author, std::uint64_t expectedVersion, Time now);

    //! Returns the stored versions, newest first.
    boost::asio::awaitable<Result<std::vector<ConfigVersion>>> history();

private:
    KeyValueService &service;
    std::string dataFolder;
    EventLog &events;
    Listener listener;
    mutable std::mutex mutex;
    std::shared_ptr<const ActiveConfig> activeConfig;
};

//! Conversions between a version and the JSON stored in the key-value service.
std::string serializeConfigVersion(const ConfigVersion &version);
std::optional<ConfigVersion> parseConfigVersion(const std::string &stored);

} // namespace oleandergate

#endif
