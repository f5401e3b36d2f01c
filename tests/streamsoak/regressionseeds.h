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
};

} // namespace oleandergate::streamsoak

#endif
