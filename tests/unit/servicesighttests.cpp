#include "decision/endpointcatalog.h"
#include "decision/servicesight.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration silence = std::chrono::milliseconds(1200);
constexpr Duration reappearance = std::chrono::milliseconds(2500);

Time at(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST_CASE("The service's return is told from an instance's own")
{
    ServiceSight sight(silence);
    CHECK_FALSE(sight.since());
    sight.note(Time{}, at(0));
    CHECK_FALSE(sight.since());
    // Others read on while the service refuses this instance.
    for (int now = 0; now <= 7000; now += 500) {
        sight.note(at(now), at(now + 100));
    }
    REQUIRE(sight.since());
    CHECK(*sight.since() == at(0));
    // Nobody reads for longer than a service in good order allows.
    sight.note(at(7000), at(8300));
    CHECK_FALSE(sight.since());
    sight.note(at(9000), at(9050));
    CHECK(*sight.since() == at(9000));
}

TEST_CASE("An endpoint that leaves while only this instance was refused is out of use at once")
{
    ServiceSight sight(silence);
    EndpointCatalog catalog(reappearance);
    EndpointEntry entry;
    entry.spec.id = "e1";
    entry.service = "model";
    catalog.put(entry);
    for (int now = 0; now <= 7000; now += 500) {
        sight.note(at(now), at(now));
    }
    catalog.onKeeperBack(sight.since().value_or(at(7000)));
    catalog.remove("e1", at(7100));
    CHECK(catalog.size() == 0);
}
