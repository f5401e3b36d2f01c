#include "runtime/cancellation.h"

#include <doctest/doctest.h>

using namespace oleandergate;

// Guards against an operation that has taken effect being cancelled because its caller left, and against one without effect that goes on for nobody.
TEST_CASE("Cancellation: a caller that leaves cancels an operation before and after, not while it is committed")
{
    Cancellation cancellation;
    int calls = 0;
    cancellation.setHook([&calls]() {
        calls += 1;
    });
    REQUIRE(cancellation.commit());
    cancellation.cancel(CancelReason::CallerLeft);
    CHECK_FALSE(cancellation.isCancelled());
    CHECK(calls == 0);
    SUBCASE("taken back")
    {
        cancellation.revokeCommit();
        CHECK(cancellation.reason() == CancelReason::CallerLeft);
        CHECK(calls == 1);
        CHECK_FALSE(cancellation.commit());
    }
    SUBCASE("cancelled by the shutdown")
    {
        cancellation.cancel(CancelReason::Shutdown);
        CHECK(cancellation.reason() == CancelReason::Shutdown);
        CHECK(calls == 1);
    }
}

// Guards against a request being sent although its caller has left.
TEST_CASE("Cancellation: a cancelled operation cannot be committed, and one that nobody left goes on after a commit is taken back")
{
    Cancellation left;
    left.cancel(CancelReason::CallerLeft);
    CHECK_FALSE(left.commit());
    CHECK(left.reason() == CancelReason::CallerLeft);
    Cancellation waiting;
    REQUIRE(waiting.commit());
    waiting.revokeCommit();
    CHECK_FALSE(waiting.isCancelled());
    CHECK(waiting.commit());
}
