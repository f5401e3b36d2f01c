#ifndef OLEANDERGATE_SUPPORT_LINKCUTLIST_H
#define OLEANDERGATE_SUPPORT_LINKCUTLIST_H

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>

namespace oleandergate::support {

//! The ports to which a process cannot send, in memory that it shares with its test.
struct LinkCutList
{
    static constexpr std::size_t maxPorts = 64;
    static constexpr const char *variable = "OLEANDER_LINK_CUTS"; //!< Environment variable with the file of the list.

    bool has(int port) const
    {
        const std::size_t used = std::min<std::size_t>(this->count, maxPorts);
        return std::any_of(this->ports.begin(), this->ports.begin() + static_cast<std::ptrdiff_t>(used), [port](const std::atomic<std::uint16_t> &cut) {
            return cut == port;
        });
    }

    std::atomic<std::uint32_t> count{0};
    std::array<std::atomic<std::uint16_t>, maxPorts> ports{};
};

} // namespace oleandergate::support

#endif
