#include "bench/sharing/allowancefleet.h"

#include "decision/hash.h"

#include <algorithm>

namespace oleandergate::bench {

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration runTime = std::chrono::seconds(30);
constexpr Duration step = std::chrono::milliseconds(5);
constexpr Duration settled = std::chrono::seconds(2); //!< Until the instances know each other at the start.
constexpr Duration detection = std::chrono::milliseconds(1800); //!< Until an instance that ended is missed, as in PeerTable.
constexpr Duration arrivalNotice = std::chrono::milliseconds(200); //!< Until all know of an instance that began.
constexpr Duration maxWait = std::chrono::milliseconds(1500); //!< Of a call of a program under way.
constexpr Duration silence = std::chrono::seconds(1); //!< After a request that was not answered.
constexpr double callsPerProgram = 20.0;
constexpr double callGapSeconds = 0.12;
constexpr double otherInstanceShare = 0.1; //!< Of the calls of a program that reach another instance than the others.
constexpr std::uint64_t organisation = 77;
constexpr Duration crestFrom = std::chrono::seconds(10);
constexpr Duration crestTo = std::chrono::seconds(20);
constexpr Duration failureAt = std::chrono::seconds(12);
constexpr Duration loweredAt = std::chrono::seconds(8);
constexpr Duration restartPeriod = std::chrono::seconds(6);
constexpr Duration downTime = std::chrono::seconds(1);

} // namespace

const AllowanceTolerance AllowanceFleet::tolerance{std::chrono::seconds(5), 0.1, 20.0};

AllowanceFleet::Instance::Instance(InstanceRecord given, std::size_t index, Time startedAt)
    : record(std::move(given))
    , members(this->record)
    , issuer(tolerance, startedAt)
    , reserves(static_cast<std::uint32_t>(hashOf(this->record.id)))
    , lone(Time{}, PermitIssuer::Pacing{0.0, static_cast<double>(index % 10 + 1) / 10.0})
    , noticeDelay(detection * static_cast<Duration::rep>(index % 10 + 1) / 10)
    , changedAt(startedAt)
{
}

AllowanceFleet::AllowanceFleet(std::size_t size, const AllowanceLoad &load, AllowanceSharing sharing, std::uint64_t seed)
    : load(load)
    , sharing(sharing)
    , random(seed)
{
    for (std::size_t index = 0; index < size; ++index) {
        this->instances.push_back(std::make_unique<Instance>(this->recordOf(index), index, start));
    }
}

InstanceRecord AllowanceFleet::recordOf(std::size_t index) const
{
    return InstanceRecord{"i" + std::to_string(index) + "~" + std::to_string(this->generation), "10.0.0." + std::to_string(index) + ":90", "a", false};
}

void AllowanceFleet::run()
{
    for (Time now = start; now < start + runTime; now += step) {
        this->changeInstances(now);
        this->beginPrograms(now);
        while (!this->events.empty() && this->events.top().time <= now) {
            const Event event = this->events.top();
            this->events.pop();
            this->makeCall(event.program, event.time);
        }
    }
}

void AllowanceFleet::restart(std::size_t index, Time now)
{
    this->generation += 1;
    this->instances[index] = std::make_unique<Instance>(this->recordOf(index), index, now);
}

void AllowanceFleet::changeInstances(Time now)
{
    const Duration since = now - start;
    const bool endsNow = since == failureAt;
    const std::size_t ending = this->load.allEnd ? this->instances.size() : this->instances.size() / 4;
    if (endsNow && (this->load.allEnd || this->load.quarterEnds)) {
        for (std::size_t index = 0; index < ending; ++index) {
            this->instances[index]->isUp = false;
            this->instances[index]->changedAt = now;
        }
    }
    if (this->load.allEnd && since == failureAt + downTime) {
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            this->restart(index, now);
        }
    }
    if (!this->load.issuerRestarts || since < settled) {
        return;
    }
    if (since % restartPeriod == restartPeriod - downTime) {
        Instance *issuing = this->issuerFor(*this->instances.front(), now);
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            if (this->instances[index].get() == issuing) {
                this->restarting = index;
                issuing->isUp = false;
                issuing->changedAt = now;
            }
        }
    } else if (since % restartPeriod == Duration::zero() && this->restarting) {
        this->restart(*this->restarting, now);
        this->restarting.reset();
    }
}

void AllowanceFleet::beginPrograms(Time now)
{
    const Duration since = now - start;
    if (since < settled) {
        return;
    }
    const bool inCrest = this->load.crest > 0.0 && since >= crestFrom && since < crestTo;
    const double demand = inCrest ? this->load.crest : this->load.demand;
    const double allowed = this->load.allowed * (since >= loweredAt ? this->load.lowered : 1.0);
    this->asked += std::min(this->load.allowed * demand, allowed) * toSeconds(step);
    const double programsPerStep = this->load.allowed * demand / callsPerProgram * toSeconds(step);
    for (int count = std::poisson_distribution<int>(programsPerStep)(this->random); count > 0; --count) {
        Program program;
        this->programCount += 1;
        program.id = this->programCount;
        program.home = this->load.isSkewed && this->random() % 2 == 0 ? 0 : this->random() % this->instances.size();
        program.callsLeft = 1 + std::poisson_distribution<int>(callsPerProgram - 1.0)(this->random);
        this->events.push(Event{now, program});
    }
}

void AllowanceFleet::makeCall(Program program, Time now)
{
    const bool goesElsewhere = program.hasBegun && std::bernoulli_distribution(otherInstanceShare)(this->random);
    std::size_t index = goesElsewhere ? this->random() % this->instances.size() : program.home;
    for (std::size_t tried = 0; !this->instances[index]->isUp; ++tried) {
        if (tried == this->instances.size()) {
            return;
        }
        index = (index + 1) % this->instances.size();
    }
    const std::optional<Duration> wait = this->waitFor(*this->instances[index], program, now);
    if (!wait) {
        this->sent.push_back(now);
        program.hasBegun = true;
        program.waitsSince = Time{};
        program.callsLeft -= 1;
        if (program.callsLeft > 0) {
            this->events.push(Event{now + fromSeconds(std::exponential_distribution<double>(1.0 / callGapSeconds)(this->random)), program});
        }
        return;
    }
    if (!program.hasBegun) {
        this->refused += 1;
        return;
    }
    program.waitsSince = program.waitsSince == Time{} ? now : program.waitsSince;
    if (now + *wait - program.waitsSince > maxWait) {
        this->cut += 1;
        return;
    }
    this->events.push(Event{now + std::max(*wait, step), program});
}

AllowanceCall AllowanceFleet::callOf(const Program &program, Time now) const
{
    const bool isLowered = now - start >= loweredAt && this->load.lowered < 1.0;
    const double allowed = this->load.allowed * (isLowered ? this->load.lowered : 1.0);
    return AllowanceCall{organisation, Allowance{allowed, allowed}, isLowered ? 2U : 1U, program.id};
}

std::optional<Duration> AllowanceFleet::waitFor(Instance &instance, const Program &program, Time now)
{
    const AllowanceCall call = this->callOf(program, now);
    if (this->sharing == AllowanceSharing::Unbounded) {
        return std::nullopt;
    }
    if (this->sharing == AllowanceSharing::EqualShares) {
        const double share = call.allowance.callsPerSecond / static_cast<double>(this->instances.size());
        const PermitDecision permit = instance.lone.decide(1, share, Duration::zero(), now);
        return permit.granted ? std::nullopt : std::optional(permit.retryAfter);
    }
    if (program.waitsSince == Time{}) {
        instance.reserves.onArrival(call, now);
    }
    const AllowanceReserves::Verdict verdict = instance.reserves.decide(call, now);
    if (verdict.step != AllowanceStep::Ask) {
        return verdict.step == AllowanceStep::LetThrough ? std::nullopt : std::optional(verdict.wait);
    }
    AllowanceDecision decision = this->ask(instance, verdict.request, now);
    if (this->sharing == AllowanceSharing::PermitEach) {
        decision.reserve = 0;
    }
    instance.reserves.onDecision(call, decision, now);
    return decision.granted ? std::nullopt : std::optional(std::min<Duration>(decision.retryAfter, std::chrono::milliseconds(100)));
}

AllowanceDecision AllowanceFleet::ask(Instance &instance, const AllowanceRequest &request, Time now)
{
    Instance *issuing = this->issuerFor(instance, now);
    const bool isOwn = issuing == &instance;
    if (!isOwn && now >= instance.silentUntil) {
        this->messages += 1;
        const bool isLost = issuing == nullptr || std::bernoulli_distribution(this->load.askLoss)(this->random);
        instance.silentUntil = isLost ? now + silence : instance.silentUntil;
    }
    if (isOwn || now >= instance.silentUntil) {
        this->updateMembers(*issuing, now);
        return issuing->issuer.decide(request, issuing->members.liveShare(now), now);
    }
    const double share = request.call.allowance.callsPerSecond / 2.0 / static_cast<double>(instance.members.knownCount(now));
    const PermitDecision permit = instance.lone.decide(1, share, Duration::zero(), now);
    return AllowanceDecision{permit.granted, permit.granted ? AllowanceBound::None : AllowanceBound::NoIssuer, 0, {}, permit.retryAfter};
}

AllowanceFleet::Instance *AllowanceFleet::issuerFor(Instance &instance, Time now)
{
    this->updateMembers(instance, now);
    const InstanceId id = instance.members.issuerOf(static_cast<std::uint32_t>(organisation), std::string()).id;
    for (const auto &other : this->instances) {
        if (other->record.id == id) {
            return other->isUp ? other.get() : nullptr;
        }
    }
    return nullptr;
}

void AllowanceFleet::updateMembers(Instance &instance, Time now)
{
    std::vector<InstanceRecord> live;
    std::size_t revision = 0;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        const Instance &other = *this->instances[index];
        const Duration delay = other.isUp ? arrivalNotice : instance.noticeDelay;
        const bool isNoticed = now - other.changedAt >= delay || (other.changedAt == start && other.isUp);
        const bool isSeen = isNoticed ? other.isUp : !other.isUp;
        if (isSeen && &other != &instance) {
            live.push_back(other.record);
            revision = revision * 31 + hashOf(other.record.id);
        }
    }
    if (revision != instance.knownRevision) {
        instance.knownRevision = revision;
        instance.members.update(live, now);
        instance.issuer.onMembersChanged(now);
    }
}

double AllowanceFleet::excess() const
{
    std::vector<Time> times = this->sent;
    std::sort(times.begin(), times.end());
    double worst = -1.0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        while (last < times.size() && times[last] - times[first] < tolerance.window) {
            ++last;
        }
        // A lower allowance binds one window after its configuration.
        const bool isLowered = times[first] - start >= loweredAt + tolerance.window;
        const double allowed = this->load.allowed * (isLowered ? this->load.lowered : 1.0);
        const double inWindow = allowed * (toSeconds(tolerance.window) + 1.0);
        const double permitted = inWindow * (1.0 + tolerance.share) + tolerance.calls;
        worst = std::max(worst, static_cast<double>(last - first) / permitted - 1.0);
    }
    return worst;
}

double AllowanceFleet::used() const
{
    return static_cast<double>(this->sent.size()) / this->asked;
}

double AllowanceFleet::messagesPerCall() const
{
    return static_cast<double>(this->messages) / static_cast<double>(std::max<std::size_t>(1, this->sent.size()));
}

double AllowanceFleet::cutPrograms() const
{
    return static_cast<double>(this->cut) / static_cast<double>(std::max<std::uint64_t>(1, this->programCount - this->refused));
}

double AllowanceFleet::refusedPrograms() const
{
    return static_cast<double>(this->refused) / static_cast<double>(std::max<std::uint64_t>(1, this->programCount));
}

} // namespace oleandergate::bench
