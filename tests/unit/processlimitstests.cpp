#include "decision/processlimits.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <numeric>

using namespace oleandergate;

namespace {

constexpr std::size_t megabyte = 1024UL * 1024;

std::size_t total(const ConnectionLimits &limits)
{
    return std::accumulate(limits.byKind.begin(), limits.byKind.end(), std::size_t{0});
}

} // namespace

TEST_CASE("Limits of a process: all connections together leave descriptors for files and for what is no connection")
{
    for (const std::size_t descriptors : {256UL, 1024UL, 4100UL, 10250UL}) {
        CAPTURE(descriptors);
        const ProcessLimits limits = processLimitsFor(1024 * megabyte, descriptors);
        const std::size_t forFiles = descriptors < 1024 ? 0 : 200;
        CHECK(total(limits.connections) + forFiles + 24 <= descriptors);
        CHECK(limits.connections.of(ConnectionKind::Caller) > limits.connections.of(ConnectionKind::Endpoint));
    }
}

TEST_CASE("Limits of a process: what is held and what connections may need, unread bytes included, fit into the memory")
{
    // The least that is known of a connection: what may arrive on it unread, and, for a caller's, on the one to its endpoint.
    constexpr std::size_t unread = 2 * receiveBufferBytes;
    for (const std::size_t megabytes : {32UL, 88UL, 110UL, 512UL}) {
        CAPTURE(megabytes);
        const ProcessLimits limits = processLimitsFor(megabytes * megabyte, 8192);
        const std::size_t connections = limits.connections.of(ConnectionKind::Caller) * 2 * unread + limits.connections.of(ConnectionKind::Operator) * unread;
        CHECK(limits.heldBytes + connections <= (megabytes - 16) * megabyte);
    }
}

// Load: nine in ten instances are cut off from all endpoints and reach them through the few others, which have small machines as well.
TEST_CASE("Limits of a process: a small machine carries connections of 256 requests of its peers to endpoints")
{
    constexpr std::size_t tunnels = 256;
    const ProcessLimits small = processLimitsFor(88 * megabyte, 4100);
    // Others than tunnels need connections from peers, too.
    CHECK(small.connections.of(ConnectionKind::Peer) >= 2 * tunnels);
    CHECK(small.connections.of(ConnectionKind::Endpoint) >= 2 * tunnels);
}

TEST_CASE("Limits of a process: fewer connections for less memory, none of the kinds without any")
{
    const ProcessLimits large = processLimitsFor(110 * megabyte, 4100);
    const ProcessLimits small = processLimitsFor(32 * megabyte, 4100);
    CHECK(small.connections.of(ConnectionKind::Caller) < large.connections.of(ConnectionKind::Caller));
    CHECK(small.heldBytes < large.heldBytes);
    const ProcessLimits least = processLimitsFor(megabyte, 16);
    for (const std::size_t count : least.connections.byKind) {
        CHECK(count > 0);
    }
    // Where the number of descriptors is not known, memory decides.
    CHECK(processLimitsFor(110 * megabyte, 0).connections.of(ConnectionKind::Caller) == large.connections.of(ConnectionKind::Caller));
}
