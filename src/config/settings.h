#ifndef OLEANDERGATE_CONFIG_SETTINGS_H
#define OLEANDERGATE_CONFIG_SETTINGS_H

#include "config/configissue.h"
#include "decision/ids.h"
#include "decision/time.h"

#include <optional>
#include <string>
#include <vector>

namespace oleandergate {

//! Settings of the process of one entry instance.
struct Settings
{
    std::string instanceName{};
    std::string domain{}; //!< Failure domain.
    std::string dataFolder{}; //!< Folder for the copy of the configuration; empty for an instance without a disk.
    std::string callerAddress{}; //!< IP address and port for callers.
    std::string adminAddress{}; //!< IP address and port for operators.
    std::string peerAddress{}; //!< IP address and port for other instances, over TCP and UDP.
    std::vector<std::string> seeds{}; //!< Peer addresses from which the configuration is fetched while the key-value service is unreachable.
    std::string keyValueAddress{};
    std::string instanceListAddress{};
    std::string peerKey{}; //!< Shared secret of all instances.
    std::string logFormat{};
    std::string logLevel{};
    std::string eventFile{}; //!< File for the events that oleander-timeline reads; empty for none.
    unsigned threads = 2;
    unsigned shards = 2;
    SlotId slotCount = 64;
    std::int64_t journalWritesPerSecond = 300; //!< Journal writes per second that the key-value service can handle from all instances together.
    Duration leaseDuration{};
    Duration ownerWait{}; //!< Longest time that a call waits for its slot to get an owner.
    std::size_t maxBodyBytes = 0; //!< Of a caller's request.
    std::size_t maxHeaderBytes = 0; //!< Of a caller's request.
    Duration receiveTimeout{}; //!< Longest time that a caller may take to send a request.
    std::size_t memoryBytes = 0; //!< That the process may use.
    std::size_t maxDescriptors = 0; //!< That the process may have open; 0 for as many as the system allows.
    Duration drainLimit{}; //!< Longest duration of a graceful shutdown.
};

//! Parses a settings document in TOML. Adds what is invalid to \p issues, and returns nothing unless \p issues is empty.
std::optional<Settings> parseSettings(const std::string &text, const std::string &file, ConfigIssues &issues);

//! Returns the settings as TOML, defaults included and secrets replaced by "(hidden)".
std::string formatSettings(const Settings &settings);

} // namespace oleandergate

#endif
