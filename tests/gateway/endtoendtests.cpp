#include "gateway/endtoend.h"

#include <doctest/doctest.h>

using namespace oleandergate;

TEST_CASE("Hop-by-hop headers are removed, including those that the Connection header names")
{
    const std::vector<HttpHeader> kept = endToEndHeaders({{"Host", "a"},
                                                          {"connection", "close, X-Hop"},
                                                          {"X-Hop", "1"},
                                                          {"Keep-Alive", "timeout=5"},
                                                          {"Transfer-Encoding", "chunked"},
                                                          {"Content-Length", "5"},
                                                          {"Expect", "100-continue"},
                                                          {"X-Other", "2"}});
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].name == "Host");
    CHECK(kept[1].name == "X-Other");
}
