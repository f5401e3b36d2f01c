#include "decision/peertable.h"

#include <doctest/doctest.h>

#include <map>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration reportInterval = std::chrono::milliseconds(50);
constexpr Duration warmUp = std::chrono::seconds(3);
constexpr Duration measured = std::chrono::seconds(3);

//! Instances that exchange reports without delay or loss, as many in each failure domain.
class ReportingInstances
{
public:
    ReportingInstances(int domains, int perDomain)
    {
        for (int domain = 0; domain < domains; ++domain) {
            for (int instance = 0; instance < perDomain; ++instance) {
                const std::string name = std::to_string(domain) + "." + std::to_string(instance);
                const std::string address = "10.0." + name + ":90";
                const std::string domainName = "domain" + std::to_string(domain);
                this->records.push_back(InstanceRecord{name, address, domainName, false});
                this->tables.emplace(address, PeerTable(address, domainName, {}));
            }
        }
        for (const InstanceRecord &sender : this->records) {
            for (auto &[address, table] : this->tables) {
                table.onReport(PeerReport{sender, 1}, start);
            }
        }
    }

    //! Lets every instance report its changed loads once.
    void step(Time now)
    {
        this->number += 1;
        for (const InstanceRecord &sender : this->records) {
            for (const std::string &target : this->tables.at(sender.peerAddress).nextTargets(true, now)) {
                this->tables.at(target).onReport(PeerReport{sender, this->number}, now);
                this->sent += 1;
            }
        }
    }

    //! Returns the age of the oldest report that an instance has of a peer in its own failure domain.
    Duration oldestInDomain(Time now) const
    {
        Duration oldest{};
        for (const InstanceRecord &receiver : this->records) {
            for (const InstanceRecord &sender : this->records) {
                if (sender.domain == receiver.domain && sender.id != receiver.id) {
                    oldest = std::max(oldest, this->tables.at(receiver.peerAddress).reportAge(sender.id, now).value());
                }
            }
        }
        return oldest;
    }

    std::uint64_t sentCount() const
    {
        return this->sent;
    }

private:
    std::vector<InstanceRecord> records;
    std::map<std::string, PeerTable> tables;
    std::uint64_t number = 1;
    std::uint64_t sent = 0;
};

} // namespace

// Guards against calls that are placed by the counts of calls that ended long ago: with 56 instances in rotation a peer was heard
// once in 0.95 s, and a burst went to endpoints that were full. The bound is the installation's objective for a first token.
TEST_CASE("Load counts of a failure domain stay younger than a first token with 56 instances")
{
    constexpr Duration firstTokenObjective = std::chrono::milliseconds(200);
    ReportingInstances instances(4, 14);
    Time now = start;
    Duration oldest{};
    while (now < start + warmUp + measured) {
        now += reportInterval;
        if (now > start + warmUp) {
            oldest = std::max(oldest, instances.oldestInDomain(now));
        }
        instances.step(now);
    }
    CHECK(oldest <= firstTokenObjective);
}
