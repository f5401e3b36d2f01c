#include "decision/hash.h"
#include "decision/peerqueryplan.h"
#include "decision/peertable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <random>
#include <unordered_map>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration step = std::chrono::milliseconds(1);
constexpr Duration reportInterval = std::chrono::milliseconds(50);
constexpr Duration latency = std::chrono::milliseconds(2); //!< One way, between instances and to the service.
constexpr Duration target = std::chrono::milliseconds(500); //!< From the change until a sound instance has it.
constexpr Duration warmUp = std::chrono::milliseconds(300);
constexpr Duration simulated = std::chrono::seconds(6);

//! A way of following changes of the configuration.
struct FollowRules
{
    std::size_t watchers = 0; //!< Instances that watch the service; 0 for all.
    PeerQueryPlan::Limits queries{};
    Duration pollInterval{};
    Duration queryTimeout{}; //!< After which a query to a silent peer ends.
};

//! As in DirectorySync.
const FollowRules currentRules{0,
                               {std::chrono::milliseconds(20), std::chrono::milliseconds(80), 2, 6, std::chrono::milliseconds(200)},
                               std::chrono::milliseconds(20),
                               std::chrono::milliseconds(300)};

//! Three watchers, one query at a time and no second one before the first has timed out.
const FollowRules oneQueryRules{3, {Duration::zero(), Duration::zero(), 1, 1, std::nullopt}, std::chrono::milliseconds(10), std::chrono::seconds(3)};

//! Which instances fail, and how.
struct Trouble
{
    std::size_t silent = 0; //!< Instances that fall silent after they reported the change.
    bool watchersToo = false; //!< The silent ones are those that watch under oneQueryRules.
    std::size_t refused = 0; //!< Sound instances that the service refuses.
};

//! Instances with reports as in PeerGossip, before a service that changes its configuration from version 1 to 2.
class Spread
{
public:
    Spread(std::size_t size, const FollowRules &rules, const Trouble &trouble, std::uint64_t seed)
        : rules(rules)
        , random(seed)
    {
        std::vector<std::size_t> order(size);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), this->random);
        for (std::size_t index = 0; index < size; ++index) {
            this->instances.push_back(std::make_unique<Instance>(addressOf(index), domainOf(index), rules.queries, static_cast<int>(this->random() % 50)));
            this->indices[addressOf(index)] = index;
        }
        const std::size_t watchers = rules.watchers == 0 ? size : rules.watchers;
        for (std::size_t place = 0; place < size; ++place) {
            this->instances[order[place]]->watches = place < watchers;
            this->instances[order[place]]->silentLater = trouble.watchersToo ? place < trouble.silent : place >= 1 && place <= trouble.silent;
            this->instances[order[place]]->refused = place >= size - trouble.refused;
        }
    }

    //! Returns how long after the change the last sound instance had it; at most the simulated time.
    Duration run()
    {
        const Time changeAt = start + warmUp;
        for (Time now = start; now < changeAt + simulated; now += step) {
            this->deliver(now);
            for (std::size_t index = 0; index < this->instances.size(); ++index) {
                this->advance(index, changeAt, now);
            }
            const bool done = std::all_of(this->instances.begin(), this->instances.end(), [](const auto &instance) {
                return instance->silentLater || instance->version == 2;
            });
            if (done) {
                return now - changeAt;
            }
        }
        return simulated;
    }

private:
    struct Instance
    {
        Instance(const std::string &address, const std::string &domain, const PeerQueryPlan::Limits &limits, int phase)
            : table(address, domain, {})
            , plan(limits)
            , reportPhase(phase)
        {
        }

        PeerTable table;
        PeerQueryPlan plan;
        int reportPhase;
        std::uint64_t version = 1;
        std::uint64_t reportNumber = 0;
        bool watches = false;
        bool silentLater = false;
        bool refused = false;
        Time silentFrom = Time::max();
        std::optional<Time> readingEndsAt{};
    };

    struct Datagram
    {
        Time arrivesAt{};
        std::size_t receiver = 0;
        PeerReport report{};
    };

    struct Query
    {
        std::size_t asking = 0;
        std::size_t asked = 0;
        Time answerAt{};
        Time giveUpAt{};
    };

    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":90";
    }

    static std::string domainOf(std::size_t index)
    {
        return "domain" + std::to_string(index % 3);
    }

    std::size_t indexOf(const std::string &address) const
    {
        return this->indices.at(address);
    }

    bool silent(std::size_t index, Time now) const
    {
        return now >= this->instances[index]->silentFrom;
    }

    void deliver(Time now)
    {
        std::erase_if(this->datagrams, [&](const Datagram &datagram) {
            if (datagram.arrivesAt > now) {
                return false;
            }
            if (!this->silent(datagram.receiver, now)) {
                this->instances[datagram.receiver]->table.onReport(datagram.report, now);
            }
            return true;
        });
        std::erase_if(this->queries, [&](const Query &query) {
            Instance &asking = *this->instances[query.asking];
            const bool answered = now >= query.answerAt && !this->silent(query.asked, query.answerAt);
            if (answered) {
                asking.version = std::max(asking.version, this->instances[query.asked]->version);
            }
            if (answered || now >= query.giveUpAt) {
                asking.plan.onQueryEnded(addressOf(query.asked));
                return true;
            }
            return false;
        });
    }

    void advance(std::size_t index, Time changeAt, Time now)
    {
        Instance &instance = *this->instances[index];
        if (this->silent(index, now)) {
            return;
        }
        const bool heardFromService = !instance.refused && now >= changeAt + latency;
        if (instance.watches && heardFromService) {
            instance.version = 2;
        }
        if (instance.readingEndsAt && now >= *instance.readingEndsAt) {
            instance.version = heardFromService ? 2 : instance.version;
            instance.readingEndsAt.reset();
        }
        const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(now - start).count();
        if (sinceStart % std::chrono::duration_cast<std::chrono::milliseconds>(this->rules.pollInterval).count() == 0) {
            this->query(index, now);
        }
        if (sinceStart % std::chrono::duration_cast<std::chrono::milliseconds>(reportInterval).count() == instance.reportPhase) {
            this->report(index, now);
        }
    }

    void query(std::size_t index, Time now)
    {
        Instance &instance = *this->instances[index];
        const PeerQueryPlan::Step next = instance.plan.next(instance.table.offersOfConfiguration(instance.version), now);
        for (const std::string &address : next.queries) {
            this->queries.push_back(Query{index, this->indexOf(address), now + 2 * latency, now + this->rules.queryTimeout});
        }
        if (next.readService && !instance.refused) {
            instance.readingEndsAt = now + 2 * latency;
        }
    }

    void report(std::size_t index, Time now)
    {
        Instance &instance = *this->instances[index];
        PeerReport report;
        report.instance = InstanceRecord{"i" + std::to_string(index), addressOf(index), domainOf(index), false};
        report.number = ++instance.reportNumber;
        report.configVersion = instance.version;
        std::vector<std::string> targets = instance.table.nextTargets(true, now);
        if (instance.reportNumber == 1) {
            // All instances know each other before the change.
            for (std::size_t other = 0; other < this->instances.size(); ++other) {
                targets.push_back(addressOf(other));
            }
        }
        for (const std::string &target : targets) {
            this->datagrams.push_back(Datagram{now + latency, this->indexOf(target), report});
        }
        if (instance.silentLater && instance.version == 2) {
            instance.silentFrom = now + step;
        }
    }

    FollowRules rules;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Instance>> instances;
    std::unordered_map<std::string, std::size_t> indices;
    std::vector<Datagram> datagrams;
    std::vector<Query> queries;
};

Duration slowest(std::size_t size, const FollowRules &rules, const Trouble &trouble)
{
    constexpr std::uint64_t seeds = 4;
    Duration worst{};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        worst = std::max(worst, Spread(size, rules, trouble, seed).run());
    }
    return worst;
}

} // namespace

// Guards against changes that arrive late because the peer that announced them froze or was cut off before it answered.
TEST_CASE("A sound instance has each change within 0.5 s, whichever peers fall silent after they reported it")
{
    for (const std::size_t size : {8U, 58U}) {
        CAPTURE(size);
        for (const std::size_t silent : {std::size_t{0}, std::size_t{1}, std::size_t{2}, size / 3, size / 2}) {
            CAPTURE(silent);
            CHECK(slowest(size, currentRules, Trouble{silent, false, 0}) <= target);
            CHECK(slowest(size, currentRules, Trouble{silent, false, size / 3}) <= target);
            CHECK(slowest(size, currentRules, Trouble{silent, true, size / 3}) <= target);
        }
    }
    CHECK(Spread(420, currentRules, Trouble{140, false, 140}, 1).run() <= target);
}

// The rules that let a change arrive 3 s late fail the same simulation.
TEST_CASE("With one query at a time a silent peer delays a change past 0.5 s")
{
    CHECK(slowest(8, oneQueryRules, Trouble{0, false, 0}) <= target);
    for (const std::size_t size : {8U, 58U}) {
        CAPTURE(size);
        CHECK(slowest(size, oneQueryRules, Trouble{2, false, 0}) >= std::chrono::seconds(3));
        CHECK(slowest(size, oneQueryRules, Trouble{3, true, 0}) >= std::chrono::seconds(3));
    }
}
