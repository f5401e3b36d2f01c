//! Whole streams in forms that endpoints may use, which have to reach their callers.

#include "streamcluster.h"

#include <doctest/doctest.h>

using namespace oleandergate;
using namespace oleandergate::support;

// Guards against refusing answers with interim answers in front of them (RFC 9110, 15.2), and against reading such answers without end.
TEST_CASE("Sound streams: interim answers in front of an answer are read over")
{
    StreamCluster cluster(1);
    for (const char *target : {"/turns/1", "/spread/1", "/single/1"}) {
        CAPTURE(target);
        cluster.endpoints[0]->setNextBehaviours({Behaviour::Interim});
        const ReceivedStream received = cluster.receive(target);
        CHECK(received.isWhole());
        CHECK(received.isInOrder());
        CHECK(received.heads == 1);
    }
    CHECK(cluster.receivedCount() == 3);
    cluster.endpoints[0]->setNextBehaviours({Behaviour::EndlessInterim});
    CHECK(cluster.receive("/turns/1").isWhole());
    CHECK(cluster.endpoints[0]->closedFloodCount() == 1);
}
