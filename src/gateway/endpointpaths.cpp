#include "gateway/endpointpaths.h"

#include "decision/endpointhash.h"
#include "decision/hash.h"
#include "gateway/milliseconds.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "wire/codec.h"

#include <boost/asio.hpp>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! How long a probe of an endpoint that is cut off may take.
constexpr Duration probeTimeout = std::chrono::milliseconds(300);

//! How long an instance that failed on behalf of another one tries a further endpoint, to learn whether the failure is its own.
constexpr Duration controlTimeout = std::chrono::milliseconds(60);

//! Time for an instance to connect to the endpoint on behalf of this one. It is near the endpoint, or has an open path to it.
constexpr Duration peerConnectTimeout = std::chrono::milliseconds(200);

//! A further instance is asked when one has not answered within this time; sooner when the endpoint refused the direct connection.
constexpr Duration nextPeerDelay = std::chrono::milliseconds(60);
constexpr Duration nextPeerDelayAfterRefusal = std::chrono::milliseconds(15);

//! Instances that are asked for one connection.
constexpr std::size_t maxPeersAsked = 3;

//! Reports that name a change; each goes to some of the instances.
constexpr std::uint32_t reportsPerChange = 8;

//! Largest number of endpoints in a report, which has to fit into a datagram.
constexpr std::size_t maxReportedEndpoints = 200;

} // namespace

//! One connection that is being opened, over one way or several. Used on its strand alone.
struct EndpointPaths::Race
{
    asio::any_io_executor executor;
    std::string address{};
    EndpointId endpoint{};
    AsyncSignal progress{};
    bool attempted = false; //!< There was a way to try.
    bool decided = false; //!< A connection was taken, or the attempt was given up: later ones are closed.
    bool directEnded = false;
    bool peersEnded = false;
    std::optional<DialedConnection> winner{};
    std::optional<DialFailure> directFailure{};
    std::size_t asked = 0; //!< Instances asked.
    std::size_t answered = 0; //!< Instances that have answered or given no answer.
    std::size_t reached = 0; //!< Instances that connected.
    std::size_t refused = 0; //!< Instances that the endpoint refused.
    std::size_t timedOut = 0; //!< Instances that the endpoint did not answer.

    //! Returns true when there is no need to ask further instances. One that the endpoint refuses as well settles that it has ended.
    bool isSettled() const
    {
        return this->winner || this->decided || (this->refused > 0 && this->directFailure && this->directFailure->refused);
    }
};

EndpointPaths::EndpointPaths(const MessageAuth &auth, Metrics &metrics, const InstanceRecord &self, Hooks hooks)
    : self(self)
    , hooks(std::move(hooks))
    , client(auth)
    , opened(metrics.counter("oleandergate_tunnels_total", "end=\"opened\""))
    , refusedTunnels(metrics.counter("oleandergate_tunnels_total", "end=\"not-opened\""))
    , peers(self.domain, hashOf(self.id))
{
}

EndpointPaths::~EndpointPaths() = default;

asio::awaitable<DialOutcome> EndpointPaths::dial(asio::any_io_executor executor, std::string address, Time giveUpAt)
{
    const Time startedAt = currentTime();
    PathPlan plan;
    {
        const std::lock_guard lock(this->mutex);
        plan = this->table.planFor(address, startedAt);
    }
    const std::shared_ptr<Race> race(new Race{executor, address});
    race->endpoint = this->hooks.endpointAt(address);
    race->directEnded = !plan.direct;
    race->peersEnded = !plan.byPeer || race->endpoint.empty();
    race->attempted = plan.direct || plan.byPeer;
    if (plan.direct) {
        asio::co_spawn(executor, this->connectDirectly(race, giveUpAt), asio::detached);
    }
    const Time askPeersAt = startedAt + plan.peerDelay;
    bool peersAsked = race->peersEnded;
    while (!race->winner && !(race->directEnded && race->peersEnded) && currentTime() < giveUpAt) {
        const Time now = currentTime();
        if (!peersAsked && (race->directEnded || now >= askPeersAt)) {
            peersAsked = true;
            if (plan.direct && !race->directEnded) {
                this->onDirect(address, ReachOutcome::TimedOut, "no connection within the head start", now);
            }
            asio::co_spawn(executor, this->connectByPeers(race, giveUpAt), asio::detached);
        }
        const Time wakeAt = peersAsked ? giveUpAt : std::min(giveUpAt, askPeersAt);
        co_await race->progress.wait(std::max<Duration>(std::chrono::milliseconds(1), wakeAt - currentTime()));
    }
    race->decided = true;
    co_return this->takeResult(*race);
}

DialOutcome EndpointPaths::takeResult(Race &race)
{
    if (race.winner) {
        return std::move(*race.winner);
    }
    DialFailure failure;
    failure.code = ErrorCode::Timeout;
    failure.detail = race.attempted ? "no connection in time" : "cut off from the endpoint, and no peer reached it lately";
    if (race.directFailure) {
        failure = *race.directFailure;
    }
    // One instance alone cannot tell an endpoint that ended from a link that refuses for it. Where no other one can tell, its own view has to do.
    const Time now = currentTime();
    const std::lock_guard lock(this->mutex);
    const bool confirmed = race.refused > 0 || this->table.isConfirmedDown(race.address, now);
    const bool likely = !this->table.isIsolated() && (race.asked == 0 || this->table.reachesSome(now));
    failure.refused = failure.refused && race.reached == 0 && (confirmed || likely);
    if (race.asked > 0) {
        failure.detail += "; of " + std::to_string(race.asked) + " instances asked, " + std::to_string(race.refused) + " were refused and "
            + std::to_string(race.timedOut) + " got no connection either";
    }
    return failure;
}

asio::awaitable<void> EndpointPaths::connectDirectly(std::shared_ptr<Race> race, Time giveUpAt)
{
    DialOutcome dialed = co_await this->direct.dial(race->executor, race->address, giveUpAt);
    this->onDirect(race->address, reachOutcomeOf(dialed), dialed ? std::string() : dialed.error().detail, currentTime());
    if (!dialed) {
        race->directFailure = dialed.error();
    } else if (!race->decided && !race->winner) {
        race->winner = std::move(dialed.value());
    }
    race->directEnded = true;
    race->progress.notify();
}

asio::awaitable<void> EndpointPaths::connectByPeers(std::shared_ptr<Race> race, Time giveUpAt)
{
    std::set<std::string> tried;
    const std::uint32_t hash = endpointHash(race->endpoint);
    while (race->asked < maxPeersAsked && !race->isSettled() && currentTime() < giveUpAt) {
        std::optional<std::string> peer;
        {
            const std::lock_guard lock(this->mutex);
            peer = this->peers.choose(hash, tried, currentTime());
        }
        if (!peer) {
            break;
        }
        tried.insert(*peer);
        race->asked += 1;
        const std::size_t answeredBefore = race->answered;
        asio::co_spawn(race->executor, this->askPeer(race, *peer, std::min(giveUpAt, currentTime() + peerConnectTimeout)), asio::detached);
        const bool directRefused = race->directFailure && race->directFailure->refused;
        const Time nextAt = currentTime() + (directRefused ? nextPeerDelayAfterRefusal : nextPeerDelay);
        while (race->answered == answeredBefore && currentTime() < nextAt && !race->decided) {
            co_await sleepFor(std::chrono::milliseconds(2));
        }
    }
    while (race->answered < race->asked && !race->isSettled()) {
        co_await sleepFor(std::chrono::milliseconds(2));
    }
    if (!race->winner && race->reached == 0 && race->refused + race->timedOut > 0) {
        this->onPeer(race->address, race->refused > 0 ? ReachOutcome::Refused : ReachOutcome::TimedOut, {}, currentTime());
    }
    race->peersEnded = true;
    race->progress.notify();
}

asio::awaitable<void> EndpointPaths::askPeer(std::shared_ptr<Race> race, std::string peerAddress, Time giveUpAt)
{
    TunnelRequest request;
    request.tunnel = this->nextTunnel++;
    request.instance = this->self.id;
    request.endpoint = race->endpoint;
    request.timeout = static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(peerConnectTimeout).count());
    OpenedTunnel tunnel = co_await this->client.open(race->executor, peerAddress, request, giveUpAt);
    const Time now = currentTime();
    race->answered += 1;
    if (!tunnel.outcome) {
        const std::lock_guard lock(this->mutex);
        this->peers.onUnanswered(peerAddress, now);
    }
    const TunnelOutcome outcome = tunnel.outcome.value_or(TunnelOutcome::Declined);
    race->reached += outcome == TunnelOutcome::Connected ? 1 : 0;
    race->refused += outcome == TunnelOutcome::Refused ? 1 : 0;
    race->timedOut += outcome == TunnelOutcome::TimedOut ? 1 : 0;
    if (outcome != TunnelOutcome::Connected) {
        this->refusedTunnels.add();
    } else {
        this->opened.add();
        this->onPeer(race->address, ReachOutcome::Connected, peerAddress, now);
    }
    if (outcome == TunnelOutcome::Connected && !race->decided && !race->winner) {
        DialedConnection dialed;
        dialed.stream = std::make_unique<EndpointStream>(std::move(tunnel.stream), true);
        dialed.path.peer = peerAddress;
        dialed.path.tunnel = request.tunnel;
        {
            const std::lock_guard lock(this->mutex);
            this->peers.onOpened(peerAddress);
        }
        // At the end of the process connections may outlive this object.
        dialed.lease = std::shared_ptr<void>(nullptr, [this, isAlive = std::weak_ptr<bool>(this->alive), peerAddress](void * /*unused*/) {
            if (!isAlive.expired()) {
                const std::lock_guard lock(this->mutex);
                this->peers.onClosed(peerAddress);
            }
        });
        race->winner = std::move(dialed);
    }
    race->progress.notify();
}

bool EndpointPaths::mayReuse(const std::string &address, const ConnectionPath &path, Time now) const
{
    const std::lock_guard lock(this->mutex);
    if (path.peer.empty()) {
        return this->table.mayReuseDirect(address, now);
    }
    // Once the endpoint is reached directly again, its tunnels end.
    return this->table.isCutOff(address) && this->peers.isUsable(path.peer);
}

void EndpointPaths::onReceived(const std::string &address, const ConnectionPath &path, Time now)
{
    if (path.peer.empty()) {
        const std::lock_guard lock(this->mutex);
        this->table.onReceived(address, now);
    }
}

void EndpointPaths::onDirect(const std::string &address, ReachOutcome outcome, const std::string &evidence, Time now)
{
    this->record(&ReachabilityTable::onDirect, address, outcome, evidence, now);
}

void EndpointPaths::onPeer(const std::string &address, ReachOutcome outcome, const std::string &evidence, Time now)
{
    this->record(&ReachabilityTable::onPeer, address, outcome, evidence, now);
}

void EndpointPaths::record(RecordFunction function, const std::string &address, ReachOutcome outcome, const std::string &evidence, Time now)
{
    ReachabilityTable::Change change = ReachabilityTable::Change::None;
    bool isolated = false;
    {
        const std::lock_guard lock(this->mutex);
        change = (this->table.*function)(address, outcome, now);
        isolated = this->table.isIsolated();
        this->newsLeft = change == ReachabilityTable::Change::None ? this->newsLeft : reportsPerChange;
    }
    this->logChange(address, change, isolated, evidence);
}

void EndpointPaths::logChange(const std::string &address, ReachabilityTable::Change change, bool isolated, const std::string &evidence) const
{
    if (change == ReachabilityTable::Change::None) {
        return;
    }
    const bool isCutOff = change == ReachabilityTable::Change::CutOff;
    logRecord(LogLevel::Warning,
              "paths",
              isCutOff ? "cut off from an endpoint that a peer reaches" : "an endpoint is reached directly again",
              {{"endpoint", this->hooks.endpointAt(address)}, {"address", address}, {"peer", evidence}, {"isolated", isolated ? "true" : "false"}});
    this->hooks.onNews();
}

void EndpointPaths::onMembers(const std::vector<InstanceRecord> &live)
{
    const std::lock_guard lock(this->mutex);
    this->peers.setMembers(live);
}

NewsChannel EndpointPaths::channel()
{
    return NewsChannel{[this](Time now) {
                           return this->nextReport(now);
                       },
                       [this]() {
                           const std::lock_guard lock(this->mutex);
                           return this->newsLeft > 0;
                       },
                       [this](const std::string &payload, Time now) {
                           return this->onPayload(payload, now);
                       }};
}

std::string EndpointPaths::nextReport(Time /*now*/)
{
    ReachReport report;
    report.instance = this->self.id;
    report.carried = this->hooks.carriedCount();
    std::vector<std::string> addresses;
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        changed = this->newsLeft > 0;
        this->newsLeft -= changed ? 1 : 0;
        report.isolated = this->table.isIsolated();
        addresses = this->table.cutOffAddresses();
    }
    if (!changed && addresses.empty() && report.carried == 0) {
        return {};
    }
    addresses.resize(std::min(addresses.size(), maxReportedEndpoints));
    for (const std::string &address : addresses) {
        report.cutOff.push_back(endpointHash(this->hooks.endpointAt(address)));
    }
    return encodeReachReport(report);
}

bool EndpointPaths::onPayload(const std::string &payload, Time now)
{
    const Result<ReachReport> report = decodeReachReport(payload);
    if (!report) {
        return false;
    }
    PeerReach reach;
    reach.isolated = report.value().isolated;
    reach.cutOff.insert(report.value().cutOff.begin(), report.value().cutOff.end());
    reach.carried = report.value().carried;
    const std::lock_guard lock(this->mutex);
    this->peers.onReport(report.value().instance, std::move(reach), now);
    return true;
}

std::string EndpointPaths::addressFor(const TunnelRequest &request, Time now) const
{
    std::string address = this->hooks.addressOf(request.endpoint);
    const std::lock_guard lock(this->mutex);
    const PathPlan plan = this->table.planFor(address, now);
    return plan.direct && !this->table.isIsolated() ? address : std::string();
}

asio::awaitable<bool> EndpointPaths::onCarriedDial(std::string address, ReachOutcome outcome)
{
    const Time now = currentTime();
    this->onDirect(address, outcome, {}, now);
    if (outcome == ReachOutcome::Connected) {
        co_return true;
    }
    std::string control;
    {
        const std::lock_guard lock(this->mutex);
        if (this->table.reachesSome(now)) {
            co_return true;
        }
        control = this->table.controlAddress(address, now);
    }
    if (control.empty()) {
        co_return false;
    }
    co_await this->tryDirectly(control, controlTimeout);
    const std::lock_guard lock(this->mutex);
    co_return this->table.reachesSome(currentTime());
}

std::vector<std::string> EndpointPaths::takeDueProbes(Time now)
{
    const std::lock_guard lock(this->mutex);
    return this->table.takeDueProbes(now);
}

std::vector<std::string> EndpointPaths::takeSuspects(Time now)
{
    const std::lock_guard lock(this->mutex);
    return this->table.takeSuspects(now);
}

asio::awaitable<void> EndpointPaths::probe(std::string address)
{
    co_await this->tryDirectly(std::move(address), probeTimeout);
}

asio::awaitable<void> EndpointPaths::tryDirectly(std::string address, Duration timeout)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const DialOutcome dialed = co_await this->direct.dial(executor, address, currentTime() + timeout);
    this->onDirect(address, reachOutcomeOf(dialed), {}, currentTime());
}

std::vector<std::string> EndpointPaths::takeDueChecks(const std::vector<std::string> &silentAddresses, Time now)
{
    std::vector<std::string> due;
    const std::lock_guard lock(this->mutex);
    for (const std::string &address : silentAddresses) {
        if (this->table.takeDueCheck(address, now)) {
            due.push_back(address);
        }
    }
    return due;
}

void EndpointPaths::expire(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->table.expire(now);
}

std::size_t EndpointPaths::cutOffCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.cutOffAddresses().size();
}

} // namespace oleandergate
