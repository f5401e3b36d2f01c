#include "decision/dispatcher.h"

#include "decision/hash.h"

#include <algorithm>
#include <array>
#include <limits>

namespace oleandergate {

namespace {

constexpr std::size_t noEndpoint = std::numeric_limits<std::size_t>::max();

//! Weight of a new sample in a running mean.
constexpr double sampleWeight = 0.05;

//! Weight of a new sample in the mean gap between tokens, which gets a sample with each progress report of a stream.
constexpr double tokenGapWeight = sampleWeight / 4;

//! Weight of a sample above the minimum prefill time; samples below it get slownessWeight.
constexpr double minPrefillRiseWeight = sampleWeight / 10;

//! Weight of a new sample in an endpoint's slowness, which has to follow short slow phases.
constexpr double slownessWeight = 0.2;

//! Number of least loaded endpoints that are candidates besides those with a cached prefix.
constexpr std::size_t candidateCount = 2;

//! Slowdown of a call in a full batch: the time per token grows by this times the occupied share of the batch.
constexpr double batchSlowdown = 0.5;

//! Number of preferred endpoints of a program. All instances of a failure domain compute the same ones.
constexpr std::size_t preferredEndpointCount = 2;

//! Share of a prompt that is assumed to be cached at the program's first preferred endpoint, unless this instance knows of more.
constexpr double assumedCachedShare = 0.9;

//! Tokens assumed for the answer of a call in estimates by branch.
constexpr Tokens assumedAnswerTokens = 128;

//! Number of interruptions for stalls that are allowed beyond the share of started calls.
constexpr std::uint64_t minAllowedMigrations = 4;

//! Limits of a single sample of the slowness of an endpoint.
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20.0;

//! Endpoints that are slower than this do not contribute to the means of the pool. A sample below it resets the backoff of an endpoint.
constexpr double normalSlownessLimit = 2.0;

//! Multiple of the expected prefill time that is added to the stall limit before the first token.
constexpr double stallPrefillFactor = 2.0;

//! Retry time for callers of a pool without endpoints.
constexpr Duration noEndpointRetryAfter = std::chrono::seconds(1);

//! The service time before a preemption doubles with each interruption, at most this often.
constexpr std::uint32_t maxQuantumDoublings = 6;

//! Load reports that are older are ignored.
constexpr Duration maxReportAge = std::chrono::seconds(10);

//! Shortest time between two requests of one instance for permits of the same endpoint, as a share of the limit's interval.
constexpr double permitSpacing = 0.5;
constexpr double maxPermitSpacing = 0.2; //!< In seconds.

void updateMean(double &mean, double sample, double weight)
{
    mean += weight * (sample - mean);
}

} // namespace

Dispatcher::Dispatcher(const PolicyOptions &options, std::uint64_t seed)
    : options(options)
    , random(seed)
    , endpoints(options.limitInFlight, options.overcommit)
{
}

void Dispatcher::setOptions(const PolicyOptions &newOptions)
{
    this->options = newOptions;
}

void Dispatcher::setLocalDomain(const std::string &domain)
{
    this->endpoints.setLocalDomain(domain, this->options.remoteLoadPenalty);
}

void Dispatcher::setEndpoints(const std::vector<EndpointSpec> &specs)
{
    this->endpoints.assign(specs);
}

Time Dispatcher::queueKey(const QueuedCall &call, Time now) const
{
    const Duration advance = this->options.priorityStep * call.priority;
    switch (this->options.order) {
    case QueueOrder::Arrival:
        return now - advance;
    case QueueOrder::ProgramStart:
        return call.programStart - advance;
    case QueueOrder::Deadline:
        return call.programDeadline < now ? now + this->options.latePenalty : call.programDeadline - advance;
    case QueueOrder::LeastAttained:
        break;
    }
    const auto program = this->programs.find(call.program);
    const double attained = program == this->programs.end() ? 0.0 : program->second.attained;
    return now - advance + std::min(this->options.maxAttainedPenalty, fromSeconds(attained * this->options.attainedWeight));
}

Result<void> Dispatcher::enqueue(const QueuedCall &call, Time now)
{
    if (this->endpoints.usableCount() == 0) {
        return Error{ErrorCode::NoEndpoint, Step::Queue, {}, Executed::No, noEndpointRetryAfter, "the pool has no usable endpoint"};
    }
    if (!this->hasCandidate(call)) {
        Error error{
            ErrorCode::NoEndpoint, Step::Queue, {}, Executed::No, fromSeconds(this->meanCallSeconds), "no usable endpoint of the pool may serve the call"};
        if (call.requiredVersion) {
            // A wait would not help: endpoints of a version that left do not come back.
            error.retryAfter = std::nullopt;
            error.detail = "no usable endpoint of the pool runs software version '" + *call.requiredVersion + "', which the stream needs";
        }
        if (!call.requiredEndpoint.empty()) {
            error.detail = "the endpoint '" + call.requiredEndpoint + "', which may have run the request, takes no new ones";
        }
        return error;
    }
    const bool isNew = !this->programs.contains(call.program);
    if (this->options.admissionControl && isNew && this->wouldBeLate(call, now)) {
        return Error{ErrorCode::Overloaded, Step::Queue, {}, Executed::No, this->predictedWait(), "the call or its program is predicted to miss its deadline"};
    }
    ProgramView &program = this->programs[call.program];
    program.openCalls += 1;
    program.calls += 1;
    program.usedAt = now;
    Waiting entry{call, this->queueKey(call, now)};
    entry.queuedAt = now;
    this->order.emplace(std::pair(entry.key, call.call), call.call);
    this->waiting[call.call] = std::move(entry);
    return boost::outcome_v2::success();
}

bool Dispatcher::hasCandidate(const QueuedCall &call) const
{
    const auto usable = [this](const EndpointId &id) {
        return this->takesCalls(id);
    };
    if (!call.requiredEndpoint.empty()) {
        return this->requiredIndex(call).has_value();
    }
    if (call.requiredVersion) {
        for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
            if (this->endpoints.isUsable(index) && this->allows(call, index)) {
                return true;
            }
        }
        return false;
    }
    const auto avoided = static_cast<std::size_t>(std::count_if(call.avoid.begin(), call.avoid.end(), usable));
    return avoided < this->endpoints.usableCount();
}

bool Dispatcher::allows(const QueuedCall &call, std::size_t endpoint) const
{
    return !call.avoid.contains(this->endpoints.at(endpoint).spec.id) && this->endpoints.hasVersion(endpoint, call.requiredVersion);
}

std::optional<std::size_t> Dispatcher::requiredIndex(const QueuedCall &call) const
{
    const std::optional<std::size_t> index = this->endpoints.indexOf(call.requiredEndpoint);
    const bool mayServe = index && this->endpoints.isUsable(*index) && this->endpoints.hasVersion(*index, call.requiredVersion);
    return mayServe ? index : std::nullopt;
}

bool Dispatcher::mayServe(CallId call) const
{
    const auto found = this->waiting.find(call);
    if (found == this->waiting.end()) {
        return true;
    }
    const QueuedCall &queued = found->second.call;
    return (!queued.requiredVersion && queued.requiredEndpoint.empty()) || this->hasCandidate(queued);
}

bool Dispatcher::takesCalls(const EndpointId &endpoint) const
{
    const std::optional<std::size_t> index = this->endpoints.indexOf(endpoint);
    return index && this->endpoints.isUsable(*index);
}

bool Dispatcher::takesCalls(const std::string &version, const std::set<EndpointId> &avoid, Time now) const
{
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        const EndpointState &state = this->endpoints.at(index);
        if (this->endpoints.isUsable(index) && state.spec.version == version && state.avoidUntil <= now && !avoid.contains(state.spec.id)) {
            return true;
        }
    }
    return false;
}

bool Dispatcher::hasOther(const std::string &version, const EndpointId &endpoint) const
{
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        const EndpointState &state = this->endpoints.at(index);
        if (state.listed && state.spec.version == version && state.spec.id != endpoint) {
            return true;
        }
    }
    return false;
}

bool Dispatcher::hasRoom(const std::string &version, const std::set<EndpointId> &avoid, Time now) const
{
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        const EndpointSpec &spec = this->endpoints.at(index).spec;
        if (spec.version == version && this->endpoints.hasRoom(index, now) && !avoid.contains(spec.id)) {
            return true;
        }
    }
    return false;
}

bool Dispatcher::wouldBeLate(const QueuedCall &call, Time now) const
{
    const Duration wait = this->predictedWait();
    const double timePerCall = toSeconds(wait) + this->meanCallSeconds;
    const bool programLate = now + fromSeconds(this->meanCallsPerProgram * timePerCall * this->options.admissionMargin) > call.programDeadline;
    return programLate || now + wait > call.deadline;
}

bool Dispatcher::remove(CallId call)
{
    const auto found = this->waiting.find(call);
    if (found == this->waiting.end()) {
        return false;
    }
    this->programs[found->second.call.program].openCalls -= 1;
    this->order.erase(std::pair(found->second.key, call));
    this->waiting.erase(found);
    return true;
}

const QueuedCall *Dispatcher::head(Time now)
{
    if (this->options.placement != PlacementRule::Estimated) {
        return this->order.empty() ? nullptr : &this->waiting.at(this->order.begin()->second).call;
    }
    const std::optional<Choice> choice = this->select(now);
    return choice ? &this->waiting.at(choice->call).call : nullptr;
}

std::optional<Dispatcher::Choice> Dispatcher::select(Time now)
{
    std::size_t considered = 0;
    for (const auto &[key, call] : this->order) {
        const Waiting &candidate = this->waiting.at(call);
        const std::size_t endpoint = this->choose(candidate, now);
        considered += 1;
        if (endpoint != noEndpoint && !this->waitsForPrefix(candidate, endpoint, now)) {
            return Choice{call, endpoint};
        }
        // A call that only some endpoints may serve does not block the calls behind it.
        const bool restricted = !candidate.call.requiredEndpoint.empty() || !candidate.call.avoid.empty() || candidate.call.requiredVersion.has_value();
        if ((endpoint == noEndpoint && !restricted) || considered >= this->options.affinityLookahead) {
            break;
        }
    }
    return std::nullopt;
}

bool Dispatcher::waitsForPrefix(const Waiting &waiting, std::size_t endpoint, Time now) const
{
    const auto program = this->programs.find(waiting.call.program);
    if (waiting.call.isolated || this->options.placement != PlacementRule::Estimated || program == this->programs.end()
        || now > waiting.queuedAt + this->options.maxAffinityWait) {
        return false;
    }
    const auto cache = program->second.caches.find(waiting.call.branch);
    if (cache == program->second.caches.end() || cache->second.endpoint == endpoint) {
        return false;
    }
    const EndpointState &holder = this->endpoints.at(cache->second.endpoint);
    const bool usable = this->endpoints.isUsable(cache->second.endpoint) && holder.avoidUntil <= now && this->allows(waiting.call, cache->second.endpoint);
    return usable && !this->endpoints.hasRoom(cache->second.endpoint, now);
}

std::optional<Placement> Dispatcher::next(Time now)
{
    const std::optional<Choice> choice = this->select(now);
    if (!choice) {
        return std::nullopt;
    }
    const Waiting taken = this->waiting.at(choice->call);
    this->order.erase(std::pair(taken.key, choice->call));
    this->waiting.erase(choice->call);
    const EndpointState &state = this->endpoints.at(choice->endpoint);
    Placement placement;
    placement.call = taken.call.call;
    placement.endpoint = state.spec;
    placement.expectsCache = this->cachedTokens(choice->endpoint, taken.call) > 0;
    placement.ownCalls = state.inFlight;
    placement.peerCalls = state.peerCalls;
    placement.cachedTokens = this->cachedPartTokens(choice->endpoint, taken.call);
    this->start(taken, choice->endpoint, now);
    return placement;
}

std::size_t Dispatcher::choose(const Waiting &waiting, Time now)
{
    if (!waiting.call.requiredEndpoint.empty()) {
        const std::optional<std::size_t> index = this->requiredIndex(waiting.call);
        return index && this->endpoints.at(*index).blockedUntil <= now ? *index : noEndpoint;
    }
    const PlacementRule rule = waiting.call.isolated ? PlacementRule::LeastOutstanding : this->options.placement;
    switch (rule) {
    case PlacementRule::RoundRobin:
        for (std::size_t tried = 0; tried < this->endpoints.size(); ++tried) {
            const std::size_t index = this->roundRobin++ % this->endpoints.size();
            if (this->endpoints.hasRoom(index, now) && this->allows(waiting.call, index)) {
                return index;
            }
        }
        return noEndpoint;
    case PlacementRule::CacheAffine: {
        const auto program = this->programs.find(waiting.call.program);
        if (program != this->programs.end()) {
            const auto cache = program->second.caches.find(waiting.call.branch);
            if (cache != program->second.caches.end() && this->endpoints.hasRoom(cache->second.endpoint, now)
                && this->endpoints.hasVersion(cache->second.endpoint, waiting.call.requiredVersion)) {
                return cache->second.endpoint;
            }
        }
        [[fallthrough]];
    }
    case PlacementRule::LeastOutstanding: {
        const std::vector<std::size_t> least = this->endpoints.leastLoaded(1, waiting.call.avoid, waiting.call.requiredVersion, now);
        return least.empty() ? noEndpoint : least.front();
    }
    case PlacementRule::Estimated:
        break;
    }
    return waiting.call.promptParts.empty() ? this->chooseByBranch(waiting, now) : this->chooseByParts(waiting, now);
}

std::vector<std::size_t> Dispatcher::preferredEndpoints(const std::string &key, const std::optional<std::string> &version) const
{
    // Rendezvous hashing: all instances choose the same endpoints without communication.
    std::array<std::pair<std::uint64_t, std::size_t>, preferredEndpointCount> best{};
    for (const std::size_t index : this->endpoints.localEndpoints()) {
        if (!this->endpoints.hasVersion(index, version)) {
            continue;
        }
        const std::pair<std::uint64_t, std::size_t> entry{hashOf(this->endpoints.at(index).spec.id, hashOf(key)), index};
        for (std::size_t place = 0; place < preferredEndpointCount; ++place) {
            if (entry > best[place]) {
                std::move_backward(best.begin() + static_cast<std::ptrdiff_t>(place), best.end() - 1, best.end());
                best[place] = entry;
                break;
            }
        }
    }
    std::vector<std::size_t> preferred;
    for (const auto &[weight, index] : best) {
        if (weight != 0) {
            preferred.push_back(index);
        }
    }
    return preferred;
}

Tokens Dispatcher::cachedPartTokens(std::size_t endpoint, const QueuedCall &call) const
{
    const auto program = this->programs.find(call.program);
    if (program == this->programs.end()) {
        return 0;
    }
    const auto held = program->second.parts.find(endpoint);
    if (held == program->second.parts.end()) {
        return 0;
    }
    Tokens cached = 0;
    for (const PromptPart &part : call.promptParts) {
        const auto found = held->second.find(part.id);
        const Tokens tokens = found == held->second.end() ? 0 : std::min(found->second, part.tokens);
        cached += tokens;
        if (tokens < part.tokens) {
            break;
        }
    }
    return cached;
}

double Dispatcher::estimateByParts(std::size_t endpoint, const Waiting &waiting, Tokens cached) const
{
    const EndpointState &state = this->endpoints.at(endpoint);
    const auto uncached = static_cast<double>(std::max<Tokens>(0, waiting.call.promptTokens + waiting.generated - cached));
    const auto others = static_cast<double>(state.inFlight + state.peerCalls);
    const auto slots = static_cast<double>(std::max(1U, state.spec.slots));
    const double prefill = uncached * this->minPrefillTime;
    const double decode = this->meanAnswerTokens * this->meanTokenGap;
    // Prefill runs between the tokens of the other calls in the batch, and each additional call slows all of them.
    const double ownCost = prefill + decode * (1.0 + batchSlowdown * others / slots);
    const double costToOthers = others * (prefill + decode * batchSlowdown / slots);
    const double transferDelay = this->endpoints.isRemote(endpoint) ? toSeconds(this->options.remoteDelay) : 0.0;
    return transferDelay + state.slowness * (ownCost + costToOthers);
}

std::size_t Dispatcher::chooseByParts(const Waiting &waiting, Time now) const
{
    const QueuedCall &call = waiting.call;
    // The first part is shared by many programs; the second one identifies the program's main line, which its sub-agents share.
    const std::string &placementKey = call.promptParts.size() > 1 ? call.promptParts[1].id : call.promptParts.front().id;
    const auto program = this->programs.find(call.program);
    const bool hasCachedParts = program != this->programs.end() && !program->second.parts.empty();
    std::size_t best = noEndpoint;
    double bestCost = std::numeric_limits<double>::max();
    const auto consider = [&](std::size_t candidate, Tokens cached) {
        if (!this->endpoints.hasRoom(candidate, now) || !this->allows(call, candidate)) {
            return;
        }
        const double cost = this->estimateByParts(candidate, waiting, cached);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    };
    for (const std::size_t candidate : this->endpoints.leastLoaded(candidateCount, call.avoid, call.requiredVersion, now)) {
        consider(candidate, this->cachedPartTokens(candidate, call));
    }
    // Calls of this program at other instances were sent to its preferred endpoint, unless that was loaded.
    double assumedShare = assumedCachedShare;
    for (const std::size_t preferredEndpoint : this->preferredEndpoints(placementKey, call.requiredVersion)) {
        consider(preferredEndpoint,
                 std::max(this->cachedPartTokens(preferredEndpoint, call), static_cast<Tokens>(assumedShare * static_cast<double>(call.promptTokens))));
        assumedShare = 0.0;
    }
    if (hasCachedParts) {
        for (const auto &[endpoint, parts] : program->second.parts) {
            consider(endpoint, this->cachedPartTokens(endpoint, call));
        }
    }
    return best;
}

void Dispatcher::recordPrefix(std::size_t endpoint, const QueuedCall &call, Tokens generated)
{
    std::map<std::string, Tokens> &held = this->programs[call.program].parts[endpoint];
    for (const PromptPart &part : call.promptParts) {
        Tokens &tokens = held[part.id];
        tokens = std::max(tokens, part.tokens + (&part == &call.promptParts.back() ? generated : 0));
    }
}

std::size_t Dispatcher::chooseByBranch(const Waiting &waiting, Time now) const
{
    std::vector<std::size_t> candidates = this->endpoints.leastLoaded(candidateCount, waiting.call.avoid, waiting.call.requiredVersion, now);
    const auto program = this->programs.find(waiting.call.program);
    if (program != this->programs.end()) {
        for (const auto &[branch, cache] : program->second.caches) {
            const bool related = branch == waiting.call.branch || branch.empty();
            if (related && this->endpoints.hasRoom(cache.endpoint, now) && this->allows(waiting.call, cache.endpoint)) {
                candidates.push_back(cache.endpoint);
            }
        }
    }
    std::size_t best = noEndpoint;
    double bestCost = std::numeric_limits<double>::max();
    for (const std::size_t candidate : candidates) {
        const double cost = this->estimateByBranch(candidate, waiting);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

double Dispatcher::estimateByBranch(std::size_t endpoint, const Waiting &waiting) const
{
    const EndpointState &state = this->endpoints.at(endpoint);
    const Tokens prompt = waiting.call.promptTokens + waiting.generated;
    const auto uncached = static_cast<double>(std::max<Tokens>(0, prompt - this->cachedTokens(endpoint, waiting.call)));
    const double occupancy = static_cast<double>(state.inFlight + state.peerCalls) / static_cast<double>(std::max(1U, state.spec.slots));
    const auto answer = static_cast<double>(assumedAnswerTokens);
    const double transferDelay = this->endpoints.isRemote(endpoint) ? toSeconds(this->options.remoteDelay) : 0.0;
    return transferDelay + state.slowness * (uncached * this->meanPrefillTime + answer * this->meanTokenGap * (1.0 + batchSlowdown * occupancy));
}

Tokens Dispatcher::cachedTokens(std::size_t endpoint, const QueuedCall &call) const
{
    const auto program = this->programs.find(call.program);
    if (program == this->programs.end()) {
        return 0;
    }
    Tokens cached = 0;
    for (const auto &[branch, cache] : program->second.caches) {
        // The prompt of a sub-agent starts with the conversation of the main line.
        if (cache.endpoint == endpoint && (branch == call.branch || branch.empty())) {
            cached = std::max(cached, std::min(cache.tokens, call.promptTokens));
        }
    }
    return cached;
}

void Dispatcher::start(const Waiting &waiting, std::size_t endpoint, Time now)
{
    Running running;
    running.call = waiting.call;
    running.endpoint = endpoint;
    running.startedAt = now;
    running.lastProgress = now;
    running.uncached = std::max<Tokens>(0, waiting.call.promptTokens + waiting.generated - this->cachedTokens(endpoint, waiting.call));
    running.generated = waiting.generated;
    running.interrupted = waiting.interrupted;
    ProgramView &program = this->programs[waiting.call.program];
    running.previouslyAttained = program.attained;
    const double callsPerSecond = this->endpoints.at(endpoint).callsPerSecond;
    if (callsPerSecond > 0.0) {
        running.cachesBefore = program;
        // The endpoint's permits are requested one after the other.
        this->endpoints.block(endpoint, now + fromSeconds(std::min(maxPermitSpacing, permitSpacing / callsPerSecond)));
    }
    program.endpoints.insert(this->endpoints.at(endpoint).spec.id);
    if (!waiting.call.promptParts.empty()) {
        running.uncached = std::max<Tokens>(0, waiting.call.promptTokens - this->cachedPartTokens(endpoint, waiting.call));
        this->recordPrefix(endpoint, waiting.call, 0);
    }
    program.caches[waiting.call.branch] = BranchCache{endpoint, waiting.call.promptTokens + waiting.generated};
    this->running[waiting.call.call] = std::move(running);
    this->endpoints.addCall(endpoint);
    this->startedCalls += waiting.firstStart ? 1 : 0;
}

void Dispatcher::onProgress(CallId call, Tokens tokens, Time now)
{
    const auto found = this->running.find(call);
    if (found == this->running.end()) {
        return;
    }
    Running &running = found->second;
    const double elapsed = toSeconds(now - running.lastProgress);
    const double slowness = this->endpoints.at(running.endpoint).slowness;
    double ratio = 1.0;
    if (!running.firstToken) {
        const double expected = static_cast<double>(running.uncached) * this->meanPrefillTime + this->meanTokenGap;
        ratio = elapsed / expected;
        if (running.uncached > 0) {
            // Follows the fastest samples: the others include a wait for a slot in the batch.
            const double sample = std::max(0.0, elapsed - this->meanTokenGap) / static_cast<double>(running.uncached);
            updateMean(this->minPrefillTime, sample, sample < this->minPrefillTime ? slownessWeight : minPrefillRiseWeight);
        }
        if (running.uncached > 0 && slowness < normalSlownessLimit) {
            updateMean(this->meanPrefillTime, std::max(0.0, elapsed - this->meanTokenGap) / static_cast<double>(running.uncached), sampleWeight);
        }
        running.firstToken = true;
    } else if (tokens > 0) {
        const double gap = elapsed / static_cast<double>(tokens);
        ratio = gap / this->meanTokenGap;
        if (slowness < normalSlownessLimit) {
            updateMean(this->meanTokenGap, gap, tokenGapWeight);
        }
    }
    running.generated += tokens;
    running.lastProgress = now;
    if (this->options.avoidSlow) {
        double updated = slowness;
        updateMean(updated, std::clamp(ratio, minSlowness, maxSlowness), slownessWeight);
        this->endpoints.setSlowness(running.endpoint, updated);
        if (ratio < normalSlownessLimit) {
            this->endpoints.clearAvoidance(running.endpoint);
        }
    }
}

void Dispatcher::recordService(const Running &running, Time now)
{
    const double service = toSeconds(now - running.startedAt);
    this->programs[running.call.program].attained += service;
    updateMean(this->meanCallSeconds, service, sampleWeight);
}

void Dispatcher::onFinished(CallId call, bool healthy, Time now)
{
    const auto found = this->running.find(call);
    if (found == this->running.end()) {
        return;
    }
    const Running running = found->second;
    this->running.erase(found);
    this->recordService(running, now);
    this->endpoints.removeCall(running.endpoint);
    ProgramView &program = this->programs[running.call.program];
    program.openCalls -= 1;
    if (running.generated > 0) {
        updateMean(this->meanAnswerTokens, static_cast<double>(running.generated), sampleWeight);
    }
    if (healthy && !running.call.promptParts.empty()) {
        this->recordPrefix(running.endpoint, running.call, running.generated);
    } else if (!healthy) {
        program.parts.erase(running.endpoint);
    }
    if (healthy) {
        program.caches[running.call.branch] = BranchCache{running.endpoint, running.call.promptTokens + running.generated};
    } else {
        program.caches.erase(running.call.branch);
        this->endpoints.avoid(running.endpoint, this->options.avoidance, now);
    }
}

void Dispatcher::onDeclined(CallId call, Time retryAt)
{
    const auto found = this->running.find(call);
    if (found == this->running.end()) {
        return;
    }
    const Running running = found->second;
    this->running.erase(found);
    this->endpoints.removeCall(running.endpoint);
    this->endpoints.block(running.endpoint, retryAt);
    ProgramView &program = this->programs[running.call.program];
    program.openCalls -= 1;
    if (running.cachesBefore) {
        static_cast<CacheView &>(program) = *running.cachesBefore;
    }
}

void Dispatcher::setRateLimits(const std::map<EndpointId, double> &limits, std::size_t instances)
{
    if (limits.empty() && !this->hasRateLimits) {
        return;
    }
    this->hasRateLimits = !limits.empty();
    this->limitSharers = std::max<std::size_t>(1, instances);
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        const auto found = limits.find(this->endpoints.at(index).spec.id);
        const double callsPerSecond = found == limits.end() ? 0.0 : found->second;
        if (callsPerSecond != this->endpoints.at(index).callsPerSecond) {
            this->endpoints.setRateLimit(index, callsPerSecond);
        }
    }
}

Time Dispatcher::nextUnblock(Time now) const
{
    return this->endpoints.nextUnblock(now);
}

void Dispatcher::keepRunning(CallId call)
{
    const auto found = this->running.find(call);
    if (found != this->running.end()) {
        found->second.interrupting = false;
        found->second.call.resumable = false;
    }
}

std::optional<std::string> Dispatcher::versionFor(const Running &running) const
{
    const std::string &version = this->endpoints.at(running.endpoint).spec.version;
    return running.firstToken && !version.empty() ? std::optional(version) : running.call.requiredVersion;
}

void Dispatcher::onInterrupted(CallId call, Tokens generated, Time now)
{
    const auto found = this->running.find(call);
    if (found == this->running.end()) {
        return;
    }
    const Running running = found->second;
    this->running.erase(found);
    this->recordService(running, now);
    this->endpoints.removeCall(running.endpoint);
    Waiting entry{running.call, this->queueKey(running.call, now), running.interrupted + 1, false, generated, now};
    entry.call.requiredVersion = this->versionFor(running);
    this->programs[running.call.program].caches[running.call.branch] = BranchCache{running.endpoint, running.call.promptTokens + generated};
    this->order.emplace(std::pair(entry.key, call), call);
    this->waiting[call] = std::move(entry);
}

std::vector<Interruption> Dispatcher::interruptions(Time now)
{
    std::vector<Interruption> chosen;
    if (this->options.migrate) {
        this->addStalled(now, chosen);
    }
    if (this->options.preempt) {
        this->addPreempted(now, chosen);
    }
    this->interruptedStreams += chosen.size();
    return chosen;
}

void Dispatcher::addStalled(Time now, std::vector<Interruption> &chosen)
{
    for (auto &[id, running] : this->running) {
        const double prefill = running.firstToken ? 0.0 : static_cast<double>(running.uncached) * this->meanPrefillTime;
        const Duration limit = std::max(this->options.minStallTime, fromSeconds(this->options.stallFactor * this->meanTokenGap + stallPrefillFactor * prefill));
        if (now - running.lastProgress <= limit) {
            continue;
        }
        this->endpoints.avoid(running.endpoint, this->options.avoidance, now);
        const auto allowed = static_cast<std::uint64_t>(this->options.maxMigrationShare * static_cast<double>(this->startedCalls)) + minAllowedMigrations;
        const bool hasAlternative = !this->endpoints.leastLoaded(1, running.call.avoid, this->versionFor(running), now).empty();
        if (running.call.resumable && !running.interrupting && this->migrations < allowed && hasAlternative) {
            this->migrations += 1;
            running.interrupting = true;
            chosen.push_back(Interruption{id, Interruption::Reason::Stalled});
        }
    }
}

Duration Dispatcher::quantumFor(const Running &running) const
{
    return this->options.quantum * (1U << std::min(running.interrupted, maxQuantumDoublings));
}

void Dispatcher::addPreempted(Time now, std::vector<Interruption> &chosen)
{
    if (this->order.empty()) {
        return;
    }
    std::vector<std::pair<Time, CallId>> preemptible;
    std::size_t interrupting = 0;
    for (const auto &[id, running] : this->running) {
        interrupting += running.interrupting ? 1 : 0;
        if (running.interrupting || !running.call.resumable || !running.firstToken || now - running.startedAt < this->quantumFor(running)) {
            continue;
        }
        const double attained = running.previouslyAttained + toSeconds(now - running.startedAt);
        const Duration penalty = std::min(this->options.maxAttainedPenalty, fromSeconds(attained * this->options.attainedWeight));
        preemptible.emplace_back(now + penalty - this->options.priorityStep * running.call.priority, id);
    }
    std::sort(preemptible.rbegin(), preemptible.rend());
    auto waiting = this->order.begin();
    std::advance(waiting, static_cast<std::ptrdiff_t>(std::min(interrupting, this->order.size())));
    for (const auto &[key, id] : preemptible) {
        if (waiting == this->order.end() || waiting->first.first >= key) {
            break;
        }
        this->running.at(id).interrupting = true;
        chosen.push_back(Interruption{id, Interruption::Reason::Preempted});
        ++waiting;
    }
}

void Dispatcher::onLoadReport(const EndpointId &endpoint, std::uint32_t running, Time measuredAt, Time now)
{
    const std::optional<std::size_t> index = this->endpoints.indexOf(endpoint);
    if (!index || now - measuredAt > maxReportAge) {
        return;
    }
    const std::uint32_t own = this->endpoints.at(*index).inFlight;
    this->endpoints.setPeerCalls(*index, running > own ? running - own : 0);
}

void Dispatcher::setPeerCalls(const std::map<std::uint32_t, std::uint32_t> &calls)
{
    for (std::size_t index = 0; index < this->endpoints.size(); ++index) {
        const EndpointState &state = this->endpoints.at(index);
        const auto found = calls.find(state.hash);
        const std::uint32_t count = found == calls.end() ? 0 : found->second;
        if (state.listed && state.peerCalls != count) {
            this->endpoints.setPeerCalls(index, count);
        }
    }
}

std::map<EndpointId, std::uint32_t> Dispatcher::ownCalls() const
{
    std::map<EndpointId, std::uint32_t> calls;
    for (const auto &[id, running] : this->running) {
        calls[this->endpoints.at(running.endpoint).spec.id] += 1;
    }
    return calls;
}

void Dispatcher::onCacheEvicted(const EndpointId &endpoint, const ProgramId &program, const std::string &branch)
{
    const auto view = this->programs.find(program);
    const std::optional<std::size_t> index = this->endpoints.indexOf(endpoint);
    if (view == this->programs.end() || !index) {
        return;
    }
    const auto cache = view->second.caches.find(branch);
    if (cache != view->second.caches.end() && cache->second.endpoint == *index) {
        view->second.caches.erase(cache);
    }
}

std::set<EndpointId> Dispatcher::forgetProgram(const ProgramId &program)
{
    const auto found = this->programs.find(program);
    if (found == this->programs.end()) {
        return {};
    }
    std::set<EndpointId> holders = found->second.endpoints;
    updateMean(this->meanCallsPerProgram, static_cast<double>(found->second.calls), sampleWeight);
    if (found->second.openCalls == 0) {
        this->programs.erase(found);
    }
    return holders;
}

void Dispatcher::forgetIdle(Time before)
{
    std::erase_if(this->programs, [before](const auto &entry) {
        return entry.second.openCalls == 0 && entry.second.usedAt < before;
    });
}

Duration Dispatcher::predictedWait() const
{
    return fromSeconds(static_cast<double>(this->order.size()) / this->endpoints.callRate(this->meanCallSeconds, this->limitSharers));
}

Duration Dispatcher::meanServiceTime() const
{
    return fromSeconds(this->meanCallSeconds);
}

double Dispatcher::occupancy() const
{
    return this->endpoints.occupancy();
}

std::size_t Dispatcher::waitingCount() const
{
    return this->waiting.size();
}

std::size_t Dispatcher::runningCount() const
{
    return this->running.size();
}

std::size_t Dispatcher::endpointCount() const
{
    return this->endpoints.usableCount();
}

std::uint64_t Dispatcher::interruptionCount() const
{
    return this->interruptedStreams;
}

} // namespace oleandergate
