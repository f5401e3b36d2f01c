//! Compares ways in which instances share the rate limit of one endpoint: how much more than the limit arrives, and how much of it is left unused.

#include "decision/permitissuer.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace oleandergate;

constexpr Time start{std::chrono::hours(1)};
constexpr Duration runTime = std::chrono::seconds(40);
constexpr Duration step = std::chrono::milliseconds(1);
constexpr Duration window = std::chrono::seconds(4); //!< Over which the excess is taken.
constexpr Duration roundTrip = std::chrono::milliseconds(4);
constexpr double limitPerSecond = 8.0;
constexpr std::uint32_t endpoint = 1;

struct Scenario
{
    const char *name = "";
    double demand = 2.0; //!< Of all instances together, as a multiple of the limit.
    double skew = 0.0; //!< Exponent of the instances' shares of the demand; 0 for equal shares.
    double reportLoss = 0.0;
    bool churn = false; //!< A quarter of the instances, the issuer among them, restarts every 10 s and is away for 1 s.
};

struct Instance
{
    double weight = 0.0; //!< Share of the demand.
    bool up = true;
    double tokens = 0.0;
    double demandPerSecond = 0.0; //!< Measured.
    Time startedAt = start;
    double total = 0.0; //!< Demand of all instances, as known at this one.
    Time totalDue{}; //!< When to sum it up again.
    std::vector<double> reported{}; //!< Demand of each instance, as last reported to this one.
    PermitIssuer issuer{start - std::chrono::hours(1)};
    PermitIssuer loneIssuer{Time{}}; //!< For calls whose issuer is away.
};

//! Returns an issuer whose first permit comes at a time that differs between instances.
PermitIssuer loneIssuerOf(std::size_t index)
{
    return PermitIssuer(Time{}, PermitIssuer::Pacing{0.0, static_cast<double>(index % 10 + 1) / 10.0});
}

//! How often a report of one instance reaches a given other one, as in PeerTable.
Duration reportPeriod(std::size_t size)
{
    const auto rounds = size <= 13 ? 1 : size / 3 + 1;
    return std::chrono::milliseconds(50) * static_cast<Duration::rep>(rounds);
}

class Simulation
{
public:
    Simulation(std::size_t size, const Scenario &scenario, std::uint64_t seed)
        : scenario(scenario)
        , random(seed)
    {
        double total = 0.0;
        for (std::size_t index = 0; index < size; ++index) {
            auto instance = std::make_unique<Instance>();
            instance->weight = std::pow(static_cast<double>(index + 1), -scenario.skew);
            instance->reported.assign(size, 0.0);
            instance->loneIssuer = loneIssuerOf(index);
            total += instance->weight;
            this->instances.push_back(std::move(instance));
        }
        for (const auto &instance : this->instances) {
            instance->weight /= total;
        }
    }
    virtual ~Simulation() = default;
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    //! Returns the largest number of calls in a window beyond the limit, as a share of it, and the unused share of the usable limit.
    std::pair<double, double> run()
    {
        for (Time now = start; now < start + runTime; now += step) {
            this->restart(now);
            for (std::size_t index = 0; index < this->instances.size(); ++index) {
                Instance &instance = *this->instances[index];
                if (!instance.up) {
                    continue;
                }
                const double perStep = limitPerSecond * this->scenario.demand * instance.weight * toSeconds(step);
                const bool arrives = std::uniform_real_distribution<double>()(this->random) < perStep;
                constexpr double smoothing = 0.0005; // Over two seconds.
                instance.demandPerSecond += smoothing * ((arrives ? 1.0 / toSeconds(step) : 0.0) - instance.demandPerSecond);
                this->advance(index, now);
                if (arrives && this->maySend(index, now)) {
                    this->sent.push_back(now);
                }
            }
        }
        const double allowed = limitPerSecond * toSeconds(window);
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < this->sent.size(); ++last) {
            while (this->sent[last] - this->sent[first] >= window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        const double usable = limitPerSecond * std::min(1.0, this->scenario.demand) * toSeconds(runTime);
        return {static_cast<double>(most) / allowed - 1.0, 1.0 - static_cast<double>(this->sent.size()) / usable};
    }

protected:
    virtual void advance(std::size_t /*index*/, Time /*now*/)
    {
    }
    virtual bool maySend(std::size_t index, Time now) = 0;

    std::size_t upCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->instances.begin(), this->instances.end(), [](const auto &instance) {
            return instance->up;
        }));
    }

    //! Returns the demand of all instances as far as \p index knows it, updated every 50 ms.
    double knownDemand(std::size_t index, Time now)
    {
        Instance &instance = *this->instances[index];
        if (now >= instance.totalDue) {
            instance.totalDue = now + std::chrono::milliseconds(50);
            instance.total = instance.demandPerSecond - instance.reported[index];
            for (const double demand : instance.reported) {
                instance.total += demand;
            }
        }
        return instance.total;
    }

    //! Spreads the demand that \p index reports. All reports of a period are sent at once.
    void reportDemand(std::size_t index, Time now)
    {
        const Duration period = reportPeriod(this->instances.size());
        if ((now - start).count() / step.count() % (period.count() / step.count()) != static_cast<Duration::rep>(index)) {
            return;
        }
        for (const auto &other : this->instances) {
            if (!std::bernoulli_distribution(this->scenario.reportLoss)(this->random)) {
                other->reported[index] = this->instances[index]->demandPerSecond;
            }
        }
    }

    Scenario scenario;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Time> sent;

private:
    void restart(Time now)
    {
        const auto second = (now - start) / std::chrono::seconds(1);
        const bool isWhole = (now - start) % std::chrono::seconds(1) == Duration::zero();
        if (!this->scenario.churn || !isWhole || second == 0) {
            return;
        }
        for (std::size_t index = 0; index < this->instances.size(); index += 4) {
            Instance &instance = *this->instances[index];
            if (second % 10 == 0) {
                instance.up = false;
            } else if (second % 10 == 1) {
                const double weight = instance.weight;
                instance = Instance{};
                instance.weight = weight;
                instance.startedAt = now;
                instance.issuer = PermitIssuer(now);
                instance.loneIssuer = loneIssuerOf(index);
                instance.reported.assign(this->instances.size(), 0.0);
            }
        }
    }
};

//! Each instance keeps a share of the limit by a token bucket of its own.
class TokenBuckets : public Simulation
{
protected:
    using Simulation::Simulation;

    bool maySend(std::size_t index, Time /*now*/) override
    {
        Instance &instance = *this->instances[index];
        if (instance.tokens < 1.0) {
            return false;
        }
        instance.tokens -= 1.0;
        return true;
    }
};

//! Each instance takes an equal share.
class EqualShares : public TokenBuckets
{
    using TokenBuckets::TokenBuckets;

    void advance(std::size_t index, Time /*now*/) override
    {
        Instance &instance = *this->instances[index];
        instance.tokens = std::min(1.0, instance.tokens + limitPerSecond * toSeconds(step) / static_cast<double>(this->upCount()));
    }
};

//! Each instance takes a share by the demand that all report.
class DemandShares : public TokenBuckets
{
    using TokenBuckets::TokenBuckets;

    void advance(std::size_t index, Time now) override
    {
        this->reportDemand(index, now);
        Instance &instance = *this->instances[index];
        const double total = this->knownDemand(index, now);
        const double share = total > 0.0 ? instance.demandPerSecond / total : 0.0;
        instance.tokens = std::min(1.0, instance.tokens + share * limitPerSecond * toSeconds(step));
    }
};

//! Each call is sent with the probability that makes the expected number the limit, by the demand that all report.
class RandomChoice : public Simulation
{
    using Simulation::Simulation;

    bool maySend(std::size_t index, Time now) override
    {
        const double total = this->knownDemand(index, now);
        return std::bernoulli_distribution(std::min(1.0, limitPerSecond / std::max(limitPerSecond, total)))(this->random);
    }

    void advance(std::size_t index, Time now) override
    {
        this->reportDemand(index, now);
    }
};

//! One instance issues permits for single calls. The others notice that it is away after \ref detection.
class IssuedPermits : public Simulation
{
    using Simulation::Simulation;

    bool maySend(std::size_t index, Time now) override
    {
        const std::size_t issuer = this->issuerSeenBy(index, now);
        Instance &instance = *this->instances[index];
        if (this->instances[issuer]->up) {
            return this->instances[issuer]->issuer.decide(endpoint, limitPerSecond, now - start, now + roundTrip / 2).granted;
        }
        const double cautious = limitPerSecond / 2.0 / static_cast<double>(this->instances.size());
        return instance.loneIssuer.decide(endpoint, cautious, Duration::zero(), now).granted;
    }

    //! Instance 0 is the issuer and instance 1 its successor; each instance notices a change at a time of its own.
    std::size_t issuerSeenBy(std::size_t index, Time now)
    {
        constexpr Duration detection = std::chrono::milliseconds(1800);
        const Duration lag = detection * static_cast<Duration::rep>(index % 10 + 1) / 10;
        const Instance &first = *this->instances[0];
        if (!first.up) {
            const auto second = (now - start) / std::chrono::seconds(1) / 10 * 10;
            return now - start - std::chrono::seconds(second) > lag ? 1 : 0;
        }
        return first.startedAt != start && now - first.startedAt < lag ? 1 : 0;
    }
};

template <typename Way>
void compare(const char *name, const Scenario &scenario)
{
    std::printf("%-16s %-26s", name, scenario.name);
    for (const std::size_t size : {8U, 58U, 420U}) {
        constexpr std::uint64_t seeds = 2;
        double excess = 0.0;
        double unused = 0.0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto [seedExcess, seedUnused] = Way(size, scenario, seed).run();
            excess = std::max(excess, seedExcess);
            unused = std::max(unused, seedUnused);
        }
        std::printf("  %5zu: %+6.2f %6.2f", size, excess, unused);
    }
    std::printf("\n");
}

} // namespace

int main()
{
    std::printf("Most calls in 4 s beyond the limit, and the unused part of what demand allows, both as shares; worst of two seeds.\n");
    const Scenario scenarios[] = {{"twice the limit", 2.0, 0.0, 0.0, false},
                                  {"twice, skewed", 2.0, 1.0, 0.0, false},
                                  {"at the limit, skewed", 1.0, 1.0, 0.0, false},
                                  {"four times, reports lost", 4.0, 1.0, 0.3, false},
                                  {"twice, restarts", 2.0, 1.0, 0.0, true}};
    for (const Scenario &scenario : scenarios) {
        compare<EqualShares>("equal shares", scenario);
        compare<DemandShares>("by demand", scenario);
        compare<RandomChoice>("random choice", scenario);
        compare<IssuedPermits>("issued permits", scenario);
    }
    return 0;
}
