//! Gateway processes before an endpoint that names a rate limit in its answers.

#include "gatewaycluster.h"

#include <doctest/doctest.h>

using namespace oleandergate;
using namespace oleandergate::support;

// Guards against gateways that ignore the limit of an endpoint in need, or keep it after it was lifted.
TEST_CASE("Gateways learn a rate limit from each other, let calls wait for permits, and serve on when it is lifted")
{
    GatewayCluster cluster(2, 1);
    REQUIRE(cluster.startServing());
    cluster.endpoints[0]->setRateLimit("4");
    CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    CHECK(cluster.logHas(0, "\"change\":\"named\""));
    // The other gateway has sent nothing to the endpoint yet.
    CHECK(cluster.logHas(1, "\"change\":\"named\""));
    for (std::size_t call = 0; call < 8; ++call) {
        const std::optional<HttpResponse> answer = cluster.call(call % 2, "GET", "/reads/2");
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
    const std::string logs = cluster.log(0) + cluster.log(1);
    CHECK(countOf(logs, "\"rate_declined\":\"0\"") < countOf(logs, "\"rate_declined\":"));
    cluster.endpoints[0]->setRateLimit("");
    CHECK(cluster.call(1, "GET", "/reads/3")->status == 200);
    CHECK(cluster.logHas(1, "\"change\":\"lifted\""));
    CHECK(cluster.logHas(0, "\"change\":\"lifted\""));
}

TEST_CASE("A rate limit that is no number is ignored, with one log line")
{
    GatewayCluster cluster(1, 1);
    REQUIRE(cluster.startServing());
    cluster.endpoints[0]->setRateLimit("many");
    for (int call = 0; call < 3; ++call) {
        CHECK(cluster.call(0, "GET", "/reads/1")->status == 200);
    }
    CHECK(cluster.logHas(0, "ignored a rate limit"));
    CHECK(countOf(cluster.log(0), "ignored a rate limit") == 1);
    CHECK(countOf(cluster.log(0), "the rate limit of an endpoint changed") == 0);
}
