#include "decision/retryplan.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

SendReport report(const std::string &endpoint, SendOutcome outcome)
{
    return SendReport{endpoint, outcome, false, false};
}

} // namespace

TEST_CASE("A request that runs at most once is never sent again once bytes were sent")
{
    RetryPlan plan(RouteKind::Once, false, 3);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::FailUnknown);
    CHECK(plan.mayHaveRun());
}

TEST_CASE("A request that runs at most once moves on after a statement that it did not run")
{
    RetryPlan plan(RouteKind::Once, false, 1);
    CHECK(plan.after(report("a", SendOutcome::Refused)) == NextStep::TryElsewhere);
    CHECK(plan.after(report("b", SendOutcome::NotSent)) == NextStep::TryElsewhere);
    CHECK(plan.avoided() == std::set<EndpointId>{"a", "b"});
    CHECK_FALSE(plan.mayHaveRun());
    CHECK(plan.after(report("c", SendOutcome::Answered)) == NextStep::Deliver);
}

TEST_CASE("A pool that keeps refusing ends with a refusal that promises not run")
{
    RetryPlan plan(RouteKind::Once, false, 1);
    NextStep step = NextStep::TryElsewhere;
    int sends = 0;
    while (step == NextStep::TryElsewhere) {
        step = plan.after(report("e" + std::to_string(sends), SendOutcome::Refused));
        sends += 1;
        REQUIRE(sends < 100);
    }
    CHECK(step == NextStep::RefuseNotRun);
}

TEST_CASE("After a send that may have run, refusals do not promise that the request did not run")
{
    RetryPlan plan(RouteKind::Idempotent, false, 2);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TryElsewhere);
    NextStep step = NextStep::TryElsewhere;
    for (int send = 0; send < 10 && step == NextStep::TryElsewhere; ++send) {
        step = plan.after(report("b" + std::to_string(send), SendOutcome::Refused));
    }
    CHECK(step == NextStep::FailUnknown);
}

TEST_CASE("An idempotent request runs at no more endpoints than its route allows")
{
    RetryPlan plan(RouteKind::Idempotent, false, 2);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TryElsewhere);
    CHECK(plan.after(report("b", SendOutcome::Broken)) == NextStep::TrySame);
}

TEST_CASE("An endpoint that has ended does not count against the route's attempts")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    CHECK(plan.after(SendReport{"a", SendOutcome::Broken, true, false}) == NextStep::TryElsewhere);
}

TEST_CASE("A resumable stream that breaks at a living endpoint goes on there")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TrySame);
}

TEST_CASE("A stream that cannot be resumed fails when it breaks")
{
    RetryPlan plan(RouteKind::Stream, false, 3);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::FailUnknown);
}

TEST_CASE("Repeats of one request are bounded")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    NextStep step = NextStep::TrySame;
    int sends = 0;
    while (step == NextStep::TrySame) {
        step = plan.after(report("a", SendOutcome::Broken));
        sends += 1;
        REQUIRE(sends < 100);
    }
    CHECK(step == NextStep::FailUnknown);
}

TEST_CASE("An endpoint's own failure is repeated only where the route allows another endpoint")
{
    RetryPlan once(RouteKind::Once, false, 3);
    CHECK(once.after(SendReport{"a", SendOutcome::Answered, false, true}) == NextStep::Deliver);
    RetryPlan idempotent(RouteKind::Idempotent, false, 2);
    CHECK(idempotent.after(SendReport{"a", SendOutcome::Answered, false, true}) == NextStep::TryElsewhere);
    CHECK(idempotent.after(SendReport{"b", SendOutcome::Answered, false, true}) == NextStep::Deliver);
}

TEST_CASE("Nothing follows when the caller left or its time is over")
{
    RetryPlan left(RouteKind::Idempotent, false, 3);
    CHECK(left.after(report("a", SendOutcome::CallerLeft)) == NextStep::Stop);
    RetryPlan late(RouteKind::Idempotent, false, 3);
    CHECK(late.after(report("a", SendOutcome::TimedOut)) == NextStep::FailLate);
}
