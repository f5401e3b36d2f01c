//! Views of the other instances, without network: every instance has a table, reports arrive within an interval.

#include "decision/peertable.h"

#include <doctest/doctest.h>

#include <memory>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration interval = std::chrono::milliseconds(50);
constexpr std::size_t seedCount = 3;
constexpr std::size_t domainCount = 5;
constexpr std::size_t advertisedPeers = 3;

//! Time after a start of all at once within which every instance has to know all others.
constexpr Duration maxStartTime = std::chrono::seconds(3);

//! Instances that run and exchange reports as gateways do.
class Membership
{
public:
    explicit Membership(std::size_t count)
    {
        std::vector<std::string> seeds;
        for (std::size_t index = 0; index < seedCount; ++index) {
            seeds.push_back(addressOf(index));
        }
        for (std::size_t index = 0; index < count; ++index) {
            this->tables.push_back(std::make_unique<PeerTable>(addressOf(index), domainOf(index), seeds));
        }
    }

    //! Runs for \p length. Returns how often a running instance was taken for lost.
    std::size_t run(Duration length)
    {
        std::size_t lost = 0;
        const Time until = this->now + length;
        while (this->now < until) {
            this->now += interval;
            this->number += 1;
            for (std::size_t index = 0; index < this->tables.size(); ++index) {
                PeerTable &table = *this->tables[index];
                lost += table.expire(this->now).size();
                table.updateReportPeriod(interval);
                const std::vector<std::string> advertised = table.sampleAddresses(advertisedPeers);
                // Loads change all the time in a busy installation.
                for (const std::string &target : table.nextTargets(true, this->now)) {
                    this->deliver(index, advertised, target);
                }
            }
        }
        return lost;
    }

    //! Returns how many instances do not know all others.
    std::size_t incompleteViews() const
    {
        std::size_t incomplete = 0;
        for (const std::unique_ptr<PeerTable> &table : this->tables) {
            incomplete += table->liveInstances().size() + 1 < this->tables.size() ? 1 : 0;
        }
        return incomplete;
    }

private:
    static std::string addressOf(std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":90";
    }

    static std::string domainOf(std::size_t index)
    {
        return "d" + std::to_string(index % domainCount);
    }

    void deliver(std::size_t sender, const std::vector<std::string> &advertised, const std::string &target)
    {
        constexpr std::size_t prefixLength = std::string_view("10.0.0.").size();
        PeerTable &receiver = *this->tables[std::stoul(target.substr(prefixLength))];
        PeerReport report;
        report.instance = InstanceRecord{std::to_string(sender), addressOf(sender), domainOf(sender), false};
        report.number = this->number;
        receiver.onReport(report, this->now);
        for (const std::string &address : advertised) {
            receiver.addCandidate(address, this->now);
        }
    }

    Time now = start;
    std::uint64_t number = 0;
    std::vector<std::unique_ptr<PeerTable>> tables;
};

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
