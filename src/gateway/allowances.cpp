#include "gateway/allowances.h"

#include "decision/hash.h"
#include "gateway/gatewayconfigurationholder.h"
#include "gateway/milliseconds.h"
#include "gateway/relayerror.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! An issuer in another failure domain answers within a few milliseconds. A call waits no longer for it.
constexpr Duration askTimeout = std::chrono::milliseconds(100);

//! How long an issuer that did not answer is not asked again.
constexpr Duration silenceTime = std::chrono::milliseconds(1000);

//! A process that has just started takes itself for the only one until it hears of others, which takes no longer than this.
constexpr Duration discoveryTime = std::chrono::milliseconds(1500);
constexpr Duration discoveryPollInterval = std::chrono::milliseconds(20);

//! Longest time that a call of a program under way waits for its allowance, as a part of the time that it may take, and in all. Ending the program would
//! waste what its calls so far have used.
constexpr double waitPart = 0.5;
constexpr Duration maxWait = std::chrono::milliseconds(1500);

//! Part of an allowance that instances use together while its issuer does not answer them.
constexpr double lonePart = 0.5;

//! A gap between two calls of expire() that is longer than this shows that the process stood still.
constexpr Duration pauseThreshold = std::chrono::milliseconds(1000);

//! How long schedules of this instance alone are kept.
constexpr Duration scheduleMemory = std::chrono::seconds(30);

//! Organisations in one log line.
constexpr std::size_t maxBusiest = 5;

std::uint32_t shortHash(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash);
}

AllowanceCall callOf(const RelayRequest &request)
{
    AllowanceCall call;
    call.organisation = organisationHash(request.organisation->name);
    call.allowance = request.organisation->allowance;
    call.configVersion = request.active->configuration.version;
    call.program = request.call.program ? hashOf(request.call.program->program) : 0;
    return call;
}

Error denialOf(const RelayRequest &request, const AllowanceDecision &decision)
{
    const Allowance &allowance = request.organisation->allowance;
    Error error = relayError(ErrorCode::AllowanceExhausted,
                             Step::Admit,
                             Executed::No,
                             "organisation '" + request.organisation->name + "' has used its allowance of " + std::to_string(allowance.callsPerSecond)
                                 + " calls a second and a burst of " + std::to_string(allowance.burst) + " ("
                                 + std::string(nameIn(allowanceBoundNames, decision.bound)) + ")");
    error.retryAfter = decision.retryAfter;
    return error;
}

} // namespace

Allowances::Allowances(
    PeerClient &peers, Metrics &metrics, const GatewayConfigurationHolder &configurationHolder, const InstanceRecord &self, const AllowanceTolerance &tolerance)
    : peers(peers)
    , configurationHolder(configurationHolder)
    , self(self)
    , startedAt(currentTime())
    , fromReserve(metrics.counter("oleandergate_allowance_reserve_total"))
    , decisionCounters(metrics.counters("oleandergate_allowance_decisions_total", "bound", allowanceBoundNames))
    , unanswered(metrics.counter("oleandergate_allowance_unanswered_total"))
    , issued(metrics.counter("oleandergate_allowance_issued_total"))
    , askSeconds(metrics.histogram("oleandergate_allowance_ask_seconds"))
    , reserves(shortHash(hashOf(self.id)))
    , issuer(tolerance, this->startedAt)
    // The instances' first calls without an issuer are spread over an interval.
    , loneIssuer(Time{}, PermitIssuer::Pacing{0.0, 1.0 - static_cast<double>(hashOf(self.id) % 1000) / 1000.0})
    , members(self)
    , expiredAt(this->startedAt)
{
}

asio::awaitable<Result<void>> Allowances::admit(RelayRequest &request)
{
    if (request.organisation == nullptr || request.organisation->allowance.callsPerSecond <= 0.0) {
        co_return boost::outcome_v2::success();
    }
    const AllowanceCall call = callOf(request);
    const OrganisationId organisation = request.organisation->name;
    const Time arrived = currentTime();
    const Time giveUpAt = arrived + std::min(maxWait, fromSeconds(waitPart * toSeconds(request.deadline - arrived)));
    {
        const std::lock_guard lock(this->mutex);
        this->reserves.onArrival(call, arrived);
        this->usage[organisation].calls += 1;
    }
    AllowanceDecision decision;
    while (true) {
        const Time now = currentTime();
        AllowanceReserves::Verdict verdict;
        {
            const std::lock_guard lock(this->mutex);
            verdict = this->reserves.decide(call, now);
        }
        if (verdict.step == AllowanceStep::LetThrough) {
            this->fromReserve.add();
            decision.granted = true;
            break;
        }
        if (verdict.step == AllowanceStep::Ask) {
            decision = co_await this->ask(verdict.request, organisation);
            const std::lock_guard lock(this->mutex);
            this->reserves.onDecision(call, decision, currentTime());
        } else {
            decision = AllowanceDecision{false, verdict.bound, 0, {}, verdict.wait};
        }
        const Duration wait = std::max(verdict.wait, discoveryPollInterval);
        if (decision.granted || verdict.begins || request.cancellation->isCancelled() || currentTime() + wait > giveUpAt) {
            break;
        }
        co_await sleepFor(wait);
    }
    request.allowanceWait = currentTime() - arrived;
    request.usesAllowance = decision.granted;
    if (decision.granted) {
        co_return boost::outcome_v2::success();
    }
    {
        const std::lock_guard lock(this->mutex);
        this->usage[organisation].denied += 1;
    }
    co_return denialOf(request, decision);
}

bool Allowances::takeSpare(const RelayRequest &request, Time now)
{
    if (!request.usesAllowance) {
        return true;
    }
    const std::lock_guard lock(this->mutex);
    return this->reserves.takeSpare(organisationHash(request.organisation->name), now);
}

void Allowances::giveBack(const RelayRequest &request, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->reserves.giveBack(organisationHash(request.organisation->name), now);
}

asio::awaitable<AllowanceDecision> Allowances::ask(AllowanceRequest request, OrganisationId organisation)
{
    const Time now = currentTime();
    InstanceRecord issuing;
    bool isSilent = false;
    bool isAlone = false;
    {
        const std::lock_guard lock(this->mutex);
        issuing = this->members.issuerOf(shortHash(request.call.organisation), std::string());
        const auto found = this->silentUntil.find(issuing.peerAddress);
        isSilent = found != this->silentUntil.end() && found->second > now;
        isAlone = this->members.knownCount(now) == 1;
    }
    if (issuing.id == this->self.id) {
        if (isAlone && now - this->startedAt < discoveryTime) {
            co_return AllowanceDecision{false, AllowanceBound::NoIssuer, 0, {}, discoveryPollInterval};
        }
        const AllowanceDecision decision = this->issue(request, now);
        this->count(decision);
        co_return decision;
    }
    if (isSilent) {
        co_return this->decideAlone(request, now);
    }
    PeerMessage query = AllowanceQuery{request};
    const Result<PeerMessage> reply = co_await this->peers.sendWithin(askTimeout, issuing.peerAddress, std::move(query));
    const auto *found = reply ? std::get_if<AllowanceReply>(&reply.value()) : nullptr;
    const Time answered = currentTime();
    this->askSeconds.observe(answered - now);
    if (found != nullptr) {
        this->count(found->decision);
        co_return found->decision;
    }
    this->unanswered.add();
    logRecord(LogLevel::Info,
              "allowances",
              "the issuer of an allowance did not answer",
              {{"organisation", organisation}, {"peer", issuing.peerAddress}, {"detail", reply ? "the reply is of another kind" : reply.error().detail}});
    {
        const std::lock_guard lock(this->mutex);
        this->silentUntil[issuing.peerAddress] = answered + silenceTime;
    }
    co_return this->decideAlone(request, answered);
}

AllowanceDecision Allowances::issue(AllowanceRequest request, Time now)
{
    const std::shared_ptr<const ActiveGatewayConfiguration> active = this->configurationHolder.current();
    const Organisation *known = active ? active->organisations.findByHash(request.call.organisation) : nullptr;
    if (known != nullptr && active->configuration.version > request.call.configVersion) {
        request.call.allowance = known->allowance;
        request.call.configVersion = active->configuration.version;
    }
    this->issued.add();
    const std::lock_guard lock(this->mutex);
    return this->issuer.decide(request, this->members.liveShare(now), now);
}

AllowanceDecision Allowances::decideAlone(const AllowanceRequest &request, Time now)
{
    AllowanceDecision decision;
    {
        const std::lock_guard lock(this->mutex);
        const double share = request.call.allowance.callsPerSecond * lonePart / static_cast<double>(this->members.knownCount(now));
        const PermitDecision permit = this->loneIssuer.decide(shortHash(request.call.organisation), share, Duration::zero(), now);
        decision.granted = permit.granted;
        decision.retryAfter = std::min(permit.retryAfter, silenceTime);
    }
    decision.bound = decision.granted ? AllowanceBound::None : AllowanceBound::NoIssuer;
    this->count(decision);
    return decision;
}

void Allowances::count(const AllowanceDecision &decision)
{
    this->decisionCounters.at(static_cast<std::size_t>(decision.bound))->add();
}

std::optional<PeerMessage> Allowances::serve(const PeerMessage &message, Time now)
{
    const auto *query = std::get_if<AllowanceQuery>(&message);
    if (query == nullptr) {
        return std::nullopt;
    }
    return AllowanceReply{this->issue(query->request, now)};
}

void Allowances::onMembers(const std::vector<InstanceRecord> &live, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->members.update(live, now);
    this->issuer.onMembersChanged(now);
}

void Allowances::expire(Time now)
{
    const std::lock_guard lock(this->mutex);
    if (now - this->expiredAt > pauseThreshold) {
        this->issuer.onPaused(now);
    }
    this->expiredAt = now;
    this->issuer.expire(now);
    this->reserves.expire(now);
    this->loneIssuer.expire(now - scheduleMemory);
    std::erase_if(this->silentUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
}

std::string Allowances::takeBusiest()
{
    std::vector<std::pair<OrganisationId, Usage>> busiest;
    {
        const std::lock_guard lock(this->mutex);
        busiest.assign(this->usage.begin(), this->usage.end());
        this->usage.clear();
    }
    std::sort(busiest.begin(), busiest.end(), [](const auto &left, const auto &right) {
        return left.second.calls > right.second.calls;
    });
    busiest.resize(std::min(busiest.size(), maxBusiest));
    std::string text;
    for (const auto &[organisation, sent] : busiest) {
        text += (text.empty() ? "" : " ") + organisation + "=" + std::to_string(sent.calls) + "/" + std::to_string(sent.denied);
    }
    return text;
}

} // namespace oleandergate
