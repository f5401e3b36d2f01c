#include "decision/endpointcatalog.h"
#include "decision/serviceavailability.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration maxSilence = std::chrono::milliseconds(1200);
constexpr Duration reregistrationTimeout = std::chrono::milliseconds(2500);

Time at(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST_CASE("The recovery of the service is distinguished from the reconnection of one instance")
{
    ServiceAvailability availability(maxSilence);
    CHECK_FALSE(availability.availableSince());
    availability.onContact(Time{}, at(0));
    CHECK_FALSE(availability.availableSince());
    // Other instances continue to read while the service refuses this instance.
    for (int now = 0; now <= 7000; now += 500) {
        availability.onContact(at(now), at(now + 100));
    }
    REQUIRE(availability.availableSince());
    CHECK(*availability.availableSince() == at(0));
    // No instance has read for longer than maxSilence.
    availability.onContact(at(7000), at(8300));
    CHECK_FALSE(availability.availableSince());
    availability.onContact(at(9000), at(9050));
    CHECK(*availability.availableSince() == at(9000));
}

TEST_CASE("An endpoint that leaves while only this instance was refused is removed at once")
{
    ServiceAvailability availability(maxSilence);
    EndpointCatalog catalog(reregistrationTimeout);
    EndpointEntry entry;
    entry.spec.id = "e1";
    entry.service = "model";
    catalog.put(entry);
    for (int now = 0; now <= 7000; now += 500) {
        availability.onContact(at(now), at(now));
    }
    catalog.onServiceRecovered(availability.availableSince().value_or(at(7000)));
    catalog.remove("e1", at(7100));
    CHECK(catalog.size() == 0);
}
