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

TEST_CASE("A request that runs at most once is sent to another endpoint after a statement that it did not run")
{
    RetryPlan plan(RouteKind::Once, false, 1);
    CHECK(plan.after(report("a", SendOutcome::Refused)) == NextStep::TryElsewhere);
    CHECK(plan.after(report("b", SendOutcome::NotSent)) == NextStep::TryElsewhere);
    CHECK(plan.avoided() == std::set<EndpointId>{"a", "b"});
    CHECK_FALSE(plan.mayHaveRun());
    CHECK(plan.after(report("c", SendOutcome::Answered)) == NextStep::Deliver);
}

TEST_CASE("After repeated refusals the caller is told that the request did not run")
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

TEST_CASE("After a send that may have run, refusals do not lead to the statement that the request did not run")
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

TEST_CASE("An endpoint that has ended does not count towards the attempts of the route")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    CHECK(plan.after(SendReport{"a", SendOutcome::Broken, true, false}) == NextStep::TryElsewhere);
}

TEST_CASE("A resumable stream that breaks at a running endpoint is resumed there")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TrySame);
}

TEST_CASE("A stream that cannot be resumed fails when it breaks")
{
    RetryPlan plan(RouteKind::Stream, false, 3);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::FailUnknown);
}

TEST_CASE("The number of repeats of a request is limited")
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

// Guards against giving a whole stream up: its breaks had used the repeats that the runs needed which were to confirm its end.
TEST_CASE("A stream that broke off before may still have its end confirmed by two runs")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TrySame);
    SendReport end = report("a", SendOutcome::Unconfirmed);
    end.broughtEvents = true;
    CHECK(plan.after(end) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::Unconfirmed)) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::Answered)) == NextStep::Deliver);
}

TEST_CASE("A request that failed at an endpoint is repeated only if the route allows another endpoint")
{
    RetryPlan once(RouteKind::Once, false, 3);
    CHECK(once.after(SendReport{"a", SendOutcome::Answered, false, true}) == NextStep::Deliver);
    RetryPlan idempotent(RouteKind::Idempotent, false, 2);
    CHECK(idempotent.after(SendReport{"a", SendOutcome::Answered, false, true}) == NextStep::TryElsewhere);
    CHECK(idempotent.after(SendReport{"b", SendOutcome::Answered, false, true}) == NextStep::Deliver);
}

TEST_CASE("A request is not repeated after the caller has disconnected or its deadline has passed")
{
    RetryPlan left(RouteKind::Idempotent, false, 3);
    CHECK(left.after(report("a", SendOutcome::CallerLeft)) == NextStep::Stop);
    RetryPlan late(RouteKind::Idempotent, false, 3);
    CHECK(late.after(report("a", SendOutcome::TimedOut)) == NextStep::FailLate);
}

// Guards against a stream that breaks, is refused when it is sent again, and then goes on at more endpoints than its route allows.
TEST_CASE("A request that may have run at as many endpoints as its route allows is not sent elsewhere after a refusal")
{
    RetryPlan plan(RouteKind::Stream, true, 1);
    CHECK(plan.after(report("a", SendOutcome::Broken)) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::Refused)) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::NotSent)) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::Refused)) == NextStep::TrySame);
    CHECK(plan.after(report("a", SendOutcome::Refused)) == NextStep::FailUnknown);
    RetryPlan ended(RouteKind::Stream, true, 1);
    CHECK(ended.after(report("a", SendOutcome::Broken)) == NextStep::TrySame);
    CHECK(ended.after(SendReport{"a", SendOutcome::NotSent, true, false}) == NextStep::TryElsewhere);
}

// Guards against delivering a cut stream as complete where another run can tell, and against refusing one where none can.
TEST_CASE("A stream whose end proves nothing is asked for again if it may be, and delivered otherwise")
{
    RetryPlan resumable(RouteKind::Stream, true, 2);
    CHECK(resumable.after(report("a", SendOutcome::Unconfirmed)) == NextStep::TryElsewhere);
    CHECK(resumable.avoided().empty());
    CHECK(resumable.openEndsAt() == std::set<EndpointId>{"a"});
    CHECK(resumable.after(report("b", SendOutcome::Unconfirmed)) == NextStep::TrySame);
    CHECK(resumable.after(report("b", SendOutcome::Unconfirmed)) == NextStep::TrySame);
    CHECK(resumable.after(report("b", SendOutcome::Unconfirmed)) == NextStep::FailUnknown);
    RetryPlan single(RouteKind::Stream, false, 2);
    CHECK(single.after(report("a", SendOutcome::Unconfirmed)) == NextStep::Deliver);
    RetryPlan unplaced(RouteKind::Stream, true, 2);
    SendReport behindUnnumbered = report("a", SendOutcome::Unconfirmed);
    behindUnnumbered.canContinue = false;
    CHECK(unplaced.after(behindUnnumbered) == NextStep::Deliver);
    RetryPlan early(RouteKind::Stream, true, 3);
    CHECK(early.after(report("a", SendOutcome::Unconfirmed)) == NextStep::TryElsewhere);
    SendReport further = report("b", SendOutcome::Unconfirmed);
    further.broughtEvents = true;
    CHECK(early.after(further) == NextStep::TryElsewhere);
    CHECK(early.openEndsAt() == std::set<EndpointId>{"b"});
    CHECK(early.disprovedEndsAt() == std::set<EndpointId>{"a"});
    RetryPlan unusual(RouteKind::Stream, false, 2);
    SendReport unusualEnd = report("a", SendOutcome::Unconfirmed);
    unusualEnd.isDoubtfulEnd = true;
    CHECK(unusual.after(unusualEnd) == NextStep::FailUnknown);
}

// Guards against events that come twice: another run would begin at the last number that is known.
TEST_CASE("A stream that broke off behind events without numbers is not sent again")
{
    RetryPlan plan(RouteKind::Stream, true, 3);
    SendReport broken = report("a", SendOutcome::Broken);
    broken.canContinue = false;
    CHECK(plan.after(broken) == NextStep::FailUnknown);
}

// Guards against a failure of a request that may be repeated, where an answer to another one came in its place and no other endpoint is there.
TEST_CASE("A request that may be repeated is sent to the same endpoint again behind an answer that names no request")
{
    SendReport unnamed = report("a", SendOutcome::Broken);
    unnamed.isUnnamedAnswer = true;
    for (const std::uint32_t maxAttempts : {1U, 3U}) {
        RetryPlan plan(RouteKind::Stream, true, maxAttempts);
        CHECK(plan.after(unnamed) == NextStep::TrySame);
        CHECK(plan.avoided().empty());
    }
    RetryPlan single(RouteKind::Stream, false, 3);
    CHECK(single.after(unnamed) == NextStep::FailUnknown);
    unnamed.endpointGone = true;
    RetryPlan gone(RouteKind::Stream, true, 3);
    CHECK(gone.after(unnamed) == NextStep::TryElsewhere);
}
