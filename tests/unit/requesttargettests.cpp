#include "runtime/requesttarget.h"

#include <doctest/doctest.h>

#include <string>

using namespace oleandergate;

// Guards against names of other parties that change the query or the path that they are put into.
TEST_CASE("Request target: all that has a meaning in a target is escaped")
{
    CHECK(targetWithQuery("/range", {{"prefix", "servers/"}, {"after", "servers/a00%#&b=c+d e?"}})
          == "/range?prefix=servers/&after=servers/a00%25%23%26b%3Dc%2Bd%20e%3F");
    CHECK(targetWithQuery("/range", {{"after", "\xc3\xa9\r\n"}}) == "/range?after=%C3%A9%0D%0A");
    CHECK(targetWithQuery("/range", {}) == "/range");
    CHECK(escapedSegment("a/../b?c#d e%41") == "a%2F..%2Fb%3Fc%23d%20e%2541");
    CHECK(escapedSegment("plain-name_1.2~:@") == "plain-name_1.2~:@");
}
