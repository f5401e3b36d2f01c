#include "runtime/heartbeatservice.h"

#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/clusterview.h"
#include "runtime/signeddatagrams.h"
#include "wire/codec.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr Duration heartbeatStep = std::chrono::milliseconds(250);
constexpr const char *purpose = "heartbeat";

//! Peers that one heartbeat goes to.
constexpr std::size_t fanOut = 8;

} // namespace

struct HeartbeatService::Core
{
    ClusterView &view;
    std::string address;
    VersionSource version;
    NewerConfig newer;
    asio::strand<asio::io_context::executor_type> strand;
    SignedDatagrams datagrams;
    std::map<InstanceId, std::uint64_t> latest{}; //!< Highest number heard of each instance.
    std::uint64_t number = 0;
    std::size_t next = 0;
};

HeartbeatService::HeartbeatService(
    asio::io_context &context, ClusterView &view, const MessageAuth &auth, std::string address, VersionSource version, NewerConfig newer)
{
    const auto strand = asio::make_strand(context);
    this->core.reset(new Core{view, std::move(address), std::move(version), std::move(newer), strand, SignedDatagrams(strand, auth, purpose)});
}

HeartbeatService::~HeartbeatService() = default;

bool HeartbeatService::start()
{
    const bool bound = this->core->datagrams.start(this->core->address, [this](const std::string &payload) {
        this->take(payload);
    });
    if (!bound) {
        return false;
    }
    asio::co_spawn(this->core->strand, this->sendLoop(), asio::detached);
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
        const std::vector<InstanceRecord> peers = this->core->view.instances();
        const std::size_t count = std::min(fanOut, peers.size());
        std::vector<std::string> targets;
        for (std::size_t chosen = 0; chosen < count; ++chosen) {
            const InstanceRecord &peer = peers[this->core->next++ % peers.size()];
            if (peer.id != this->core->view.self()) {
                targets.push_back(peer.peerAddress);
            }
        }
        co_await this->core->datagrams.send(encodeHeartbeat(heartbeat), std::move(targets));
    }
}

void HeartbeatService::take(const std::string &payload)
{
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
    this->core->view.notePeer(heartbeat.value().instance, now - Duration(static_cast<std::int64_t>(heartbeat.value().serviceContactAge)), now);
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
