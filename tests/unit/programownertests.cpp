#include "decision/programowner.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr MicroUnits programBudget = 1000;
constexpr int programPriority = 0;
constexpr std::uint32_t maxTurns = 10;
constexpr std::uint64_t requestDigest = 7; //!< The same for all requests.

//! A ProgramOwner with one slot and one program, without a runtime.
struct OwnerFixture
{
    OwnerFixture()
        : owner(limits())
    {
        this->owner.acquireSlot(0, {}, start);
        ProgramSpec spec{"p", "org", "kind", programBudget, programPriority, maxTurns, start, start + std::chrono::hours(1)};
        Actions actions = this->owner.createProgram(1, spec, OperatingMode::Normal, start);
        this->commitAll(actions);
    }

    static OwnerLimits limits()
    {
        OwnerLimits limits;
        limits.slotCount = 1;
        return limits;
    }

    static CallRequest request(const std::string &id, std::uint64_t sequence, bool repeatable = true)
    {
        CallRequest request;
        request.requestId = id;
        request.program = "p";
        request.organisation = "org";
        request.sequence = sequence;
        request.repeatable = repeatable;
        request.digest = requestDigest;
        request.reserve = 100;
        request.deadline = start + std::chrono::minutes(1);
        return request;
    }

    //! Reports all commits as durable and returns the other actions together with those that follow from it.
    Actions commitAll(const Actions &actions)
    {
        Actions otherActions;
        for (const Action &action : actions) {
            if (const auto *commit = std::get_if<CommitAction>(&action)) {
                const Actions moreActions = this->owner.onCommitted(commit->commitId, start);
                otherActions.insert(otherActions.end(), moreActions.begin(), moreActions.end());
            } else {
                otherActions.push_back(action);
            }
        }
        return otherActions;
    }

    ProgramOwner owner;
};

template <typename Wanted>
const Wanted *findAction(const Actions &actions)
{
    for (const Action &action : actions) {
        if (const auto *wanted = std::get_if<Wanted>(&action)) {
            return wanted;
        }
    }
    return nullptr;
}

} // namespace

TEST_CASE("A call that is not idempotent is ready only once its intent is durable")
{
    OwnerFixture fixture;
    const Actions submitted = fixture.owner.submit(10, OwnerFixture::request("r1", 1, false), OperatingMode::Normal, start);
    CHECK(findAction<ReadyAction>(submitted) == nullptr);
    REQUIRE(findAction<CommitAction>(submitted) != nullptr);
    const Actions ready = fixture.commitAll(submitted);
    REQUIRE(findAction<ReadyAction>(ready) != nullptr);
    CHECK(findAction<ReadyAction>(ready)->call == 10);
}

TEST_CASE("A call whose intent is not durable in time is refused as not run and never becomes ready")
{
    OwnerFixture fixture;
    const Actions submitted = fixture.owner.submit(10, OwnerFixture::request("r1", 1, false), OperatingMode::Normal, start);
    // Later than OwnerLimits::intentTimeout.
    const Actions late = fixture.owner.tick(OperatingMode::Normal, start + std::chrono::seconds(5));
    REQUIRE(findAction<DeliverAction>(late) != nullptr);
    CHECK(findAction<DeliverAction>(late)->outcome.error().executed == Executed::No);
    CHECK(findAction<DeliverAction>(late)->outcome.error().retryAfter.has_value());
    const Actions after = fixture.commitAll(submitted);
    CHECK(findAction<ReadyAction>(after) == nullptr);
    CHECK(fixture.owner.liveCallCount() == 0);
}

TEST_CASE("The next call of a branch waits for the one before it")
{
    OwnerFixture fixture;
    fixture.commitAll(fixture.owner.submit(10, OwnerFixture::request("r1", 1), OperatingMode::Normal, start));
    const Actions second = fixture.owner.submit(11, OwnerFixture::request("r2", 2), OperatingMode::Normal, start);
    CHECK(second.empty());
    REQUIRE(fixture.owner.beginSend(10, "e", OperatingMode::Normal, start));
    const Actions answered = fixture.commitAll(fixture.owner.onAnswer(10, CallAnswer{200, "", "one"}, start));
    REQUIRE(findAction<DeliverAction>(answered) != nullptr);
    CHECK(findAction<DeliverAction>(answered)->outcome.value().body == "one");
    const Actions ready = fixture.commitAll(answered);
    CHECK(findAction<ReadyAction>(ready) != nullptr);
}

TEST_CASE("A call that reserves more than the budget is refused, one that reserves exactly the budget is admitted")
{
    OwnerFixture fixture;
    CallRequest large = OwnerFixture::request("r1", 1);
    large.reserve = programBudget + 1;
    const Actions refused = fixture.owner.submit(10, large, OperatingMode::Normal, start);
    REQUIRE(findAction<DeliverAction>(refused) != nullptr);
    CHECK(findAction<DeliverAction>(refused)->outcome.error().code == ErrorCode::BudgetExhausted);
    CHECK(findAction<DeliverAction>(refused)->outcome.error().executed == Executed::No);
    large.reserve = programBudget;
    CHECK(findAction<CommitAction>(fixture.owner.submit(11, large, OperatingMode::Normal, start)) != nullptr);
}

TEST_CASE("The reserve of a failed attempt that may have run is not returned to the budget")
{
    OwnerFixture fixture;
    CallRequest request = OwnerFixture::request("r1", 1);
    request.reserve = 400;
    fixture.commitAll(fixture.owner.submit(10, request, OperatingMode::Normal, start));
    REQUIRE(fixture.owner.beginSend(10, "e", OperatingMode::Normal, start));
    AttemptFailure failure;
    failure.error.code = ErrorCode::Timeout;
    failure.mayRetry = false;
    const Actions failed = fixture.owner.onAttemptFailed(10, failure, start);
    REQUIRE(findAction<DeliverAction>(failed) != nullptr);
    CHECK(findAction<DeliverAction>(failed)->outcome.error().executed == Executed::Unknown);
    request.reserve = 601;
    const Actions again = fixture.owner.submit(11, request, OperatingMode::Normal, start);
    REQUIRE(findAction<DeliverAction>(again) != nullptr);
    CHECK(findAction<DeliverAction>(again)->outcome.error().code == ErrorCode::BudgetExhausted);
}

TEST_CASE("A new owner does not report a call as not run that the previous owner may have sent")
{
    ProgramOwner successor(OwnerFixture::limits());
    ProgramState state(ProgramSpec{"p", "org", "kind", 50, programPriority, maxTurns, start, start + std::chrono::hours(1)});
    successor.acquireSlot(0, {state}, start);
    const Actions refused = successor.submit(10, OwnerFixture::request("r1", 1), OperatingMode::Normal, start);
    REQUIRE(findAction<DeliverAction>(refused) != nullptr);
    CHECK(findAction<DeliverAction>(refused)->outcome.error().executed == Executed::Unknown);
    const Actions nonIdempotent = successor.submit(11, OwnerFixture::request("b1", 1, false), OperatingMode::Normal, start);
    REQUIRE(findAction<DeliverAction>(nonIdempotent) != nullptr);
    CHECK(findAction<DeliverAction>(nonIdempotent)->outcome.error().executed == Executed::No);
}

TEST_CASE("No call is reported as not run when another owner may have run it")
{
    CallRequest unknownProgramCall = OwnerFixture::request("r2", 1);
    unknownProgramCall.program = "unknown";
    const auto executedIn = [&unknownProgramCall](OperatingMode mode) {
        OwnerFixture fixture;
        const Actions nonIdempotent = fixture.owner.submit(10, OwnerFixture::request("r1", 1, false), mode, start);
        REQUIRE(findAction<DeliverAction>(nonIdempotent) != nullptr);
        CHECK(findAction<DeliverAction>(nonIdempotent)->outcome.error().code == ErrorCode::ServiceUnavailable);
        const Actions unknown = fixture.owner.submit(11, unknownProgramCall, mode, start);
        REQUIRE(findAction<DeliverAction>(unknown) != nullptr);
        CHECK(findAction<DeliverAction>(unknown)->outcome.error().executed == findAction<DeliverAction>(nonIdempotent)->outcome.error().executed);
        return findAction<DeliverAction>(nonIdempotent)->outcome.error().executed;
    };
    CHECK(executedIn(OperatingMode::Outage) == Executed::No);
    CHECK(executedIn(OperatingMode::PartialOutage) == Executed::Unknown);
}

TEST_CASE("A new owner closes an open intent as unknown and the branch continues")
{
    ProgramOwner successor(OwnerFixture::limits());
    ProgramState state(ProgramSpec{"p", "org", "kind", programBudget, programPriority, maxTurns, start, start + std::chrono::hours(1)});
    state.apply(CallIntent{"p", "b1", "", 1, requestDigest, "svc", 100});
    const Actions acquired = successor.acquireSlot(0, {state}, start);
    REQUIRE(findAction<CommitAction>(acquired) != nullptr);
    const Actions again = successor.submit(10, OwnerFixture::request("b1", 1, false), OperatingMode::Normal, start);
    REQUIRE(findAction<DeliverAction>(again) != nullptr);
    CHECK(findAction<DeliverAction>(again)->outcome.error().code == ErrorCode::OutcomeUnknown);
    CHECK(findAction<DeliverAction>(successor.submit(11, OwnerFixture::request("r2", 2), OperatingMode::Normal, start)) == nullptr);
}

TEST_CASE("A process that was paused does not send on a decision from before the pause")
{
    OwnerFixture fixture;
    fixture.commitAll(fixture.owner.submit(10, OwnerFixture::request("r1", 1), OperatingMode::Normal, start));
    REQUIRE(fixture.owner.beginSend(10, "e", OperatingMode::Normal, start));
    CHECK(fixture.owner.mayStillSend(10, OperatingMode::Normal, start + std::chrono::milliseconds(10)));
    // Later than OwnerLimits::maxSendDelay.
    CHECK_FALSE(fixture.owner.mayStillSend(10, OperatingMode::Normal, start + std::chrono::seconds(2)));
    CHECK_FALSE(fixture.owner.mayStillSend(10, OperatingMode::Isolated, start));
}

TEST_CASE("An outcome that the service reports later is delivered to callers that repeat the request")
{
    ProgramOwner successor(OwnerFixture::limits());
    ProgramState state(ProgramSpec{"p", "org", "kind", programBudget, programPriority, maxTurns, start, start + std::chrono::hours(1)});
    state.apply(CallIntent{"p", "b1", "", 1, requestDigest, "svc", 100});
    const Actions acquired = successor.acquireSlot(0, {state}, start);
    REQUIRE(findAction<QueryOutcomeAction>(acquired) != nullptr);
    CHECK(findAction<QueryOutcomeAction>(acquired)->service == "svc");
    const Actions reported = successor.onOutcomeFound("p", "b1", CallAnswer{200, "text/plain", "booked"}, start);
    CHECK(findAction<CommitAction>(reported) != nullptr);
    // A second report for the same request and a report for an unknown request are ignored.
    CHECK(successor.onOutcomeFound("p", "b1", CallAnswer{200, "", "another"}, start).empty());
    CHECK(successor.onOutcomeFound("p", "other", CallAnswer{200}, start).empty());
    const Actions again = successor.submit(10, OwnerFixture::request("b1", 1, false), OperatingMode::Normal, start);
    REQUIRE(findAction<DeliverAction>(again) != nullptr);
    CHECK(findAction<DeliverAction>(again)->outcome.value().body == "booked");
    CHECK(successor.findProgram("p")->isChainIntact());
}
