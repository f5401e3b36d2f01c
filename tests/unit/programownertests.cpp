#include "decision/programowner.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

//! An owner of one slot with one program, driven by hand.
struct Owned
{
    Owned()
        : owner(limits())
    {
        this->owner.adoptSlot(0, {}, start);
        ProgramSpec spec{"p", "org", "kind", 1000, 0, 10, start, start + std::chrono::hours(1)};
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
        request.digest = 7;
        request.reserve = 100;
        request.deadline = start + std::chrono::minutes(1);
        return request;
    }

    //! Makes all commits durable and returns what follows.
    Actions commitAll(const Actions &actions)
    {
        Actions following;
        for (const Action &action : actions) {
            if (const auto *commit = std::get_if<CommitAction>(&action)) {
                const Actions more = this->owner.onCommitted(commit->ticket, start);
                following.insert(following.end(), more.begin(), more.end());
            } else {
                following.push_back(action);
            }
        }
        return following;
    }

    ProgramOwner owner;
};

template <typename Wanted>
const Wanted *find(const Actions &actions)
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
    Owned owned;
    const Actions submitted = owned.owner.submit(10, Owned::request("r1", 1, false), OperatingMode::Normal, start);
    CHECK(find<ReadyAction>(submitted) == nullptr);
    REQUIRE(find<CommitAction>(submitted) != nullptr);
    const Actions ready = owned.commitAll(submitted);
    REQUIRE(find<ReadyAction>(ready) != nullptr);
    CHECK(find<ReadyAction>(ready)->call == 10);
}

TEST_CASE("An intent that was given up is refused as not run and never becomes ready")
{
    Owned owned;
    const Actions submitted = owned.owner.submit(10, Owned::request("r1", 1, false), OperatingMode::Normal, start);
    const Actions late = owned.owner.tick(OperatingMode::Normal, start + std::chrono::seconds(5));
    REQUIRE(find<DeliverAction>(late) != nullptr);
    CHECK(find<DeliverAction>(late)->outcome.error().executed == Executed::No);
    CHECK(find<DeliverAction>(late)->outcome.error().retryAfter.has_value());
    const Actions after = owned.commitAll(submitted);
    CHECK(find<ReadyAction>(after) == nullptr);
    CHECK(owned.owner.liveCallCount() == 0);
}

TEST_CASE("The next call of a branch waits for the one before it")
{
    Owned owned;
    owned.commitAll(owned.owner.submit(10, Owned::request("r1", 1), OperatingMode::Normal, start));
    const Actions second = owned.owner.submit(11, Owned::request("r2", 2), OperatingMode::Normal, start);
    CHECK(second.empty());
    REQUIRE(owned.owner.beginSend(10, "e", OperatingMode::Normal, start));
    const Actions answered = owned.commitAll(owned.owner.onAnswer(10, CallAnswer{200, "", "one"}, start));
    REQUIRE(find<DeliverAction>(answered) != nullptr);
    CHECK(find<DeliverAction>(answered)->outcome.value().body == "one");
    const Actions ready = owned.commitAll(answered);
    CHECK(find<ReadyAction>(ready) != nullptr);
}

TEST_CASE("A budget covers what was reserved and nothing beyond")
{
    Owned owned;
    CallRequest large = Owned::request("r1", 1);
    large.reserve = 1001;
    const Actions refused = owned.owner.submit(10, large, OperatingMode::Normal, start);
    REQUIRE(find<DeliverAction>(refused) != nullptr);
    CHECK(find<DeliverAction>(refused)->outcome.error().code == ErrorCode::BudgetExhausted);
    CHECK(find<DeliverAction>(refused)->outcome.error().executed == Executed::No);
    large.reserve = 1000;
    CHECK(find<CommitAction>(owned.owner.submit(11, large, OperatingMode::Normal, start)) != nullptr);
}

TEST_CASE("A failed attempt that may have run is not given back to the budget")
{
    Owned owned;
    CallRequest request = Owned::request("r1", 1);
    request.reserve = 400;
    owned.commitAll(owned.owner.submit(10, request, OperatingMode::Normal, start));
    REQUIRE(owned.owner.beginSend(10, "e", OperatingMode::Normal, start));
    AttemptFailure failure;
    failure.error.code = ErrorCode::Timeout;
    failure.mayRetry = false;
    const Actions failed = owned.owner.onAttemptFailed(10, failure, start);
    REQUIRE(find<DeliverAction>(failed) != nullptr);
    CHECK(find<DeliverAction>(failed)->outcome.error().executed == Executed::Unknown);
    request.reserve = 601;
    const Actions again = owned.owner.submit(11, request, OperatingMode::Normal, start);
    REQUIRE(find<DeliverAction>(again) != nullptr);
    CHECK(find<DeliverAction>(again)->outcome.error().code == ErrorCode::BudgetExhausted);
}

TEST_CASE("A successor does not say not run of the call that its predecessor may have sent")
{
    ProgramOwner successor(Owned::limits());
    ProgramState state(ProgramSpec{"p", "org", "kind", 50, 0, 10, start, start + std::chrono::hours(1)});
    successor.adoptSlot(0, {state}, start);
    const Actions refused = successor.submit(10, Owned::request("r1", 1), OperatingMode::Normal, start);
    REQUIRE(find<DeliverAction>(refused) != nullptr);
    CHECK(find<DeliverAction>(refused)->outcome.error().executed == Executed::Unknown);
    const Actions booking = successor.submit(11, Owned::request("b1", 1, false), OperatingMode::Normal, start);
    REQUIRE(find<DeliverAction>(booking) != nullptr);
    CHECK(find<DeliverAction>(booking)->outcome.error().executed == Executed::No);
}

TEST_CASE("Nothing is said to be not run when another owner may have run it")
{
    CallRequest foreign = Owned::request("r2", 1);
    foreign.program = "unheard-of";
    const auto ranOf = [&foreign](OperatingMode posture) {
        Owned owned;
        const Actions booking = owned.owner.submit(10, Owned::request("r1", 1, false), posture, start);
        REQUIRE(find<DeliverAction>(booking) != nullptr);
        CHECK(find<DeliverAction>(booking)->outcome.error().code == ErrorCode::ServiceUnavailable);
        const Actions unknown = owned.owner.submit(11, foreign, posture, start);
        REQUIRE(find<DeliverAction>(unknown) != nullptr);
        CHECK(find<DeliverAction>(unknown)->outcome.error().executed == find<DeliverAction>(booking)->outcome.error().executed);
        return find<DeliverAction>(booking)->outcome.error().executed;
    };
    CHECK(ranOf(OperatingMode::Outage) == Executed::No);
    CHECK(ranOf(OperatingMode::PartialOutage) == Executed::Unknown);
}

TEST_CASE("An open intent is closed as unknown by a successor and its branch goes on")
{
    ProgramOwner successor(Owned::limits());
    ProgramState state(ProgramSpec{"p", "org", "kind", 1000, 0, 10, start, start + std::chrono::hours(1)});
    state.apply(CallIntent{"p", "b1", "", 1, 7, "svc", 100});
    const Actions adopted = successor.adoptSlot(0, {state}, start);
    REQUIRE(find<CommitAction>(adopted) != nullptr);
    const Actions again = successor.submit(10, Owned::request("b1", 1, false), OperatingMode::Normal, start);
    REQUIRE(find<DeliverAction>(again) != nullptr);
    CHECK(find<DeliverAction>(again)->outcome.error().code == ErrorCode::OutcomeUnknown);
    CHECK(find<DeliverAction>(successor.submit(11, Owned::request("r2", 2), OperatingMode::Normal, start)) == nullptr);
}

TEST_CASE("A process that was paused may no longer send what it decided before")
{
    Owned owned;
    owned.commitAll(owned.owner.submit(10, Owned::request("r1", 1), OperatingMode::Normal, start));
    REQUIRE(owned.owner.beginSend(10, "e", OperatingMode::Normal, start));
    CHECK(owned.owner.mayStillSend(10, OperatingMode::Normal, start + std::chrono::milliseconds(10)));
    CHECK_FALSE(owned.owner.mayStillSend(10, OperatingMode::Normal, start + std::chrono::seconds(2)));
    CHECK_FALSE(owned.owner.mayStillSend(10, OperatingMode::Isolated, start));
}

TEST_CASE("An outcome that the service tells later is given to callers that ask again")
{
    ProgramOwner successor(Owned::limits());
    ProgramState state(ProgramSpec{"p", "org", "kind", 1000, 0, 10, start, start + std::chrono::hours(1)});
    state.apply(CallIntent{"p", "b1", "", 1, 7, "svc", 100});
    const Actions adopted = successor.adoptSlot(0, {state}, start);
    REQUIRE(find<AskOutcomeAction>(adopted) != nullptr);
    CHECK(find<AskOutcomeAction>(adopted)->service == "svc");
    const Actions told = successor.onOutcomeFound("p", "b1", CallAnswer{200, "text/plain", "booked"}, start);
    CHECK(find<CommitAction>(told) != nullptr);
    CHECK(successor.onOutcomeFound("p", "b1", CallAnswer{200, "", "another"}, start).empty());
    CHECK(successor.onOutcomeFound("p", "other", CallAnswer{200}, start).empty());
    const Actions again = successor.submit(10, Owned::request("b1", 1, false), OperatingMode::Normal, start);
    REQUIRE(find<DeliverAction>(again) != nullptr);
    CHECK(find<DeliverAction>(again)->outcome.value().body == "booked");
    CHECK(successor.findProgram("p")->isChainIntact());
}
