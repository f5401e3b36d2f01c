#include "decision/allowanceissuer.h"

#include <algorithm>
#include <cmath>

namespace oleandergate {

namespace {

//! Parts of the tolerance that a bucket adds to the burst. What is left covers the change from one issuer to another.
constexpr double capacityPartOfShare = 0.7;
constexpr double capacityPartOfCalls = 0.75;

//! Parts of the tolerance that an issuer may grant at once where another one may have issued before.
constexpr double takeoverPartOfShare = 0.15;
constexpr double takeoverPartOfCalls = 0.25;

//! A bucket that is filled to this part counts as ample.
constexpr double amplePart = 0.5;

//! Reserves may hold this part of what a bucket has beyond the calls that one program may make in parallel: what idle instances hold is missing elsewhere.
constexpr double reservedPart = 0.5;
constexpr double parallelCalls = 30.0;

//! How long instances may use their reserves.
constexpr Duration ampleLifetime = std::chrono::seconds(3);
constexpr Duration scarceLifetime = std::chrono::milliseconds(250);

//! Part of the calls expected in the lifetime of a reserve that it covers, so that most of it is used.
constexpr double reserveCoverage = 0.5;

//! An instance that has not asked for this long has no part in the demand.
constexpr Duration demandMemory = std::chrono::seconds(1);

//! Decay of the counts of calls and programs, of which the mean of calls in a program is taken.
constexpr Duration programMemory = std::chrono::seconds(20);

//! Mean number of calls of a program that is assumed at first, and how many programs have to begin to outweigh it.
constexpr double assumedCallsPerProgram = 10.0;
constexpr double assumedPrograms = 2.0;

//! Part of a bucket that programs which begin at once may need; the rest is for those under way. Two programs may begin at once in any case.
constexpr double programPart = 0.5;
constexpr double minProgramsAtOnce = 2.0;

//! While calls of programs under way are denied, the mean calls of a program count as more: this much for each, up to a bound, for some seconds.
constexpr double correctionStep = 0.01;
constexpr double maxCorrection = 1.5;
constexpr Duration correctionMemory = std::chrono::seconds(3);

//! A program begins in any case while a bucket is filled to this part and no call of a program under way was denied lately.
constexpr double idlePart = 0.6;

//! No program begins while more calls of programs under way than this were denied in the last second or so.
constexpr double maxDenied = 3.0;

//! The mean calls of a program are not learnt while more calls than this were denied in the last second or so.
constexpr double minDenied = 0.5;

//! A program that makes no call for this long has ended or comes back as a new one.
constexpr Duration programIdleTime = std::chrono::seconds(30);

//! State of organisations without a call is kept for this long.
constexpr Duration ledgerIdleTime = std::chrono::seconds(60);

//! Limits of the time after which a denied call is told to return.
constexpr Duration minRetryAfter = std::chrono::milliseconds(50);
constexpr Duration maxRetryAfter = std::chrono::seconds(2);

//! Lowest rate with which times are calculated, in calls a second.
constexpr double minRate = 0.01;

double decay(Duration elapsed, Duration memory)
{
    return std::exp(-toSeconds(elapsed) / toSeconds(memory));
}

Duration retryAfter(double calls, double callsPerSecond)
{
    return std::clamp<Duration>(fromSeconds(calls / std::max(callsPerSecond, minRate)), minRetryAfter, maxRetryAfter);
}

} // namespace

AllowanceIssuer::AllowanceIssuer(const AllowanceTolerance &tolerance, Time startedAt)
    : tolerance(tolerance)
    , uncertainSince(startedAt)
{
}

void AllowanceIssuer::onMembersChanged(Time now)
{
    this->uncertainSince = now;
}

void AllowanceIssuer::onPaused(Time now)
{
    this->uncertainSince = now;
    for (auto &[organisation, ledger] : this->ledgers) {
        ledger.level = std::min(ledger.level, this->takeoverLevel(ledger.allowance));
        ledger.refilledAt = now;
    }
}

double AllowanceIssuer::capacityOf(const Allowance &allowance) const
{
    const double inWindow = allowance.callsPerSecond * toSeconds(this->tolerance.window) + allowance.burst;
    const double tolerated = capacityPartOfShare * this->tolerance.share * inWindow + capacityPartOfCalls * this->tolerance.calls;
    return std::max(1.0, allowance.burst + tolerated);
}

double AllowanceIssuer::takeoverLevel(const Allowance &allowance) const
{
    const double inWindow = allowance.callsPerSecond * toSeconds(this->tolerance.window) + allowance.burst;
    return takeoverPartOfShare * this->tolerance.share * inWindow + takeoverPartOfCalls * this->tolerance.calls;
}

double AllowanceIssuer::reservesOf(const Ledger &ledger, Time now)
{
    double reserved = 0.0;
    for (const auto &[instance, holder] : ledger.holders) {
        reserved += now < holder.reserveUntil ? holder.reserve : 0.0;
    }
    return reserved;
}

double AllowanceIssuer::callsPerProgram(const Ledger &ledger)
{
    return ledger.correction * std::max(1.0, (ledger.calls + assumedCallsPerProgram * assumedPrograms) / (ledger.programs + assumedPrograms));
}

double AllowanceIssuer::programCapacityOf(const Ledger &ledger) const
{
    return std::max(programPart * this->capacityOf(ledger.allowance), minProgramsAtOnce * callsPerProgram(ledger));
}

void AllowanceIssuer::refill(Ledger &ledger, double share, Time now) const
{
    const Duration elapsed = std::max(Duration::zero(), now - ledger.refilledAt);
    const double capacity = this->capacityOf(ledger.allowance) * share - reservesOf(ledger, now);
    ledger.level = std::min(capacity, ledger.level + ledger.allowance.callsPerSecond * share * toSeconds(elapsed));
    ledger.refilledAt = now;
    const double programCapacity = this->programCapacityOf(ledger) * share;
    ledger.programLevel = std::min(programCapacity, ledger.programLevel + ledger.allowance.callsPerSecond * share * toSeconds(elapsed));
    ledger.denied *= decay(elapsed, demandMemory);
    ledger.deniedPrograms *= decay(elapsed, demandMemory);
    ledger.correction = 1.0 + (ledger.correction - 1.0) * decay(elapsed, correctionMemory);
    if (ledger.denied < minDenied) {
        ledger.calls *= decay(elapsed, programMemory);
        ledger.programs *= decay(elapsed, programMemory);
    }
}

AllowanceIssuer::Ledger &AllowanceIssuer::ledgerOf(const AllowanceRequest &request, double share, Time now)
{
    const auto [entry, isNew] = this->ledgers.try_emplace(request.call.organisation);
    Ledger &ledger = entry->second;
    if (isNew || request.call.configVersion > ledger.configVersion) {
        ledger.allowance = request.call.allowance;
        ledger.configVersion = request.call.configVersion;
    }
    if (isNew) {
        const bool isTakeover = now - this->uncertainSince < this->tolerance.window;
        const double capacity = this->capacityOf(ledger.allowance);
        ledger.level = isTakeover ? std::min(capacity, this->takeoverLevel(ledger.allowance)) : capacity;
        ledger.programLevel = this->programCapacityOf(ledger);
        ledger.refilledAt = now;
    }
    this->refill(ledger, share, now);
    return ledger;
}

AllowanceDecision AllowanceIssuer::decide(const AllowanceRequest &request, double share, Time now)
{
    Ledger &ledger = this->ledgerOf(request, share, now);
    Holder &holder = ledger.holders[request.instance];
    holder.reserve = std::min(holder.reserve, static_cast<double>(request.reserve));
    holder.callsPerSecond = request.callsPerSecond;
    holder.askedAt = now;
    const auto open = ledger.openPrograms.find(request.call.program);
    const bool begins = request.call.program != 0 && open == ledger.openPrograms.end();
    const std::optional<AllowanceDecision> denial = denialOf(ledger, begins, ledger.allowance.callsPerSecond * share);
    if (denial) {
        return *denial;
    }
    if (request.call.program != 0) {
        ledger.openPrograms[request.call.program] = now;
    }
    ledger.level -= 1.0;
    ledger.programLevel -= begins ? callsPerProgram(ledger) : 0.0;
    if (ledger.denied < minDenied) {
        // Programs that are ended for lack of allowance do not show how many calls they would have made.
        ledger.calls += 1.0 + request.used;
        ledger.programs += begins ? 1.0 : 0.0;
    }
    AllowanceDecision decision;
    decision.granted = true;
    this->addReserve(ledger, holder, decision, now);
    return decision;
}

std::optional<AllowanceDecision> AllowanceIssuer::denialOf(Ledger &ledger, bool begins, double callsPerSecond) const
{
    const bool isIdle = ledger.denied < minDenied && ledger.level >= idlePart * this->capacityOf(ledger.allowance);
    const bool isFull = ledger.denied >= maxDenied || ledger.programLevel < callsPerProgram(ledger);
    if (begins && isFull && !isIdle) {
        ledger.deniedPrograms += 1.0;
        const double missing = callsPerProgram(ledger) * ledger.deniedPrograms - ledger.programLevel;
        return AllowanceDecision{false, AllowanceBound::OpenPrograms, 0, {}, retryAfter(missing, callsPerSecond)};
    }
    if (ledger.level >= 1.0) {
        return std::nullopt;
    }
    (begins ? ledger.deniedPrograms : ledger.denied) += 1.0;
    ledger.correction = std::min(maxCorrection, ledger.correction + (begins ? 0.0 : correctionStep));
    return AllowanceDecision{false, AllowanceBound::Rate, 0, {}, retryAfter(ledger.denied - ledger.level, callsPerSecond)};
}

void AllowanceIssuer::addReserve(Ledger &ledger, Holder &holder, AllowanceDecision &decision, Time now) const
{
    const double capacity = this->capacityOf(ledger.allowance);
    const bool isAmple = ledger.level >= amplePart * capacity;
    decision.lifetime = isAmple ? ampleLifetime : scarceLifetime;
    double room = 0.0;
    if (isAmple) {
        room = std::min(reservedPart * std::max(0.0, capacity - parallelCalls) - reservesOf(ledger, now), ledger.level / 2.0);
    } else {
        double demand = 0.0;
        for (const auto &[instance, other] : ledger.holders) {
            demand += now - other.askedAt < demandMemory ? other.callsPerSecond : 0.0;
        }
        room = demand > 0.0 ? ledger.level * holder.callsPerSecond / demand : 0.0;
    }
    const double expected = holder.callsPerSecond * toSeconds(decision.lifetime) * reserveCoverage;
    const double wanted = (isAmple ? std::ceil(expected) : std::floor(expected)) - holder.reserve;
    const double added = std::floor(std::clamp(wanted, 0.0, std::max(0.0, room)));
    ledger.level -= added;
    holder.reserve += added;
    holder.reserveUntil = now + decision.lifetime;
    decision.reserve = static_cast<std::uint32_t>(added);
}

void AllowanceIssuer::expire(Time now)
{
    std::erase_if(this->ledgers, [now](const auto &entry) {
        return now - entry.second.refilledAt > ledgerIdleTime;
    });
    for (auto &[organisation, ledger] : this->ledgers) {
        std::erase_if(ledger.openPrograms, [now](const auto &entry) {
            return now - entry.second > programIdleTime;
        });
        std::erase_if(ledger.holders, [now](const auto &entry) {
            return now > entry.second.reserveUntil && now - entry.second.askedAt > demandMemory;
        });
    }
}

} // namespace oleandergate
