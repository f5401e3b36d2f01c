#include "decision/processlimits.h"

#include <algorithm>
#include <limits>

namespace oleandergate {

namespace {

constexpr std::size_t kilobyte = 1024;

//! Memory that the process needs without any connection.
constexpr std::size_t ownBytes = 16 * kilobyte * kilobyte;

//! The part of the memory that may be held for others. Buffers grow by doubling and are copied while they do.
constexpr std::size_t heldDivisor = 4;

//! Descriptors for files, in a process that may have many; a quarter of all in one that may have few.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t fileDescriptorDivisor = 4;

//! Descriptors for what is no connection: listening and datagram sockets, timers, and those that wake threads.
constexpr std::size_t fixedDescriptors = 24;

//! Shares are counted in this part of the whole.
constexpr std::size_t wholeShare = 32;

//! Each kind has at least as many, or else few descriptors would leave a kind without any.
constexpr std::size_t minConnections = 8;
constexpr std::size_t maxConnections = 4096;

//! Memory of a connection with its request, but for what is counted as held.
constexpr std::size_t connectionBytes = 12 * kilobyte;

//! What the system may keep unread of a connection.
constexpr std::size_t unreadBytes = 2 * receiveBufferBytes;

struct ConnectionShare
{
    ConnectionKind kind;
    std::size_t descriptorShare;
    std::size_t memoryShare; //!< 0 for connections whose memory is counted with those of another kind.
    std::size_t bytesEach;
};

//! A caller's connection stands for that to an endpoint, too, which is open while the caller's request is under way.
constexpr std::array<ConnectionShare, connectionKindNames.size()> shares{{
    {ConnectionKind::Caller, 14, 17, 2 * (connectionBytes + unreadBytes)},
    {ConnectionKind::Operator, 1, 1, connectionBytes + unreadBytes},
    {ConnectionKind::Peer, 5, 6, 2 * connectionBytes},
    {ConnectionKind::Endpoint, 8, 0, 0},
    {ConnectionKind::Control, 4, 0, 0},
}};

std::size_t connectionsFor(const ConnectionShare &share, std::size_t memory, std::size_t descriptors)
{
    const std::size_t byMemory = share.bytesEach == 0 ? maxConnections : memory / wholeShare * share.memoryShare / share.bytesEach;
    const std::size_t byDescriptors = descriptors / wholeShare * share.descriptorShare;
    return std::clamp(std::min(byMemory, byDescriptors), minConnections, maxConnections);
}

} // namespace

ProcessLimits processLimitsFor(std::size_t memoryBytes, std::size_t maxDescriptors)
{
    ProcessLimits limits;
    limits.heldBytes = memoryBytes / heldDivisor;
    const std::size_t memory = memoryBytes - std::min(memoryBytes, ownBytes);
    const std::size_t reserved = std::min(fileDescriptors, maxDescriptors / fileDescriptorDivisor) + fixedDescriptors;
    const std::size_t descriptors = maxDescriptors == 0 ? std::numeric_limits<std::size_t>::max() : maxDescriptors - std::min(maxDescriptors, reserved);
    for (const ConnectionShare &share : shares) {
        limits.connections.byKind.at(static_cast<std::size_t>(share.kind)) = connectionsFor(share, memory, descriptors);
    }
    return limits;
}

} // namespace oleandergate
