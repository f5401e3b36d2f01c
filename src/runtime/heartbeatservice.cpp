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

constexpr Duration heartbeatInterval = std::chrono::milliseconds(250);
constexpr const char *purpose = "heartbeat";

//! Largest number of peers that one heartbeat is sent to.
constexpr std::size_t fanOut = 8;

} // namespace

struct HeartbeatService::Core
{
    ClusterView &view;
    std::string address;
    VersionSource version;
    NewerConfigHandler onNewerConfig;
    asio::strand<asio::io_context::executor_type> strand;
    SignedDatagrams datagrams;
    std::map<InstanceId, std::uint64_t> latestNumbers{}; //!< Highest heartbeat number received from each instance.
    std::uint64_t number = 0;
    std::size_t nextPeer = 0;
};

HeartbeatService::HeartbeatService(
    asio::io_context &context, ClusterView &view, const MessageAuth &auth, std::string address, VersionSource version, NewerConfigHandler onNewerConfig)
{
    const auto strand = asio::make_strand(context);
    this->core.reset(new Core{view, std::move(address), std::move(version), std::move(onNewerConfig), strand, SignedDatagrams(strand, auth, purpose)});
}

HeartbeatService::~HeartbeatService() = default;

bool HeartbeatService::start()
{
    const bool bound = this->core->datagrams.start(this->core->address, [this](const std::string &payload) {
        this->handleDatagram(payload);
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
        co_await sleepFor(heartbeatInterval);
        const Time now = currentTime();
        this->core->number += 1;
        const auto serviceContactAge = static_cast<std::uint64_t>((now - this->core->view.lastServiceContact()).count());
        const Heartbeat heartbeat{
            this->core->view.self(), static_cast<std::uint64_t>(now.time_since_epoch().count()), this->core->version(), serviceContactAge, false};
        const std::vector<InstanceRecord> peers = this->core->view.instances();
        const std::size_t targetCount = std::min(fanOut, peers.size());
        std::vector<std::string> targets;
        for (std::size_t index = 0; index < targetCount; ++index) {
            const InstanceRecord &peer = peers[this->core->nextPeer++ % peers.size()];
            if (peer.id != this->core->view.self()) {
                targets.push_back(peer.peerAddress);
            }
        }
        co_await this->core->datagrams.send(encodeHeartbeat(heartbeat), std::move(targets));
    }
}

void HeartbeatService::handleDatagram(const std::string &payload)
{
    const Result<Heartbeat> heartbeat = decodeHeartbeat(payload);
    if (!heartbeat) {
        return;
    }
    // Ignore duplicated and reordered datagrams.
    std::uint64_t &latestNumber = this->core->latestNumbers[heartbeat.value().instance];
    if (heartbeat.value().number <= latestNumber) {
        return;
    }
    latestNumber = heartbeat.value().number;
    const Time now = currentTime();
    const Time sentAt = timeOf(heartbeat.value().number);
    const Duration serviceContactAge(static_cast<std::int64_t>(heartbeat.value().serviceContactAge));
    this->core->view.recordHeartbeat(heartbeat.value().instance, sentAt, serviceContactAge, now);
    if (heartbeat.value().configVersion <= this->core->version()) {
        return;
    }
    for (const InstanceRecord &peer : this->core->view.instances()) {
        if (peer.id == heartbeat.value().instance) {
            this->core->onNewerConfig(peer.peerAddress);
        }
    }
}

} // namespace oleandergate
