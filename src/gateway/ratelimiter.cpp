#include "gateway/ratelimiter.h"

#include "decision/endpointhash.h"
#include "decision/hash.h"
#include "runtime/clock.h"
#include "runtime/latencyhistogram.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "wire/codec.h"

namespace oleandergate {

namespace asio = boost::asio;

namespace {

//! An issuer in another failure domain answers within a few milliseconds. A call waits no longer for it.
constexpr Duration permitTimeout = std::chrono::milliseconds(100);

//! How long an issuer that did not answer is not asked again.
constexpr Duration silenceTime = std::chrono::milliseconds(1000);

//! Longest time until a denied instance asks again, as limits are lifted and issuers change meanwhile.
constexpr Duration maxRetryAfter = std::chrono::milliseconds(500);

//! Share of a limit that instances use together while their issuers do not answer them.
constexpr double loneShare = 0.5;

//! Statements in one report, which then fits into one packet.
constexpr std::size_t statementsPerReport = 48;

//! Schedules of endpoints without a request for a permit are kept for this long.
constexpr Duration scheduleMemory = std::chrono::seconds(30);

//! Largest number of endpoints whose unreadable limits are remembered.
constexpr std::size_t maxUnreadable = 1024;

} // namespace

RateLimiter::RateLimiter(PeerClient &peers, Metrics &metrics, const InstanceRecord &self, std::function<void()> onNews)
    : peers(peers)
    , self(self)
    , onNews(std::move(onNews))
    , granted(metrics.counter("oleandergate_permits_total", "verdict=\"granted\""))
    , denied(metrics.counter("oleandergate_permits_total", "verdict=\"denied\""))
    , unanswered(metrics.counter("oleandergate_permits_total", "verdict=\"unanswered\""))
    , permitSeconds(metrics.histogram("oleandergate_permit_seconds"))
    , members(self)
    , issuer(currentTime())
    // The instances' first permits are spread over an interval.
    , loneIssuer(Time{}, PermitIssuer::Pacing{0.0, 1.0 - static_cast<double>(hashOf(self.id) % 1000) / 1000.0})
{
}

void RateLimiter::logChange(RateLimitChange change, const std::string &endpoint, std::optional<double> callsPerSecond, const std::string &source) const
{
    if (change == RateLimitChange::None) {
        return;
    }
    logRecord(LogLevel::Info,
              "limits",
              "the rate limit of an endpoint changed",
              {{"endpoint", endpoint},
               {"change", std::string(nameIn(rateLimitChangeNames, change))},
               {"calls_per_second", callsPerSecond ? std::to_string(*callsPerSecond) : std::string()},
               {"source", source}});
}

void RateLimiter::onAnswer(const EndpointSpec &endpoint, const AnswerMetadata &metadata, Time now)
{
    const std::uint32_t hash = endpointHash(endpoint.id);
    if (metadata.hasUnreadableRateLimit) {
        bool isNew = false;
        {
            const std::lock_guard lock(this->mutex);
            isNew = this->unreadable.size() < maxUnreadable && this->unreadable.insert(hash).second;
        }
        if (isNew) {
            logRecord(LogLevel::Warning, "limits", "ignored a rate limit that is no positive finite number", {{"endpoint", endpoint.id}});
        }
        return;
    }
    // A refusal says nothing of a need that has ended.
    if (!metadata.callsPerSecond && (metadata.notRun || !metadata.signedByEndpoint)) {
        return;
    }
    RateLimitChange change = RateLimitChange::None;
    {
        const std::lock_guard lock(this->mutex);
        change = this->table.onStatement(RateLimitStatement{hash, metadata.callsPerSecond, now}, now);
    }
    this->logChange(change, endpoint.id, metadata.callsPerSecond, "answer");
    if (change != RateLimitChange::None) {
        this->onNews();
    }
}

PermitDecision RateLimiter::issue(std::uint32_t endpoint, double callsPerSecond, Duration limitAge, Time now)
{
    const std::lock_guard lock(this->mutex);
    return this->issuer.decide(endpoint, callsPerSecond * this->members.liveShare(now), limitAge, now);
}

PermitDecision RateLimiter::decideAlone(std::uint32_t endpoint, const RateLimit &limit, Time now)
{
    const std::lock_guard lock(this->mutex);
    const double share = limit.callsPerSecond * loneShare / static_cast<double>(this->members.knownCount(now));
    return this->loneIssuer.decide(endpoint, share, Duration::zero(), now);
}

PermitDecision RateLimiter::count(const PermitDecision &decision)
{
    (decision.granted ? this->granted : this->denied).add();
    return PermitDecision{decision.granted, std::min(decision.retryAfter, maxRetryAfter)};
}

asio::awaitable<PermitDecision> RateLimiter::requestPermit(EndpointSpec endpoint)
{
    const Time now = currentTime();
    const std::uint32_t hash = endpointHash(endpoint.id);
    std::optional<RateLimit> limit;
    InstanceRecord issuing;
    bool silent = false;
    {
        const std::lock_guard lock(this->mutex);
        limit = this->table.limitOf(hash);
        if (!limit) {
            co_return PermitDecision{true, {}};
        }
        issuing = this->members.issuerOf(hash, endpoint.domain);
        const auto found = this->silentUntil.find(issuing.peerAddress);
        silent = found != this->silentUntil.end() && found->second > now;
    }
    if (issuing.id == this->self.id) {
        co_return this->count(this->issue(hash, limit->callsPerSecond, now - limit->since, now));
    }
    if (silent) {
        co_return this->count(this->decideAlone(hash, *limit, now));
    }
    PeerMessage request = PermitRequest{hash, limit->callsPerSecond, static_cast<std::uint64_t>(std::max(Duration::zero(), now - limit->since).count())};
    const Result<PeerMessage> reply = co_await this->peers.sendWithin(permitTimeout, issuing.peerAddress, std::move(request));
    const auto *found = reply ? std::get_if<PermitReply>(&reply.value()) : nullptr;
    const Time answered = currentTime();
    this->permitSeconds.observe(answered - now);
    if (found != nullptr) {
        co_return this->count(PermitDecision{found->granted, Duration(static_cast<Duration::rep>(found->retryAfter))});
    }
    this->unanswered.add();
    logRecord(LogLevel::Info,
              "limits",
              "the issuer of permits did not answer",
              {{"endpoint", endpoint.id}, {"peer", issuing.peerAddress}, {"detail", reply ? "the reply is of another kind" : reply.error().detail}});
    {
        const std::lock_guard lock(this->mutex);
        this->silentUntil[issuing.peerAddress] = answered + silenceTime;
    }
    co_return this->count(this->decideAlone(hash, *limit, answered));
}

std::optional<PeerMessage> RateLimiter::serve(const PeerMessage &message, Time now)
{
    const auto *request = std::get_if<PermitRequest>(&message);
    if (request == nullptr) {
        return std::nullopt;
    }
    const PermitDecision decision = this->issue(request->endpoint, request->callsPerSecond, Duration(static_cast<Duration::rep>(request->limitAge)), now);
    return PermitReply{decision.granted, static_cast<std::uint64_t>(std::max(Duration::zero(), decision.retryAfter).count())};
}

void RateLimiter::onMembers(const std::vector<InstanceRecord> &live, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->members.update(live, now);
}

std::map<EndpointId, double> RateLimiter::limitsOf(const std::vector<EndpointId> &endpoints) const
{
    std::map<EndpointId, double> limits;
    const std::lock_guard lock(this->mutex);
    for (const EndpointId &endpoint : endpoints) {
        if (const std::optional<RateLimit> limit = this->table.limitOf(endpointHash(endpoint))) {
            limits[endpoint] = limit->callsPerSecond;
        }
    }
    return limits;
}

std::size_t RateLimiter::sharerCount(Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->members.knownCount(now);
}

NewsChannel RateLimiter::channel()
{
    return NewsChannel{[this](Time now) {
                           return this->nextReport(now);
                       },
                       [this]() {
                           return this->hasNews();
                       },
                       [this](const std::string &payload, Time now) {
                           return this->onPayload(payload, now);
                       }};
}

std::string RateLimiter::nextReport(Time now)
{
    RateLimitReport report;
    report.instance = this->self.id;
    {
        const std::lock_guard lock(this->mutex);
        for (const RateLimitStatement &statement : this->table.nextReport(statementsPerReport, now)) {
            const auto age = std::chrono::floor<std::chrono::milliseconds>(std::max(Duration::zero(), now - statement.statedAt)).count();
            report.limits.push_back(ReportedRateLimit{statement.endpoint, statement.callsPerSecond, static_cast<std::uint32_t>(age)});
        }
    }
    return report.limits.empty() ? std::string() : encodeRateLimitReport(report);
}

bool RateLimiter::hasNews() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.hasNews();
}

bool RateLimiter::onPayload(const std::string &payload, Time now)
{
    const Result<RateLimitReport> report = decodeRateLimitReport(payload);
    if (!report) {
        return false;
    }
    bool changed = false;
    for (const ReportedRateLimit &reported : report.value().limits) {
        RateLimitChange change = RateLimitChange::None;
        {
            const std::lock_guard lock(this->mutex);
            change
                = this->table.onStatement(RateLimitStatement{reported.endpoint, reported.callsPerSecond, now - std::chrono::milliseconds(reported.age)}, now);
        }
        this->logChange(change, "hash " + std::to_string(reported.endpoint), reported.callsPerSecond, report.value().instance);
        changed = changed || change != RateLimitChange::None;
    }
    if (changed) {
        this->onNews();
    }
    return true;
}

void RateLimiter::expire(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->table.expire(now);
    this->issuer.expire(now - scheduleMemory);
    this->loneIssuer.expire(now - scheduleMemory);
    std::erase_if(this->silentUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
}

std::size_t RateLimiter::limitedCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.limitedCount();
}

} // namespace oleandergate
