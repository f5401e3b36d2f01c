#include "fault/peaksimulation.h"

#include "decision/peaklimiter.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace oleandergate::fault {

namespace {

constexpr Duration maxClockSkew = std::chrono::milliseconds(250); // above the largest clock offset, 200 ms
constexpr Duration timeStep = std::chrono::milliseconds(50);
constexpr Duration runLength = std::chrono::minutes(6);
constexpr Duration renewalInterval = std::chrono::seconds(5);
constexpr std::size_t instanceCount = 8;
constexpr int maxClockOffset = 200000; // microseconds, forward or back
constexpr int stepsPerRestart = 2000; // an instance is replaced about once in so many time steps
constexpr int stepsPerDemandChange = 200; // the demand of an instance changes about once in so many time steps

// Of each ten writes of a grant, two are delayed, one is lost, two lose their answers and five are confirmed.
constexpr int lastOutcome = 9;
constexpr int lostOutcome = 2;
constexpr int lastUnansweredOutcome = 4;

struct SimulatedInstance
{
    InstanceId id{};
    PeakLimiter peakLimiter{maxClockSkew};
    PeakGrant grant{};
    Duration clockOffset{};
    Time renewAt{};
    double load = 1.0; //!< Demand in 1/200 of the cap per time step.
};

struct DelayedWrite
{
    Time at{}; //!< When it reaches the key-value service.
    std::uint64_t expectedRevision = 0; //!< The write takes effect only at this revision of the ledger.
    PeakLedger ledger{};
};

} // namespace

PeakResult simulatePeak(std::uint64_t seed, bool reduceBeforeWrite)
{
    std::mt19937_64 random(seed);
    const auto between = [&random](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const Tokens cap = between(5000, 50000);
    const Time start = Time(std::chrono::hours(1)) + Duration(between(0, 60000000));
    std::vector<SimulatedInstance> instances(instanceCount);
    std::uint64_t startedInstances = 0;
    const auto reset = [&](SimulatedInstance &instance, Time now) {
        instance.id = "gate-" + std::to_string(++startedInstances);
        instance.peakLimiter = PeakLimiter(maxClockSkew);
        instance.peakLimiter.setGrant(PeakGrant{});
        instance.grant = PeakGrant{};
        instance.clockOffset = Duration(between(-maxClockOffset, maxClockOffset));
        instance.renewAt = now + Duration(between(0, 1000000));
        instance.load = static_cast<double>(between(0, 30)) / 10.0;
    };
    for (SimulatedInstance &instance : instances) {
        reset(instance, start);
    }
    PeakLedger ledger;
    std::uint64_t revision = 1;
    std::vector<DelayedWrite> delayedWrites;
    std::map<Minute, Tokens> billed;
    PeakResult result;
    result.cap = cap;
    for (Time now = start; now < start + runLength; now += timeStep) {
        std::erase_if(delayedWrites, [&](const DelayedWrite &write) {
            if (write.at > now) {
                return false;
            }
            if (write.expectedRevision == revision) {
                ledger = write.ledger;
                revision += 1;
            }
            return true;
        });
        for (SimulatedInstance &instance : instances) {
            const Time localNow = now + instance.clockOffset;
            if (between(0, stepsPerRestart) == 0) {
                reset(instance, now);
            }
            if (between(0, stepsPerDemandChange) == 0) {
                instance.load = static_cast<double>(between(0, 40)) / 10.0;
            }
            const auto meanTokens = static_cast<Tokens>(instance.load * static_cast<double>(cap) / 200.0);
            const Tokens tokens = meanTokens == 0 ? 0 : between(1, 2 * meanTokens);
            if (tokens > 0 && instance.peakLimiter.tryCharge(tokens, localNow)) {
                billed[minuteOf(now)] += tokens;
                result.charged += tokens;
            }
            if (now < instance.renewAt) {
                continue;
            }
            instance.renewAt = now + renewalInterval;
            const auto recorded = ledger.grants.find(instance.id);
            if (recorded != ledger.grants.end()) {
                instance.grant = recorded->second;
            }
            const Minute minute = minuteOf(localNow);
            PeakRenewal input{instance.id,
                              instance.peakLimiter.demandAt(localNow),
                              instance.peakLimiter.maxRecentUse(localNow),
                              {},
                              cap,
                              instance.peakLimiter.earliestMinute(localNow),
                              minute};
            for (const SimulatedInstance &other : instances) {
                input.live.insert(other.id);
            }
            const PeakLedger next = ledger.renewed(input);
            const PeakGrant granted = next.grants.at(instance.id);
            if (reduceBeforeWrite) {
                instance.grant = instance.grant.restrictedBy(granted);
            }
            instance.peakLimiter.setGrant(instance.grant);
            const std::int64_t writeOutcome = between(0, lastOutcome);
            if (writeOutcome < lostOutcome) {
                delayedWrites.push_back(DelayedWrite{now + Duration(between(100000, 3000000)), revision, next});
                continue;
            }
            if (writeOutcome == lostOutcome) {
                continue;
            }
            ledger = next;
            revision += 1;
            if (writeOutcome > lastUnansweredOutcome) {
                instance.grant = granted;
                instance.peakLimiter.setGrant(granted);
            }
        }
    }
    for (const auto &[minute, tokens] : billed) {
        result.maxBilledPerMinute = std::max(result.maxBilledPerMinute, tokens);
    }
    return result;
}

} // namespace oleandergate::fault
