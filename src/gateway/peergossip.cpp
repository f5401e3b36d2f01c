#include "gateway/peergossip.h"

#include "decision/endpointhash.h"
#include "runtime/asyncsignal.h"
#include "runtime/backgroundtask.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/signeddatagrams.h"
#include "wire/codec.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <limits>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

constexpr const char *messagePurpose = "load";

//! How often changed loads are reported; a call at an engine lasts several intervals.
constexpr Duration reportInterval = std::chrono::milliseconds(50);

//! Shortest time between two reports of news that do not wait for a load report. An endpoint that ends is noticed by all requests there within it.
constexpr Duration newsInterval = std::chrono::milliseconds(5);

//! An unchanged report is repeated after this time as a keep-alive.
constexpr Duration keepaliveInterval = std::chrono::milliseconds(500);

//! A longer time between two steps means that the process was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(600);

//! How often the ages of members are told.
constexpr Duration ageInterval = std::chrono::milliseconds(200);

//! Datagrams of changes in one step.
constexpr std::size_t maxChangeReports = 2;

//! Unit of ReportedAge::age.
constexpr Duration ageUnit = std::chrono::milliseconds(10);

//! Number of peer addresses in a report.
constexpr std::size_t advertisedPeers = 3;

constexpr SlotId bitsPerByte = 8;

constexpr int microsecondsPerMillisecond = 1000;

std::vector<std::uint8_t> bitsOfSlots(const std::set<SlotId> &slots)
{
    std::vector<std::uint8_t> bits;
    for (const SlotId slot : slots) {
        bits.resize(std::max<std::size_t>(bits.size(), slot / bitsPerByte + 1));
        bits[slot / bitsPerByte] = static_cast<std::uint8_t>(bits[slot / bitsPerByte] | (1U << (slot % bitsPerByte)));
    }
    return bits;
}

std::set<SlotId> slotsOfBits(const std::vector<std::uint8_t> &bits)
{
    std::set<SlotId> slots;
    for (SlotId slot = 0; slot < bits.size() * bitsPerByte; ++slot) {
        if ((bits[slot / bitsPerByte] >> (slot % bitsPerByte) & 1U) != 0) {
            slots.insert(slot);
        }
    }
    return slots;
}

MemberReport reportOf(const MemberNews &news)
{
    MemberReport report;
    for (const MemberEntry &entry : news.entries) {
        const InstanceRecord &instance = entry.instance;
        report.members.push_back(ReportedMember{instance.id,
                                                instance.peerAddress,
                                                instance.domain,
                                                instance.leaving,
                                                entry.number,
                                                static_cast<std::uint32_t>(entry.age.count() / microsecondsPerMillisecond),
                                                bitsOfSlots(entry.ownedBudgetSlots)});
    }
    for (const MemberAge &age : news.ages) {
        const auto units = std::clamp<std::int64_t>(age.age / ageUnit, 0, std::numeric_limits<std::uint16_t>::max());
        report.ages.push_back(ReportedAge{age.member, static_cast<std::uint16_t>(units)});
    }
    return report;
}

MemberNews newsOf(const MemberReport &report)
{
    MemberNews news;
    for (const ReportedMember &member : report.members) {
        news.entries.push_back(MemberEntry{InstanceRecord{member.instance, member.address, member.domain, member.leaving},
                                           member.number,
                                           std::chrono::milliseconds(member.age),
                                           slotsOfBits(member.ownedBudgetSlots)});
    }
    for (const ReportedAge &age : report.ages) {
        news.ages.push_back(MemberAge{age.member, ageUnit * age.age});
    }
    return news;
}

} // namespace

struct PeerGossip::Core
{
    asio::io_context &context;
    InstanceRecord self;
    Hooks hooks;
    SignedDatagrams datagrams;
    mutable std::mutex mutex{};
    AsyncSignal news{};
    PeerTable table; //!< Guarded by the mutex.
    OwnState lastReported{}; //!< State in the latest report.
    Time lastReportedAt{};
    std::optional<std::uint64_t> passedRevision{}; //!< Revision of the members that were passed on last.
    Time agesToldAt{};
    std::atomic<Time> lastReceivedAt{Time{}}; //!< Latest report of another instance.
};

PeerGossip::PeerGossip(asio::io_context &context, const MessageAuth &auth, const InstanceRecord &self, const std::vector<std::string> &seeds, Hooks hooks)
    : core(new Core{context,
                    self,
                    std::move(hooks),
                    SignedDatagrams(context.get_executor(), auth, messagePurpose),
                    {},
                    {},
                    PeerTable(self.peerAddress, self.domain, seeds)})
{
}

PeerGossip::~PeerGossip() = default;

bool PeerGossip::start()
{
    const bool bound = this->core->datagrams.start(this->core->self.peerAddress, [this](const std::string &payload) {
        this->onDatagram(payload);
    });
    if (!bound) {
        return false;
    }
    spawnLoop(this->core->context.get_executor(), "load reports", [this]() {
        return this->sendLoop();
    });
    spawnLoop(this->core->context.get_executor(), "news", [this]() {
        return this->newsLoop();
    });
    return true;
}

bool PeerGossip::hasServiceContactAfter(Time time) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.hasServiceContactAfter(time);
}

bool PeerGossip::mayHaveServiceContactAfter(Time time, Time now) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.mayHaveServiceContactAfter(time, now);
}

Time PeerGossip::lastReportAt() const
{
    return this->core->lastReceivedAt;
}

Time PeerGossip::latestServiceContact() const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.latestServiceContact();
}

std::vector<PeerOffer> PeerGossip::offersOfEndpoints(std::uint64_t digest, std::uint64_t revision) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.offersOfEndpoints(digest, revision);
}

std::vector<PeerOffer> PeerGossip::offersOfConfiguration(std::uint64_t version) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.offersOfConfiguration(version);
}

void PeerGossip::addAddress(const std::string &address, Time now)
{
    const std::lock_guard lock(this->core->mutex);
    this->core->table.addCandidate(address, now);
}

std::size_t PeerGossip::liveCount() const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.liveCount();
}

bool PeerGossip::hearsMost(Time now) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.hearsMost(now);
}

bool PeerGossip::hearsHalf(Time now) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.hearsHalf(now);
}

bool PeerGossip::missesAny(Time now) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.missesAny(now);
}

void PeerGossip::forgetLost(Time now)
{
    const std::lock_guard lock(this->core->mutex);
    this->core->table.forgetLost(now);
}

std::size_t PeerGossip::countReports(const std::function<bool(const PeerReport &report)> &matches) const
{
    const std::lock_guard lock(this->core->mutex);
    return this->core->table.countReports(matches);
}

bool PeerGossip::updateReport(LoadReport &report, Time now)
{
    const OwnState state = this->core->hooks.ownState();
    report.instance = this->core->self.id;
    report.address = this->core->self.peerAddress;
    report.domain = this->core->self.domain;
    report.number = static_cast<std::uint64_t>(now.time_since_epoch().count());
    report.configVersion = state.configVersion;
    report.serviceContactAge = static_cast<std::uint64_t>((now - state.lastServiceContact).count());
    if (state.serviceContactSince) {
        report.serviceAvailableAge = static_cast<std::uint64_t>((now - *state.serviceContactSince).count());
    }
    report.endpointDigest = state.endpointDigest;
    report.endpointRevision = state.endpointRevision;
    report.leaving = state.leaving;
    report.ownedBudgetSlots = bitsOfSlots(state.ownedBudgetSlots);
    for (const auto &[endpoint, calls] : state.loads) {
        report.loads.push_back(EndpointLoad{endpointHash(endpoint), static_cast<std::uint16_t>(calls)});
    }
    const bool changed = state.loads != this->core->lastReported.loads || state.configVersion != this->core->lastReported.configVersion
        || state.endpointDigest != this->core->lastReported.endpointDigest || state.ownedBudgetSlots != this->core->lastReported.ownedBudgetSlots
        || state.leaving != this->core->lastReported.leaving || state.lastServiceContact != this->core->lastReported.lastServiceContact;
    this->core->lastReported = state;
    if (!changed && now - this->core->lastReportedAt < keepaliveInterval) {
        return false;
    }
    this->core->lastReportedAt = now;
    return true;
}

void PeerGossip::step(Time now, Time before)
{
    std::vector<InstanceId> expired;
    std::map<std::uint32_t, std::uint32_t> loads;
    std::vector<InstanceRecord> live;
    std::map<SlotId, std::string> budgetSlotOwners;
    bool membersChanged = false;
    {
        const std::lock_guard lock(this->core->mutex);
        if (now - before > pauseThreshold) {
            this->core->table.resetTimeouts(now);
        }
        expired = this->core->table.expire(now);
        loads = this->core->table.loads(now);
        const std::uint64_t revision = this->core->table.membersRevision();
        membersChanged = this->core->passedRevision != revision;
        if (membersChanged) {
            this->core->passedRevision = revision;
            live = this->core->table.liveInstances();
            budgetSlotOwners = this->core->table.budgetSlotOwners();
        }
    }
    if (now - before > pauseThreshold) {
        logRecord(LogLevel::Warning, "peers", "this process was paused", {{"ms", std::to_string((now - before).count() / microsecondsPerMillisecond)}});
    }
    for (const InstanceId &id : expired) {
        logRecord(LogLevel::Warning, "peers", "lost a peer", {{"peer", id}});
    }
    this->core->hooks.onLoads(loads, now);
    if (membersChanged) {
        this->core->hooks.onMembers(live, budgetSlotOwners, now);
    }
}

asio::awaitable<void> PeerGossip::sendMemberNews(Time now)
{
    std::vector<std::pair<MemberNews, std::vector<std::string>>> changes;
    MemberNews ages;
    MemberNews welcome;
    std::vector<std::string> ageTargets;
    std::vector<std::string> newcomers;
    {
        const std::lock_guard lock(this->core->mutex);
        while (changes.size() < maxChangeReports && this->core->table.hasNews()) {
            changes.emplace_back(this->core->table.nextChanges(now), this->core->table.changeTargets());
        }
        if (now - this->core->agesToldAt >= ageInterval) {
            this->core->agesToldAt = now;
            ages = this->core->table.nextAges(now);
            ageTargets = this->core->table.ageTargets();
            welcome = this->core->table.nextWelcome(now);
            newcomers = this->core->table.newcomers(now);
        }
    }
    for (auto &[news, targets] : changes) {
        co_await this->core->datagrams.send(encodeMemberReport(reportOf(news)), std::move(targets));
    }
    if (!ages.ages.empty()) {
        co_await this->core->datagrams.send(encodeMemberReport(reportOf(ages)), std::move(ageTargets));
    }
    if (!newcomers.empty()) {
        co_await this->core->datagrams.send(encodeMemberReport(reportOf(welcome)), std::move(newcomers));
    }
}

asio::awaitable<void> PeerGossip::sendLoop()
{
    Time before = currentTime();
    while (true) {
        co_await sleepFor(reportInterval);
        const Time now = currentTime();
        this->step(now, before);
        before = now;
        co_await this->sendMemberNews(now);
        std::vector<std::string> targets;
        std::vector<std::string> advertised;
        {
            const std::lock_guard lock(this->core->mutex);
            this->core->table.updateReportPeriod(reportInterval);
            advertised = this->core->table.sampleAddresses(advertisedPeers);
        }
        LoadReport report;
        const bool changed = this->updateReport(report, now) || this->hasNews();
        report.peers = std::move(advertised);
        {
            const std::lock_guard lock(this->core->mutex);
            targets = this->core->table.nextTargets(changed, now);
        }
        if (targets.empty()) {
            continue;
        }
        co_await this->sendChannels(targets);
        co_await this->core->datagrams.send(encodeLoadReport(report), std::move(targets));
    }
}

void PeerGossip::sendNews()
{
    this->core->news.notify();
}

bool PeerGossip::hasNews() const
{
    return std::any_of(this->core->hooks.channels.begin(), this->core->hooks.channels.end(), [](const NewsChannel &channel) {
        return channel.hasNews();
    });
}

asio::awaitable<void> PeerGossip::sendChannels(std::vector<std::string> targets)
{
    for (const NewsChannel &channel : this->core->hooks.channels) {
        std::string report = channel.nextReport(currentTime());
        if (!report.empty()) {
            co_await this->core->datagrams.send(std::move(report), targets);
        }
    }
}

asio::awaitable<void> PeerGossip::newsLoop()
{
    while (true) {
        co_await this->core->news.wait(keepaliveInterval);
        if (!this->hasNews()) {
            continue;
        }
        std::vector<std::string> targets;
        {
            const std::lock_guard lock(this->core->mutex);
            targets = this->core->table.nextTargets(true, currentTime());
        }
        co_await this->sendChannels(std::move(targets));
        co_await sleepFor(newsInterval);
    }
}

void PeerGossip::onDatagram(const std::string &payload)
{
    const Time now = currentTime();
    // Most datagrams are load reports, so the kinds are not tried one after the other.
    const bool isTaken = hasReportMark(payload)
        && std::any_of(this->core->hooks.channels.begin(), this->core->hooks.channels.end(), [&payload, now](const NewsChannel &channel) {
                             return channel.onPayload(payload, now);
                         });
    if (isTaken) {
        return;
    }
    if (hasReportMark(payload)) {
        const Result<MemberReport> members = decodeMemberReport(payload);
        if (members) {
            const MemberNews news = newsOf(members.value());
            const std::lock_guard lock(this->core->mutex);
            this->core->table.onNews(news, now);
        }
        return;
    }
    const Result<LoadReport> report = decodeLoadReport(payload);
    if (!report) {
        return;
    }
    for (const NewsChannel &channel : this->core->hooks.channels) {
        if (channel.onLoadReport) {
            channel.onLoadReport(report.value().instance, timeOf(report.value().number), now);
        }
    }
    PeerReport peerReport;
    peerReport.instance = InstanceRecord{report.value().instance, report.value().address, report.value().domain, report.value().leaving};
    peerReport.number = report.value().number;
    peerReport.configVersion = report.value().configVersion;
    peerReport.lastServiceContact = now - Duration(static_cast<std::int64_t>(report.value().serviceContactAge));
    peerReport.endpointDigest = report.value().endpointDigest;
    peerReport.endpointRevision = report.value().endpointRevision;
    peerReport.ownedBudgetSlots = slotsOfBits(report.value().ownedBudgetSlots);
    for (const EndpointLoad &load : report.value().loads) {
        peerReport.loads[load.endpoint] = load.calls;
    }
    std::optional<Duration> replacedAge;
    {
        const std::lock_guard lock(this->core->mutex);
        replacedAge = this->core->table.reportAge(peerReport.instance.id, now);
        if (this->core->table.onReport(peerReport, now)) {
            this->core->lastReceivedAt = now;
        }
        for (const std::string &address : report.value().peers) {
            this->core->table.addCandidate(address, now);
        }
    }
    if (report.value().serviceAvailableAge != std::numeric_limits<std::uint64_t>::max()) {
        this->core->hooks.onServiceAvailable(now - Duration(static_cast<Duration::rep>(report.value().serviceAvailableAge)), peerReport.lastServiceContact);
    }
    if (replacedAge) {
        this->core->hooks.onReportReplaced(peerReport.instance.domain == this->core->self.domain, *replacedAge);
    }
    if (peerReport.configVersion > this->core->lastReported.configVersion) {
        this->core->hooks.onNewerConfiguration(peerReport.configVersion);
    }
}

} // namespace oleandergate
