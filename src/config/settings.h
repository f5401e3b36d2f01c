#ifndef OLEANDERGATE_CONFIG_SETTINGS_H
#define OLEANDERGATE_CONFIG_SETTINGS_H

#include "config/configissue.h"
#include "decision/ids.h"
#include "decision/time.h"

#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! Settings of one entry instance's process.
struct Settings
{
    std::string instanceName{};
    std::string domain{}; //!< Failure domain.
    std::string dataFolder{}; //!< Empty for an instance without a disk.
    std::string callerAddress{}; //!< IP number and port for callers.
    std::string adminAddress{}; //!< IP number and port for operators.
    std::string peerAddress{}; //!< IP number and port for other instances, TCP and UDP.
    std::vector<std::string> seeds{}; //!< Peer addresses asked for the configuration while the key-value service is down.
    std::string keyValueAddress{};
    std::string instanceListAddress{};
    std::string peerKey{}; //!< Shared secret of all instances.
    std::string logFormat{};
    std::string logLevel{};
    std::string eventFile{}; //!< Events for the time line; empty for none.
    unsigned threads = 2;
    unsigned shards = 2;
    SlotId slotCount = 64;
    std::int64_t journalWritesPerSecond = 300; //!< Journal writes a second that the key-value service takes from all instances.
    Duration leaseDuration{};
    Duration ownerWait{}; //!< Longest wait for a slot to get an owner.
    std::size_t maxBodyBytes = 0; //!< Bytes.
    std::size_t maxHeaderBytes = 0; //!< Bytes.
    Duration receiveTimeout{}; //!< Longest time a caller may take to send a request.
    Duration drainLimit{}; //!< Longest graceful stop.
};

//! Reads a settings document. Returns nothing when \p issues were found.
std::optional<Settings> parseSettings(const std::string &text, const std::string &file, ConfigIssues &issues);

//! Returns the effective settings as TOML, without secrets.
std::string formatSettings(const Settings &settings);

} // namespace oleandergate

#endif
