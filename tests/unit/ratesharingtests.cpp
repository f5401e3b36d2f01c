#include "decision/permitissuer.h"
#include "decision/permitmembers.h"
#include "decision/ratelimittable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <random>
#include <set>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration step = std::chrono::milliseconds(2);
constexpr Duration runTime = std::chrono::seconds(24);
constexpr Duration window = std::chrono::seconds(4); //!< Over which an endpoint's limit is kept.
constexpr Duration settled = std::chrono::seconds(3); //!< From the first answer that names a limit until it is kept.
constexpr Duration reportTime = std::chrono::milliseconds(400); //!< Until reports of a limit have reached all instances.
constexpr Duration detection = std::chrono::milliseconds(1800); //!< Until an instance that ended is missed, as in PeerTable.
constexpr double limitPerSecond = 8.0;
constexpr std::uint32_t endpoint = 7;
constexpr double allowedBurst = 5.0;

struct Load
{
    double demand = 2.0; //!< Of all instances together, as a multiple of the limit.
    bool skewed = false; //!< One instance has half of the demand.
    bool issuerRestarts = false; //!< The issuer's process ends every 6 s and is replaced after 1 s.
    bool quarterEnds = false; //!< A quarter of the instances ends at 8 s.
    bool shared = true; //!< Instances ask for permits; else each sends all that it gets.
};

//! Instances that send calls to one endpoint, which names a limit in its answers.
class Fleet
{
public:
    Fleet(std::size_t size, const Load &load, std::uint64_t seed)
        : load(load)
        , random(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            this->instances.push_back(std::make_unique<Instance>(recordOf(index, 0), index, Time{}));
        }
    }

    void run()
    {
        const double perSecond = limitPerSecond * this->load.demand;
        for (Time now = start; now < start + runTime; now += step) {
            this->changeMembers(now);
            if (!std::bernoulli_distribution(perSecond * toSeconds(step))(this->random)) {
                continue;
            }
            const bool first = this->load.skewed && this->random() % 2 == 0;
            Instance &instance = *this->instances[first ? 1 : this->random() % this->instances.size()];
            if (instance.up && (!this->load.shared || this->permits(instance, now))) {
                this->sent.push_back(now);
                this->firstAnswerAt = this->firstAnswerAt.value_or(now);
                // The answer names the limit.
                instance.table.onStatement(RateLimitStatement{endpoint, limitPerSecond, now}, now);
            }
        }
    }

    //! Returns the most calls in a window after the limit has settled.
    double mostInWindow() const
    {
        double most = 0.0;
        for (auto first = std::lower_bound(this->sent.begin(), this->sent.end(), start + settled); first != this->sent.end(); ++first) {
            most = std::max(most, static_cast<double>(std::lower_bound(first, this->sent.end(), *first + window) - first));
        }
        return most;
    }

    //! Returns the part of the limit that is used.
    double used() const
    {
        return static_cast<double>(this->sent.size()) / (limitPerSecond * toSeconds(runTime));
    }

private:
    struct Instance
    {
        Instance(InstanceRecord given, std::size_t index, Time startedAt)
            : record(std::move(given))
            , members(record)
            , issuer(startedAt)
            , lone(Time{}, PermitIssuer::Pacing{0.0, static_cast<double>(index % 10 + 1) / 10.0})
            , noticeDelay(detection * static_cast<Duration::rep>(index % 10 + 1) / 10)
        {
        }

        InstanceRecord record;
        PermitMembers members;
        RateLimitTable table{};
        PermitIssuer issuer;
        PermitIssuer lone;
        Duration noticeDelay;
        bool up = true;
        Time changedAt = start; //!< When it last ended or began.
    };

    static InstanceRecord recordOf(std::size_t index, int generation)
    {
        return InstanceRecord{"i" + std::to_string(index) + "~" + std::to_string(generation), "10.0.0." + std::to_string(index) + ":90", "a", false};
    }

    bool permits(Instance &instance, Time now)
    {
        if (this->firstAnswerAt && now - std::max(*this->firstAnswerAt, instance.changedAt) > reportTime) {
            instance.table.onStatement(RateLimitStatement{endpoint, limitPerSecond, *this->firstAnswerAt}, now);
        }
        const std::optional<RateLimit> limit = instance.table.limitOf(endpoint);
        if (!limit) {
            return true;
        }
        this->updateMembers(instance, now);
        const InstanceRecord &issuing = instance.members.issuerOf(endpoint, "a");
        for (const auto &other : this->instances) {
            if (other->record.id == issuing.id && other->up) {
                this->updateMembers(*other, now);
                return other->issuer.decide(endpoint, limit->callsPerSecond * other->members.liveShare(now), now - limit->since, now).granted;
            }
        }
        const double share = limit->callsPerSecond / 2.0 / static_cast<double>(instance.members.knownCount(now));
        return instance.lone.decide(endpoint, share, Duration::zero(), now).granted;
    }

    //! Sets the members that an instance sees. It notices each change after a time of its own.
    void updateMembers(Instance &instance, Time now)
    {
        std::vector<InstanceRecord> live;
        for (const auto &other : this->instances) {
            const bool noticed = now - other->changedAt >= instance.noticeDelay || other->changedAt == start;
            const bool seen = noticed ? other->up : !other->up;
            if (seen && other.get() != &instance) {
                live.push_back(other->record);
            }
        }
        instance.members.update(live, now);
    }

    void changeMembers(Time now)
    {
        const Duration since = now - start;
        if (this->load.quarterEnds && since == std::chrono::seconds(8)) {
            for (std::size_t index = 0; index < this->instances.size() / 4; ++index) {
                this->instances[index]->up = false;
                this->instances[index]->changedAt = now;
            }
        }
        if (!this->load.issuerRestarts) {
            return;
        }
        if (since % std::chrono::seconds(6) == std::chrono::seconds(5)) {
            this->updateMembers(*this->instances[0], now);
            const InstanceId issuing = this->instances[0]->members.issuerOf(endpoint, "a").id;
            for (std::size_t index = 0; index < this->instances.size(); ++index) {
                if (this->instances[index]->record.id == issuing) {
                    this->restarting = index;
                }
            }
            this->instances[this->restarting]->up = false;
            this->instances[this->restarting]->changedAt = now;
        } else if (since % std::chrono::seconds(6) == Duration::zero() && since > std::chrono::seconds(1)) {
            this->generation += 1;
            this->instances[this->restarting] = std::make_unique<Instance>(recordOf(this->restarting, this->generation), this->restarting, now);
            this->instances[this->restarting]->changedAt = now;
        }
    }

    Load load;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Time> sent;
    std::optional<Time> firstAnswerAt{};
    std::size_t restarting = 0;
    int generation = 0;
};

void checkFleets(const Load &load, double minUsed)
{
    for (const std::size_t size : {8U, 58U, 420U}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(size);
            CAPTURE(seed);
            Fleet fleet(size, load, seed);
            fleet.run();
            CHECK(fleet.mostInWindow() <= limitPerSecond * toSeconds(window) + allowedBurst);
            CHECK(fleet.used() >= minUsed);
        }
    }
}

} // namespace

// Guards against an endpoint in need that gets several times the rate that it names, as each instance sends what it gets.
TEST_CASE("All instances together keep the limit that an endpoint names, and use nearly all of it")
{
    checkFleets(Load{2.0}, 0.95);
    checkFleets(Load{4.0, true}, 0.95);
}

// Guards against two issuers at a time, or none, while instances notice at different moments that one has ended or begun.
TEST_CASE("The limit is kept while issuers restart and while a quarter of the instances ends")
{
    checkFleets(Load{4.0, false, true}, 0.5);
    checkFleets(Load{4.0, true, false, true}, 0.5);
}

TEST_CASE("Without permits an endpoint gets all of the demand")
{
    Load load{4.0};
    load.shared = false;
    Fleet fleet(8, load, 1);
    fleet.run();
    CHECK(fleet.mostInWindow() > 3.0 * limitPerSecond * toSeconds(window));
}

TEST_CASE("An issuer spaces permits evenly, with a few at once after a pause")
{
    PermitIssuer issuer(Time{});
    const auto decide = [&issuer](int milliseconds) {
        return issuer.decide(endpoint, 10.0, Duration::zero(), start + std::chrono::milliseconds(milliseconds));
    };
    CHECK(decide(0).granted);
    const PermitDecision denied = decide(10);
    CHECK_FALSE(denied.granted);
    CHECK(denied.retryAfter == std::chrono::milliseconds(90));
    CHECK(decide(20).retryAfter == std::chrono::milliseconds(180));
    CHECK(decide(100).granted);
    for (int call = 0; call < 3; ++call) {
        CHECK(decide(5000).granted);
    }
    CHECK_FALSE(decide(5000).granted);
}

TEST_CASE("A rate out of range or no number neither overflows nor lets calls through without bound")
{
    for (const double rate : {0.0, -1.0, 1e-300, std::numeric_limits<double>::quiet_NaN()}) {
        CAPTURE(rate);
        PermitIssuer issuer(Time{});
        CHECK(issuer.decide(endpoint, rate, Duration::zero(), start).granted);
        CHECK(issuer.decide(endpoint, rate, Duration::zero(), start + std::chrono::seconds(900)).retryAfter <= std::chrono::seconds(100));
        CHECK_FALSE(issuer.decide(endpoint, rate, Duration::zero(), start + std::chrono::seconds(900)).granted);
    }
    PermitIssuer issuer(Time{});
    CHECK(issuer.decide(endpoint, std::numeric_limits<double>::infinity(), Duration::zero(), start).granted);
}

// Guards against twice the limit while some instances ask the former issuer and some the new one.
TEST_CASE("An issuer issues no permits of a limit that another one may still issue")
{
    const Time now = start + std::chrono::seconds(1);
    PermitIssuer longRunning(Time{});
    const PermitDecision waits = longRunning.decide(endpoint, 10.0, std::chrono::seconds(30), now);
    CHECK_FALSE(waits.granted);
    CHECK(waits.retryAfter == PermitIssuer::takeoverTime);
    CHECK(longRunning.decide(endpoint, 10.0, std::chrono::seconds(30), now + PermitIssuer::takeoverTime).granted);
    CHECK(longRunning.decide(endpoint + 1, 10.0, std::chrono::milliseconds(100), now).granted);
    // A process that has just started learns old limits late.
    PermitIssuer justStarted(start);
    CHECK_FALSE(justStarted.decide(endpoint, 10.0, std::chrono::milliseconds(100), now).granted);
    CHECK(justStarted.decide(endpoint, 10.0, std::chrono::milliseconds(100), now + PermitIssuer::takeoverTime).granted);
}

TEST_CASE("All instances choose the same issuer, in the endpoint's failure domain if it has instances that stay")
{
    std::vector<InstanceRecord> records;
    records.reserve(9);
    for (int index = 0; index < 9; ++index) {
        records.push_back(InstanceRecord{"i" + std::to_string(index), "10.0.0." + std::to_string(index) + ":90", index < 3 ? "a" : "b", false});
    }
    records[0].leaving = true;
    std::set<InstanceId> issuers;
    std::set<InstanceId> chosen;
    for (const InstanceRecord &self : records) {
        PermitMembers members(self);
        std::vector<InstanceRecord> others = records;
        std::erase_if(others, [&self](const InstanceRecord &other) {
            return other.id == self.id;
        });
        members.update(others, start);
        if (!self.leaving) {
            chosen.insert(members.issuerOf(endpoint, "a").id);
        }
        for (std::uint32_t other = 0; other < 100; ++other) {
            issuers.insert(members.issuerOf(other, "a").id);
        }
        CHECK(members.issuerOf(endpoint, "c").leaving == false);
    }
    CHECK(chosen.size() == 1);
    CHECK(issuers == std::set<InstanceId>{"i1", "i2"});
}

TEST_CASE("An issuer that lost contact to half of the instances issues half of the limit for some seconds")
{
    PermitMembers members(InstanceRecord{"self", "10.0.0.9:90", "a", false});
    const std::vector<InstanceRecord> others{{"i1", "10.0.0.1:90", "a", false}, {"i2", "10.0.0.2:90", "a", false}, {"i3", "10.0.0.3:90", "a", false}};
    members.update(others, start);
    CHECK(members.liveShare(start) == 1.0);
    members.update({others[0]}, start + std::chrono::seconds(1));
    CHECK(members.liveShare(start + std::chrono::seconds(1)) == 0.5);
    members.update({others[0]}, start + std::chrono::seconds(12));
    CHECK(members.liveShare(start + std::chrono::seconds(12)) == 1.0);
    // An instance that restarts has a new identifier at its address.
    members.update({others[0], {"i1~2", "10.0.0.1:90", "a", false}}, start + std::chrono::seconds(13));
    CHECK(members.knownCount(start + std::chrono::seconds(13)) == 3);
}

// Guards against a whole limit issued by an instance that was cut off: members are passed on only when they change.
TEST_CASE("Instances that are lost long after the members last changed still count for some seconds")
{
    PermitMembers members(InstanceRecord{"self", "10.0.0.9:90", "a", false});
    members.update({{"i1", "10.0.0.1:90", "a", false}}, start);
    const Time lost = start + std::chrono::minutes(5);
    members.update({}, lost);
    CHECK(members.liveShare(lost + std::chrono::seconds(9)) == 0.5);
    CHECK(members.liveShare(lost + std::chrono::seconds(11)) == 1.0);
}
