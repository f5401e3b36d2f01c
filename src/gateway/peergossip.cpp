#include "gateway/peergossip.h"

#include "decision/hash.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/signeddatagrams.h"
#include "wire/codec.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr const char *purpose = "load";

//! How often changed loads are told; a call at an engine lasts several of these.
constexpr Duration reportStep = std::chrono::milliseconds(50);

//! An unchanged report is repeated after this time, as a sign of life.
constexpr Duration lifeStep = std::chrono::milliseconds(500);

//! A step that comes this much late means that the process did not run.
constexpr Duration pauseSign = std::chrono::milliseconds(600);

//! Up to so many peers each report goes to all of them, at once when something changed.
constexpr std::size_t smallFleet = 12;

//! In a larger fleet a report goes to so many peers each step, changed or not: 60 datagrams a second.
constexpr std::size_t fanOut = 3;

//! Addresses named in a report.
constexpr std::size_t namedPeers = 3;

constexpr SlotId bitsPerByte = 8;

std::vector<std::uint8_t> slotBits(const std::set<SlotId> &slots)
{
    std::vector<std::uint8_t> bits;
    for (const SlotId slot : slots) {
        bits.resize(std::max<std::size_t>(bits.size(), slot / bitsPerByte + 1));
        bits[slot / bitsPerByte] = static_cast<std::uint8_t>(bits[slot / bitsPerByte] | (1U << (slot % bitsPerByte)));
    }
    return bits;
}

std::set<SlotId> slotsIn(const std::vector<std::uint8_t> &bits)
{
    std::set<SlotId> slots;
    for (SlotId slot = 0; slot < bits.size() * bitsPerByte; ++slot) {
        if ((bits[slot / bitsPerByte] >> (slot % bitsPerByte) & 1U) != 0) {
            slots.insert(slot);
        }
    }
    return slots;
}

} // namespace

std::uint32_t endpointHash(const EndpointId &endpoint)
{
    return static_cast<std::uint32_t>(hashOf(endpoint));
}

struct PeerGossip::Core
{
    asio::io_context &context;
    InstanceRecord self;
    Hooks hooks;
    SignedDatagrams datagrams;
    mutable std::mutex mutex{};
    PeerTable table; //!< Guarded by the mutex.
    OwnNews told{}; //!< In the latest report.
    Time toldAt{};
};

PeerGossip::PeerGossip(asio::io_context &context, const MessageAuth &auth, const InstanceRecord &self, const std::vector<std::string> &seeds, Hooks hooks)
    : core(new Core{context, self, std::move(hooks), SignedDatagrams(context.get_executor(), auth, purpose), {}, PeerTable(self.peerAddress, seeds)})
{
}

PeerGossip::~PeerGossip() = default;

bool PeerGossip::start()
{
    const bool bound = this->core->datagrams.start(this->core->self.peerAddress, [this](const std::string &payload) {
        this->take(payload);
    });
    if (!bound) {
        return false;
    }
    asio::co_spawn(this->core->context, this->sendLoop(), asio::detached);
    return true;
}

bool PeerGossip::reachedServiceAfter(Time time) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.reachedServiceAfter(time);
}

Time PeerGossip::latestServiceReading() const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.latestServiceReading();
}

std::string PeerGossip::bestInformed(std::uint64_t revision) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.bestInformed(revision);
}

bool PeerGossip::knowsOtherEndpoints(std::uint64_t digest, std::uint64_t revision) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.knowsOtherEndpoints(digest, revision);
}

void PeerGossip::addAddress(const std::string &address, Time now)
{
    const std::lock_guard lock(this->core->mutex);
    this->core->table.onNamed(address, now);
}

std::vector<PeerNews> PeerGossip::livePeers() const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.liveNews();
}

LoadReport PeerGossip::makeReport(Time now, bool always)
{
    const OwnNews news = this->core->hooks.ownNews();
    LoadReport report;
    report.instance = this->core->self.id;
    report.address = this->core->self.peerAddress;
    report.domain = this->core->self.domain;
    report.number = static_cast<std::uint64_t>(now.time_since_epoch().count());
    report.configVersion = news.configVersion;
    report.serviceContactAge = static_cast<std::uint64_t>((now - news.serviceReached).count());
    report.endpointDigest = news.endpointDigest;
    report.endpointRevision = news.endpointRevision;
    report.leaving = news.leaving;
    report.ownedBudgetSlots = slotBits(news.keptSlots);
    for (const auto &[endpoint, calls] : news.loads) {
        report.loads.push_back(EndpointLoad{endpointHash(endpoint), static_cast<std::uint16_t>(calls)});
    }
    const bool changed = news.loads != this->core->told.loads || news.configVersion != this->core->told.configVersion
        || news.endpointDigest != this->core->told.endpointDigest || news.keptSlots != this->core->told.keptSlots || news.leaving != this->core->told.leaving
        || news.serviceReached != this->core->told.serviceReached;
    this->core->told = news;
    if (!changed && !always && now - this->core->toldAt < lifeStep) {
        report.number = 0;
        return report;
    }
    this->core->toldAt = now;
    return report;
}

void PeerGossip::step(Time now, Time before)
{
    std::vector<InstanceId> gone;
    std::map<std::uint32_t, std::uint32_t> loads;
    std::vector<InstanceRecord> live;
    std::map<SlotId, std::string> keepers;
    {
        const std::lock_guard lock(this->core->mutex);
        if (now - before > pauseSign) {
            this->core->table.forgiveSilence(now);
        }
        gone = this->core->table.expire(now);
        loads = this->core->table.loads(now);
        live = this->core->table.live();
        keepers = this->core->table.keepers();
    }
    if (now - before > pauseSign) {
        logRecord(LogLevel::Warning, "peers", "this process was paused", {{"ms", std::to_string((now - before).count() / 1000)}});
    }
    for (const InstanceId &id : gone) {
        logRecord(LogLevel::Warning, "peers", "lost a peer", {{"peer", id}});
    }
    this->core->hooks.onLoads(loads, now);
    this->core->hooks.onMembers(live, keepers, now);
}

asio::awaitable<void> PeerGossip::sendLoop()
{
    Time before = currentTime();
    while (true) {
        co_await sleepFor(reportStep);
        const Time now = currentTime();
        this->step(now, before);
        before = now;
        std::vector<std::string> targets;
        std::size_t peers = 0;
        std::vector<std::string> named;
        {
            const std::lock_guard lock(this->core->mutex);
            peers = this->core->table.size();
            const std::size_t steps = peers <= smallFleet ? 1 : peers / fanOut + 1;
            this->core->table.setRound(reportStep * static_cast<Duration::rep>(steps));
            named = this->core->table.sample(namedPeers);
        }
        LoadReport report = this->makeReport(now, peers > smallFleet);
        report.peers = std::move(named);
        if (report.number != 0) {
            const std::lock_guard lock(this->core->mutex);
            targets = this->core->table.nextTargets(peers > smallFleet ? fanOut : smallFleet, now);
        }
        if (!targets.empty()) {
            co_await this->core->datagrams.send(encodeLoadReport(report), std::move(targets));
        }
    }
}

void PeerGossip::take(const std::string &payload)
{
    const Result<LoadReport> report = decodeLoadReport(payload);
    if (!report) {
        return;
    }
    const Time now = currentTime();
    PeerNews news;
    news.instance = InstanceRecord{report.value().instance, report.value().address, report.value().domain, report.value().leaving};
    news.number = report.value().number;
    news.configVersion = report.value().configVersion;
    news.serviceReached = now - Duration(static_cast<std::int64_t>(report.value().serviceContactAge));
    news.endpointDigest = report.value().endpointDigest;
    news.endpointRevision = report.value().endpointRevision;
    news.keptSlots = slotsIn(report.value().ownedBudgetSlots);
    for (const EndpointLoad &load : report.value().loads) {
        news.loads[load.endpoint] = load.calls;
    }
    {
        const std::lock_guard lock(this->core->mutex);
        this->core->table.onHeard(news, now);
        for (const std::string &address : report.value().peers) {
            this->core->table.onNamed(address, now);
        }
    }
    if (news.configVersion > this->core->told.configVersion) {
        this->core->hooks.onNewerConfig(news.instance.peerAddress);
    }
}

} // namespace oleandergate
