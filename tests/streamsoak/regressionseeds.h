#ifndef OLEANDERGATE_TESTS_STREAMSOAK_REGRESSIONSEEDS_H
#define OLEANDERGATE_TESTS_STREAMSOAK_REGRESSIONSEEDS_H

#include "installation.h"

namespace oleandergate::streamsoak {

//! A seed that failed on some build, with its cause.
struct RegressionSeed
{
    Installation installation = Installation::Nakhla;
    std::uint64_t seed = 0;
    std::string_view cause{};
};

inline constexpr std::array regressionSeeds{
    RegressionSeed{Installation::Talleres,
                   112,
                   "early on 9aa5c15: a whole stream without framing that was proved at an endpoint removed what was known of its cuts, and its next empty "
                   "answer confirmed its own cut; two software versions on 0cf79c3, not traced"},
    RegressionSeed{Installation::TalleresBandera, 2, "two software versions on 9aa5c15: a caller with a program named an attempt of another stream"},
    RegressionSeed{Installation::NakhlaFleet,
                   1,
                   "two services on 9aa5c15: the shares of a split route changed under an open stream; two versions: an attempt of another stream was named"},
    RegressionSeed{Installation::NakhlaFleet, 3, "two services on 9aa5c15: the shares of a split route changed under an open stream"},
    RegressionSeed{Installation::NakhlaFleetDense,
                   1,
                   "two services on 3f705a9: all gateways ended right after a route had moved, and took its streams up at the new service"},
    RegressionSeed{Installation::NakhlaFleetDense, 2, "two services on 3f705a9: all gateways ended behind a move"},
    RegressionSeed{Installation::NakhlaFleetDense, 3, "two services on 3f705a9: gateways ended behind moves, and a route with a longer prefix came and went"},
    RegressionSeed{Installation::NakhlaFleetDense, 4, "two services, one at another software version, on 3f705a9: gateways ended behind moves and releases"},
    RegressionSeed{Installation::NakhlaFleetDense, 5, "two services on 3f705a9: a route with a longer prefix took streams over"},
    RegressionSeed{Installation::NakhlaFleetDense, 6, "two services on 3f705a9: all gateways ended right after a move, beside a release"},
    RegressionSeed{Installation::NakhlaFleetDense, 7, "two services on 3f705a9: all gateways ended while the store refused, between two moves"},
    RegressionSeed{Installation::TalleresBanderaDense, 2, "two services on 3f705a9: all gateways ended around a move"},
    RegressionSeed{Installation::TalleresBanderaDense, 3, "two services on 3f705a9: all gateways ended right after moves, in series"},
    RegressionSeed{Installation::TalleresBanderaDense, 4, "two services on 3f705a9: the shares of a split route changed behind an end of all gateways"},
    RegressionSeed{Installation::TalleresBanderaDense,
                   6,
                   "two services, of different software versions, on 3f705a9: all gateways ended right after a move, beside releases"},
    RegressionSeed{Installation::NakhlaFleetChanging, 2, "two services on fca43a4: a route that moved while it might not be resumed"},
    RegressionSeed{
        Installation::NakhlaFleetChanging, 4, "two software versions on fca43a4: streams began while their route could not be resumed, beside releases"},
    RegressionSeed{
        Installation::TalleresBanderaChanging,
        104,
        "two services on b201eb4: a configuration came into force without its record, as the store's answers were lost, and the gateway that began a stream "
        "by it ended; open"},
    RegressionSeed{Installation::NakhlaFleetLasting,
                   1,
                   "two software versions on 6b062d2: streams began at a gateway that the store refused for longer than a former assignment is known"},
    RegressionSeed{Installation::NakhlaFleetLasting, 16, "two software versions on 6b062d2: the same, beside a release"},
    RegressionSeed{Installation::NakhlaFleetLasting, 17, "two software versions on 6b062d2: the same, at two gateways"},
    RegressionSeed{Installation::TalleresBanderaLasting, 1, "two software versions on 6b062d2: as nakhla-fleet-lasting"},
    RegressionSeed{Installation::TalleresBanderaLasting, 16, "two software versions on 6b062d2: as nakhla-fleet-lasting"},
};

} // namespace oleandergate::streamsoak

#endif
