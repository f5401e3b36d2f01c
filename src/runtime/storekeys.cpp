#include "runtime/storekeys.h"

#include <cstdlib>

namespace oleandergate {

namespace {

//! Pads \p number with zeros, so that keys sort by number.
std::string zeroPadded(std::uint64_t number)
{
    constexpr std::size_t width = 12;
    const std::string digits = std::to_string(number);
    return std::string(digits.size() < width ? width - digits.size() : 0, '0') + digits;
}

} // namespace

std::string slotKey(SlotId slot)
{
    return slotPrefix + zeroPadded(slot);
}

std::string instanceKey(const InstanceId &instance)
{
    return instancePrefix + instance;
}

std::string journalPrefix(SlotId slot)
{
    return "og/log/" + zeroPadded(slot) + "/";
}

std::string journalEntryKey(SlotId slot, std::uint64_t number)
{
    return journalPrefix(slot) + zeroPadded(number);
}

std::string checkpointPrefix(SlotId slot)
{
    return "og/checkpoint/" + zeroPadded(slot) + "/";
}

std::string checkpointHeadKey(SlotId slot)
{
    return checkpointPrefix(slot) + "head";
}

std::string checkpointPartKey(SlotId slot, std::uint64_t generation, std::size_t part)
{
    return checkpointPrefix(slot) + zeroPadded(generation) + "/" + zeroPadded(part);
}

std::string configHistoryKey(std::uint64_t version)
{
    return configHistoryPrefix + zeroPadded(version);
}

std::uint64_t trailingNumber(const std::string &key)
{
    return std::strtoull(key.c_str() + key.rfind('/') + 1, nullptr, 10);
}

} // namespace oleandergate
