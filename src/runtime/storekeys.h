#ifndef OLEANDERGATE_RUNTIME_STOREKEYS_H
#define OLEANDERGATE_RUNTIME_STOREKEYS_H

#include "decision/ids.h"

#include <string>

namespace oleandergate {

//! Keys and key prefixes of the records in the key-value service.
inline constexpr const char *clusterPrefix = "og/cluster/";
inline constexpr const char *slotPrefix = "og/cluster/slots/";
inline constexpr const char *instancePrefix = "og/cluster/instances/";
inline constexpr const char *configKey = "og/cluster/config";
inline constexpr const char *peakKey = "og/peak";
inline constexpr const char *configHistoryPrefix = "og/config/";

std::string slotKey(SlotId slot);
std::string instanceKey(const InstanceId &instance);
std::string journalPrefix(SlotId slot);
std::string journalEntryKey(SlotId slot, std::uint64_t number);
std::string checkpointPrefix(SlotId slot);
std::string checkpointHeadKey(SlotId slot);
std::string checkpointPartKey(SlotId slot, std::uint64_t generation, std::size_t part);
std::string configHistoryKey(std::uint64_t version);

//! Returns the number after the last slash of \p key.
std::uint64_t trailingNumber(const std::string &key);

} // namespace oleandergate

#endif
