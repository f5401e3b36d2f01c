#include "decision/peaklimiter.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Tokens cap = 20000;
constexpr Minute minute = 100;

PeakRenewal renewalOf(const InstanceId &self, Tokens demand, std::set<InstanceId> live)
{
    return PeakRenewal{self, demand, 0, std::move(live), cap, minute, minute};
}

} // namespace

TEST_CASE("An instance that crashes with an unused grant leaves tokens for its successors")
{
    // The first instance was alone for a moment, as after a start during an outage of the key-value service, and crashed before it
    // had used any tokens.
    const PeakLedger alone = PeakLedger{}.renewed(renewalOf("first", 0, {"first"}));
    const PeakLedger next = alone.renewed(renewalOf("second", 1000, {"second", "third"}));
    const PeakLedger last = next.renewed(renewalOf("third", 1000, {"second", "third"}));
    CHECK(last.grants.at("second").allowanceAt(minute) >= 1000);
    CHECK(last.grants.at("third").allowanceAt(minute) >= 1000);
    CHECK(last.totalAt(minute) <= cap);
}

TEST_CASE("An instance that requests the whole cap gets it while no other instance requests tokens")
{
    const PeakLedger ledger = PeakLedger{}.renewed(renewalOf("only", cap, {"only"}));
    CHECK(ledger.grants.at("only").allowanceAt(minute) == cap);
}

TEST_CASE("An idle instance gets an equal share, computed for one more instance than there are")
{
    const PeakLedger ledger = PeakLedger{}.renewed(renewalOf("a", 0, {"a", "b", "c"}));
    CHECK(ledger.grants.at("a").allowanceAt(minute) == cap / 4);
}
