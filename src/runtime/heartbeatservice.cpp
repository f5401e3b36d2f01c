#include "runtime/heartbeatservice.h"

#include "runtime/address.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "wire/codec.h"

#include <boost/asio.hpp>

#include <array>

namespace oleandergate {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto useResult = asio::as_tuple(asio::use_awaitable);
constexpr Duration heartbeatStep = std::chrono::milliseconds(250);
constexpr const char *macContext = "heartbeat";

//! Peers that one heartbeat goes to.
constexpr std::size_t fanOut = 8;

//! Largest datagram read.
constexpr std::size_t datagramBytes = 1400;

} // namespace

struct HeartbeatService::Core
{
    ClusterView &view;
    const MessageAuth &auth;
    std::string address;
    VersionSource version;
    NewerConfig newer;
    asio::strand<asio::io_context::executor_type> strand;
    udp::socket socket;
    std::map<InstanceId, std::uint64_t> latest{}; //!< Highest number heard of each instance.
    std::uint64_t number = 0;
    std::size_t next = 0;
};

HeartbeatService::HeartbeatService(
    asio::io_context &context, ClusterView &view, const MessageAuth &auth, std::string address, VersionSource version, NewerConfig newer)
{
    const auto strand = asio::make_strand(context);
    this->core.reset(new Core{view, auth, std::move(address), std::move(version), std::move(newer), strand, udp::socket(strand)});
}

HeartbeatService::~HeartbeatService() = default;

bool HeartbeatService::start()
{
    const std::optional<udp::endpoint> endpoint = parseUdpAddress(this->core->address);
    boost::system::error_code error = asio::error::invalid_argument;
    if (endpoint) {
        this->core->socket.open(endpoint->protocol(), error);
        this->core->socket.bind(*endpoint, error);
    }
    if (error) {
        return false;
    }
    asio::co_spawn(this->core->strand, this->sendLoop(), asio::detached);
    asio::co_spawn(this->core->strand, this->receiveLoop(), asio::detached);
    return true;
}

asio::awaitable<void> HeartbeatService::sendLoop()
{
    while (true) {
        co_await sleepFor(heartbeatStep);
        const Time now = currentTime();
        this->core->number += 1;
        const auto ago = static_cast<std::uint64_t>((now - this->core->view.serviceReached()).count());
        const Heartbeat heartbeat{this->core->view.self(), static_cast<std::uint64_t>(now.time_since_epoch().count()), this->core->version(), ago, false};
        const std::string payload = encodeHeartbeat(heartbeat);
        const std::string datagram = this->core->auth.macOf(macContext, payload) + payload;
        const std::vector<InstanceRecord> peers = this->core->view.instances();
        const std::size_t count = std::min(fanOut, peers.size());
        for (std::size_t sent = 0; sent < count; ++sent) {
            const InstanceRecord &peer = peers[this->core->next++ % peers.size()];
            const std::optional<udp::endpoint> endpoint = parseUdpAddress(peer.peerAddress);
            if (peer.id != this->core->view.self() && endpoint) {
                co_await this->core->socket.async_send_to(asio::buffer(datagram), *endpoint, useResult);
            }
        }
    }
}

asio::awaitable<void> HeartbeatService::receiveLoop()
{
    std::array<char, datagramBytes> buffer{};
    while (true) {
        udp::endpoint from;
        const auto [error, size] = co_await this->core->socket.async_receive_from(asio::buffer(buffer), from, useResult);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            this->take(std::string(buffer.data(), size));
        }
    }
}

void HeartbeatService::take(const std::string &datagram)
{
    if (datagram.size() <= macSize) {
        return;
    }
    const std::string payload = datagram.substr(macSize);
    if (!this->core->auth.isGenuine(macContext, payload, datagram.substr(0, macSize))) {
        return;
    }
    const Result<Heartbeat> heartbeat = decodeHeartbeat(payload);
    if (!heartbeat) {
        return;
    }
    // A late or repeated datagram says nothing new.
    std::uint64_t &latest = this->core->latest[heartbeat.value().instance];
    if (heartbeat.value().number <= latest) {
        return;
    }
    latest = heartbeat.value().number;
    const Time now = currentTime();
    this->core->view.notePeer(heartbeat.value().instance, now - Duration(static_cast<std::int64_t>(heartbeat.value().serviceReachedAgo)), now);
    if (heartbeat.value().configVersion <= this->core->version()) {
        return;
    }
    for (const InstanceRecord &peer : this->core->view.instances()) {
        if (peer.id == heartbeat.value().instance) {
            this->core->newer(peer.peerAddress);
        }
    }
}

} // namespace oleandergate
