#include "fault/peaksimulation.h"

#include "decision/peaklimiter.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace oleandergate::fault {

namespace {

constexpr Duration skew = std::chrono::milliseconds(250);
constexpr Duration stepLength = std::chrono::milliseconds(50);
constexpr Duration runLength = std::chrono::minutes(6);
constexpr Duration renewal = std::chrono::seconds(5);
constexpr std::size_t instanceCount = 8;

struct Sharer
{
    InstanceId id{};
    PeakLimiter peak{skew};
    PeakGrant grant{};
    Duration clock{};
    Time renewAt{};
    double load = 1.0;
};

struct PendingWrite
{
    Time at{};
    std::uint64_t revision = 0;
    PeakLedger ledger{};
};

} // namespace

PeakResult simulatePeak(std::uint64_t seed, bool restricted)
{
    std::mt19937_64 random(seed);
    const auto between = [&random](std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const Tokens cap = between(5000, 50000);
    const Time start = Time(std::chrono::hours(1)) + Duration(between(0, 60000000));
    std::vector<Sharer> sharers(instanceCount);
    std::uint64_t born = 0;
    const auto reset = [&](Sharer &sharer, Time now) {
        sharer.id = "gate-" + std::to_string(++born);
        sharer.peak = PeakLimiter(skew);
        sharer.peak.setGrant(PeakGrant{});
        sharer.grant = PeakGrant{};
        sharer.clock = Duration(between(-200000, 200000));
        sharer.renewAt = now + Duration(between(0, 1000000));
        sharer.load = static_cast<double>(between(0, 30)) / 10.0;
    };
    for (Sharer &sharer : sharers) {
        reset(sharer, start);
    }
    PeakLedger ledger;
    std::uint64_t revision = 1;
    std::vector<PendingWrite> late;
    std::map<Minute, Tokens> billed;
    PeakResult result;
    result.cap = cap;
    for (Time now = start; now < start + runLength; now += stepLength) {
        std::erase_if(late, [&](const PendingWrite &write) {
            if (write.at > now) {
                return false;
            }
            if (write.revision == revision) {
                ledger = write.ledger;
                revision += 1;
            }
            return true;
        });
        for (Sharer &sharer : sharers) {
            const Time local = now + sharer.clock;
            if (between(0, 2000) == 0) {
                reset(sharer, now);
            }
            if (between(0, 200) == 0) {
                sharer.load = static_cast<double>(between(0, 40)) / 10.0;
            }
            const auto wanted = static_cast<Tokens>(sharer.load * static_cast<double>(cap) / 200.0);
            const Tokens tokens = wanted == 0 ? 0 : between(1, 2 * wanted);
            if (tokens > 0 && sharer.peak.tryCharge(tokens, local)) {
                billed[minuteOf(now)] += tokens;
                result.charged += tokens;
            }
            if (now < sharer.renewAt) {
                continue;
            }
            sharer.renewAt = now + renewal;
            const auto held = ledger.grants.find(sharer.id);
            if (held != ledger.grants.end()) {
                sharer.grant = held->second;
            }
            const Minute minute = minuteOf(local);
            PeakRenewal input{sharer.id, sharer.peak.demandAt(local), sharer.peak.maxRecentUse(local), {}, cap, sharer.peak.earliestMinute(local), minute};
            for (const Sharer &other : sharers) {
                input.live.insert(other.id);
            }
            const PeakLedger next = ledger.renewed(input);
            const PeakGrant granted = next.grants.at(sharer.id);
            if (restricted) {
                sharer.grant = sharer.grant.restrictedBy(granted);
            }
            sharer.peak.setGrant(sharer.grant);
            const std::int64_t fate = between(0, 9);
            if (fate < 2) {
                late.push_back(PendingWrite{now + Duration(between(100000, 3000000)), revision, next});
                continue;
            }
            if (fate == 2) {
                continue;
            }
            ledger = next;
            revision += 1;
            if (fate > 4) {
                sharer.grant = granted;
                sharer.peak.setGrant(granted);
            }
        }
    }
    for (const auto &[minute, tokens] : billed) {
        result.highestMinute = std::max(result.highestMinute, tokens);
    }
    return result;
}

} // namespace oleandergate::fault
