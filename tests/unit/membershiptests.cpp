//! Views of the other instances, without network: every instance has a table, reports arrive within an interval.

#include "decision/peertable.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration interval = std::chrono::milliseconds(50);
constexpr std::size_t seedCount = 3;
constexpr std::size_t domainCount = 5;
constexpr std::size_t advertisedPeers = 3;
constexpr std::uint64_t roundsPerAges = 4;

//! Identifiers as long as real ones, as the size of a datagram bounds what it tells.
const std::string idPrefix = "front-instance-";
constexpr std::uint64_t firstStart = 1764938000000000;
constexpr std::size_t changeReports = 2;

//! Time after a start of all at once within which every instance has to know all others.
constexpr Duration maxStartTime = std::chrono::seconds(3);

//! Instances that run and exchange reports as gateways do.
class Membership
{
public:
    explicit Membership(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->instances.emplace_back();
            this->restart(index);
        }
    }

    //! Runs for \p length. Returns how often a running instance was taken for lost by one that can hear it.
    std::size_t run(Duration length)
    {
        std::size_t lost = 0;
        const Time until = this->now + length;
        while (this->now < until) {
            this->now += interval;
            this->number += 1;
            for (std::size_t index = 0; index < this->instances.size(); ++index) {
                if (this->runs(index)) {
                    lost += this->step(index);
                }
            }
        }
        return lost;
    }

    //! Returns how many running instances do not know exactly the other running ones among those that \p isIncluded names.
    std::size_t incompleteViews(const std::function<bool(std::size_t)> &isIncluded) const
    {
        std::set<InstanceId> expected;
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            if (this->runs(index) && isIncluded(index)) {
                expected.insert(this->recordOf(index).id);
            }
        }
        std::size_t incomplete = 0;
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            if (!this->runs(index) || !isIncluded(index) || this->instances[index].isOld) {
                continue;
            }
            std::set<InstanceId> known{this->recordOf(index).id};
            for (const InstanceRecord &record : this->instances[index].table->liveInstances()) {
                known.insert(record.id);
            }
            incomplete += known != expected ? 1 : 0;
        }
        return incomplete;
    }

    std::size_t incompleteViews() const
    {
        return this->incompleteViews([](std::size_t) {
            return true;
        });
    }

    //! Returns how many running instances do not know that instance \p index is leaving.
    std::size_t unawareOfLeaving(std::size_t index) const
    {
        std::size_t unaware = 0;
        for (std::size_t other = 0; other < this->instances.size(); ++other) {
            if (other == index || !this->runs(other)) {
                continue;
            }
            bool isAware = false;
            for (const InstanceRecord &record : this->instances[other].table->liveInstances()) {
                isAware = isAware || (record.id == this->recordOf(index).id && record.leaving);
            }
            unaware += isAware ? 0 : 1;
        }
        return unaware;
    }

    std::size_t count() const
    {
        return this->instances.size();
    }

    static bool isInCutDomain(std::size_t index)
    {
        return index % domainCount == 0;
    }

    void setCut(bool isCut)
    {
        this->isCut = isCut;
    }

    //! Lets instance \p index run the build before, which neither sends nor takes news of others.
    void makeOld(std::size_t index)
    {
        this->instances[index].isOld = true;
    }

    void setLeaving(std::size_t index)
    {
        this->instances[index].isLeaving = true;
    }

    void stop(std::size_t index)
    {
        this->instances[index].isUp = false;
    }

    //! Starts another process of instance \p index, which knows the seeds only.
    void restart(std::size_t index)
    {
        std::vector<std::string> seeds;
        for (std::size_t seed = 0; seed < seedCount; ++seed) {
            seeds.push_back(addressOf(seed));
        }
        Instance &instance = this->instances[index];
        instance.isUp = true;
        instance.isLeaving = false;
        instance.startedAt += 1;
        instance.table = std::make_unique<PeerTable>(addressOf(index), domainOf(index), seeds);
    }

    void setFrozen(std::size_t index, bool isFrozen)
    {
        this->instances[index].isFrozen = isFrozen;
        if (!isFrozen) {
            this->instances[index].table->resetTimeouts(this->now);
        }
    }

private:
    struct Instance
    {
        std::unique_ptr<PeerTable> table{};
        std::uint64_t startedAt = 0;
        bool isUp = true;
        bool isFrozen = false;
        bool isLeaving = false;
        bool isOld = false;
    };

    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":90";
    }

    static std::string domainOf(std::size_t index)
    {
        return "d" + std::to_string(index % domainCount);
    }

    InstanceRecord recordOf(std::size_t index) const
    {
        const Instance &instance = this->instances[index];
        return InstanceRecord{
            idPrefix + std::to_string(index) + "~" + std::to_string(firstStart + instance.startedAt), addressOf(index), domainOf(index), instance.isLeaving};
    }

    bool runs(std::size_t index) const
    {
        return this->instances[index].isUp && !this->instances[index].isFrozen;
    }

    bool isHeard(std::size_t sender, std::size_t receiver) const
    {
        return this->runs(receiver) && (!this->isCut || isInCutDomain(sender) == isInCutDomain(receiver));
    }

    std::size_t step(std::size_t index)
    {
        PeerTable &table = *this->instances[index].table;
        std::size_t lost = 0;
        for (const InstanceId &id : table.expire(this->now)) {
            const std::size_t other = std::stoul(id.substr(idPrefix.size()));
            lost += this->runs(other) && this->recordOf(other).id == id && this->isHeard(other, index) ? 1 : 0;
        }
        table.updateReportPeriod(interval);
        const std::vector<std::string> advertised = table.sampleAddresses(advertisedPeers);
        this->sendNews(index);
        PeerReport report;
        report.instance = this->recordOf(index);
        report.number = this->number;
        // Loads change all the time in a busy installation.
        for (const std::string &target : table.nextTargets(true, this->now)) {
            const std::size_t receiver = indexOf(target);
            if (!this->isHeard(index, receiver)) {
                continue;
            }
            this->instances[receiver].table->onReport(report, this->now);
            for (const std::string &address : advertised) {
                this->instances[receiver].table->addCandidate(address, this->now);
            }
        }
        return lost;
    }

    void sendNews(std::size_t index)
    {
        if (this->instances[index].isOld) {
            return;
        }
        PeerTable &table = *this->instances[index].table;
        for (std::size_t sent = 0; sent < changeReports && table.hasNews(); ++sent) {
            const MemberNews changes = table.nextChanges(this->now);
            this->deliver(index, changes, table.changeTargets());
        }
        if (this->number % roundsPerAges == 0) {
            const MemberNews ages = table.nextAges(this->now);
            this->deliver(index, ages, ages.ages.empty() ? std::vector<std::string>() : table.ageTargets());
            this->deliver(index, table.nextWelcome(this->now), table.newcomers(this->now));
        }
    }

    void deliver(std::size_t sender, const MemberNews &news, const std::vector<std::string> &targets)
    {
        for (const std::string &target : targets) {
            const std::size_t receiver = indexOf(target);
            if (this->isHeard(sender, receiver) && !this->instances[receiver].isOld) {
                this->instances[receiver].table->onNews(news, this->now);
            }
        }
    }

    static std::size_t indexOf(const std::string &address)
    {
        constexpr std::size_t prefixLength = std::string_view("10.0.0.").size();
        return std::stoul(address.substr(prefixLength));
    }

    Time now = start;
    std::uint64_t number = 0;
    std::vector<Instance> instances;
    bool isCut = false;
};

constexpr std::size_t largeCount = 259;

} // namespace

TEST_CASE("Views: few instances know each other soon after a start of all at once, and none is taken for lost")
{
    Membership membership(8);
    CHECK(membership.run(maxStartTime) == 0);
    CHECK(membership.incompleteViews() == 0);
    CHECK(membership.run(std::chrono::seconds(10)) == 0);
}

// Guards against budgets without an owner: who owns a slot is known from reports of its owner alone.
TEST_CASE("Membership: hundreds of instances know each other within three seconds of a start of all at once, and none is taken for lost")
{
    for (const std::size_t count : {std::size_t{60}, std::size_t{259}, std::size_t{1000}}) {
        CAPTURE(count);
        Membership membership(count);
        CHECK(membership.run(maxStartTime) == 0);
        CHECK(membership.incompleteViews() == 0);
        CHECK(membership.run(std::chrono::seconds(10)) == 0);
        CHECK(membership.incompleteViews() == 0);
    }
}

// Guards against instances of which a part never learns after they have restarted, or that count as present after they have left.
TEST_CASE("Membership: while instances restart one after the other, all know who is leaving, and at the end all know the new processes")
{
    constexpr std::size_t restarts = 25;
    Membership membership(largeCount);
    membership.run(maxStartTime);
    for (std::size_t index = 0; index < restarts; ++index) {
        CAPTURE(index);
        membership.setLeaving(index);
        CHECK(membership.run(std::chrono::milliseconds(500)) == 0);
        CHECK(membership.unawareOfLeaving(index) == 0);
        membership.stop(index);
        CHECK(membership.run(std::chrono::milliseconds(100)) == 0);
        membership.restart(index);
    }
    CHECK(membership.run(maxStartTime) == 0);
    CHECK(membership.incompleteViews() == 0);
}

// Guards against sides of a cut that count each other as present for ever, by telling each other old news, or do not find together again.
TEST_CASE("Membership: the sides of a cut know those of their own side only, and all others soon after it heals")
{
    Membership membership(largeCount);
    membership.run(maxStartTime);
    membership.setCut(true);
    CHECK(membership.run(std::chrono::seconds(20)) == 0);
    CHECK(membership.incompleteViews(Membership::isInCutDomain) == 0);
    CHECK(membership.incompleteViews([](std::size_t index) {
        return !Membership::isInCutDomain(index);
    }) == 0);
    membership.setCut(false);
    CHECK(membership.run(maxStartTime) == 0);
    CHECK(membership.incompleteViews() == 0);
    CHECK(membership.run(std::chrono::seconds(5)) == 0);
}

// Guards against running instances that are taken for lost because many others are silent.
TEST_CASE("Membership: a third of the instances that stand still for seconds does not make running ones seem lost, and all are known soon after")
{
    for (const Duration length : {std::chrono::milliseconds(2500), std::chrono::milliseconds(8000)}) {
        CAPTURE(length.count());
        Membership membership(largeCount);
        membership.run(maxStartTime);
        const auto setFrozen = [&membership](bool isFrozen) {
            for (std::size_t index = 0; index < membership.count(); index += 3) {
                membership.setFrozen(index, isFrozen);
            }
        };
        setFrozen(true);
        CHECK(membership.run(length) == 0);
        setFrozen(false);
        CHECK(membership.run(maxStartTime) == 0);
        CHECK(membership.incompleteViews() == 0);
        CHECK(membership.run(std::chrono::seconds(5)) == 0);
    }
}

// Guards against losses while a new build is rolled out: instances of the build before neither tell of others nor listen to it.
TEST_CASE("Membership: instances that tell of others know all, also while every second one is of the build before and does not")
{
    Membership membership(largeCount);
    for (std::size_t index = 0; index < membership.count(); index += 2) {
        membership.makeOld(index);
    }
    membership.run(std::chrono::seconds(5));
    CHECK(membership.incompleteViews() == 0);
    membership.run(std::chrono::seconds(10));
    CHECK(membership.incompleteViews() == 0);
}
