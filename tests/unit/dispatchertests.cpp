#include "decision/dispatcher.h"
#include "decision/endpointhash.h"

#include <doctest/doctest.h>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

QueuedCall call(CallId id, const std::string &program)
{
    QueuedCall queued{id, program};
    queued.resumable = true;
    queued.promptTokens = 2000;
    queued.maxTokens = 100;
    queued.programStart = start;
    queued.deadline = start + std::chrono::minutes(5);
    queued.programDeadline = queued.deadline;
    return queued;
}

std::vector<EndpointSpec> twoEndpoints(std::uint32_t slots)
{
    return {EndpointSpec{"a", {}, {}, slots}, EndpointSpec{"b", {}, {}, slots}};
}

} // namespace

TEST_CASE("Calls wait while every endpoint is full and are sent in order")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints(twoEndpoints(1));
    for (CallId id = 1; id <= 3; ++id) {
        REQUIRE(dispatcher.enqueue(call(id, "p" + std::to_string(id)), start + std::chrono::milliseconds(id)));
    }
    CHECK(dispatcher.next(start)->call == 1);
    CHECK(dispatcher.next(start)->call == 2);
    CHECK_FALSE(dispatcher.next(start));
    dispatcher.onFinished(1, true, start);
    CHECK(dispatcher.next(start)->call == 3);
}

TEST_CASE("A program's next call is sent to the endpoint that has its prefix cached")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints(twoEndpoints(8));
    REQUIRE(dispatcher.enqueue(call(1, "p"), start));
    const auto first = dispatcher.next(start);
    REQUIRE(first);
    dispatcher.onProgress(1, 1, start + std::chrono::milliseconds(400));
    dispatcher.onFinished(1, true, start + std::chrono::seconds(1));
    for (CallId id = 2; id <= 6; ++id) {
        REQUIRE(dispatcher.enqueue(call(id, "p"), start + std::chrono::seconds(2)));
        const auto next = dispatcher.next(start + std::chrono::seconds(2));
        REQUIRE(next);
        CHECK(next->endpoint.id == first->endpoint.id);
        CHECK(next->expectsCache);
        dispatcher.onFinished(id, true, start + std::chrono::seconds(3));
    }
}

TEST_CASE("Endpoints that are leaving or no longer listed get no calls")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::ShortCalls), 1);
    std::vector<EndpointSpec> specs = twoEndpoints(4);
    specs[0].leaving = true;
    dispatcher.setEndpoints(specs);
    for (CallId id = 1; id <= 4; ++id) {
        REQUIRE(dispatcher.enqueue(call(id, "p" + std::to_string(id)), start));
        CHECK(dispatcher.next(start)->endpoint.id == "b");
    }
    REQUIRE(dispatcher.enqueue(call(9, "p9"), start));
    CHECK_FALSE(dispatcher.next(start));
    dispatcher.setEndpoints({specs[0]});
    CHECK_FALSE(dispatcher.enqueue(call(10, "p10"), start));
}

TEST_CASE("A long stream is interrupted in favour of a waiting short call and resumed after it")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::ShortCalls), 1);
    dispatcher.setEndpoints({EndpointSpec{"a", {}, {}, 1}});
    REQUIRE(dispatcher.enqueue(call(1, "long"), start));
    REQUIRE(dispatcher.next(start));
    dispatcher.onProgress(1, 1, start + std::chrono::milliseconds(500));
    const Time later = start + std::chrono::seconds(10);
    dispatcher.onProgress(1, 300, later);
    CHECK(dispatcher.interruptions(later).empty());
    REQUIRE(dispatcher.enqueue(call(2, "short"), later));
    const auto interruptions = dispatcher.interruptions(later);
    REQUIRE(interruptions.size() == 1);
    CHECK(interruptions.front().call == 1);
    dispatcher.onInterrupted(1, 301, later);
    CHECK(dispatcher.next(later)->call == 2);
    dispatcher.onFinished(2, true, later);
    CHECK(dispatcher.next(later)->call == 1);
}

TEST_CASE("A new program that would miss its deadline is refused, a running program is not")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints({EndpointSpec{"a", {}, {}, 1}});
    QueuedCall known = call(1, "known");
    REQUIRE(dispatcher.enqueue(known, start));
    REQUIRE(dispatcher.next(start));
    for (CallId id = 2; id < 40; ++id) {
        QueuedCall other = call(id, "p" + std::to_string(id));
        other.deadline = start + std::chrono::hours(1);
        other.programDeadline = other.deadline;
        REQUIRE(dispatcher.enqueue(other, start));
    }
    QueuedCall late = call(50, "late");
    late.programDeadline = start + std::chrono::seconds(20);
    const Result<void> refused = dispatcher.enqueue(late, start);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::Overloaded);
    CHECK(refused.error().executed == Executed::No);
    CHECK(refused.error().retryAfter.has_value());
    known.call = 51;
    known.programDeadline = late.programDeadline;
    CHECK(dispatcher.enqueue(known, start));
}

TEST_CASE("A short deadline of a call does not lead to the refusal of its program")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints(twoEndpoints(1));
    QueuedCall urgent = call(1, "p");
    urgent.deadline = start + std::chrono::seconds(1);
    CHECK(dispatcher.enqueue(urgent, start));
}

TEST_CASE("A call that no endpoint may serve is refused at once instead of waiting until its deadline")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints(twoEndpoints(4));
    QueuedCall refusedTwice = call(1, "p1");
    refusedTwice.avoid = {"a", "b"};
    CHECK(dispatcher.enqueue(refusedTwice, start).error().code == ErrorCode::NoEndpoint);
    QueuedCall bound = call(2, "p2");
    bound.requiredEndpoint = "gone";
    CHECK(dispatcher.enqueue(bound, start).error().code == ErrorCode::NoEndpoint);
    bound.requiredEndpoint = "b";
    REQUIRE(dispatcher.enqueue(bound, start));
    CHECK(dispatcher.next(start)->endpoint.id == "b");
}

// Guards against requests that may have run at an endpoint and are sent there again although it is leaving.
TEST_CASE("A call that needs an endpoint that is leaving or gone is not placed there")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    std::vector<EndpointSpec> endpoints = twoEndpoints(4);
    dispatcher.setEndpoints(endpoints);
    QueuedCall bound = call(1, "p");
    bound.requiredEndpoint = endpoints.front().id;
    REQUIRE(dispatcher.enqueue(bound, start));
    CHECK(dispatcher.mayServe(1));
    CHECK(dispatcher.takesCalls(bound.requiredEndpoint));
    endpoints.front().leaving = true;
    dispatcher.setEndpoints(endpoints);
    CHECK_FALSE(dispatcher.next(start));
    CHECK_FALSE(dispatcher.mayServe(1));
    CHECK_FALSE(dispatcher.takesCalls(bound.requiredEndpoint));
    bound.call = 2;
    CHECK(dispatcher.enqueue(bound, start).error().code == ErrorCode::NoEndpoint);
    dispatcher.setEndpoints({endpoints.back()});
    CHECK(dispatcher.enqueue(bound, start).error().code == ErrorCode::NoEndpoint);
}

TEST_CASE("A call that only a full endpoint may serve does not block the calls behind it")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints(twoEndpoints(1));
    REQUIRE(dispatcher.enqueue(call(1, "p1"), start));
    const EndpointId taken = dispatcher.next(start)->endpoint.id;
    QueuedCall bound = call(2, "p2");
    bound.avoid = {taken == "a" ? "b" : "a"};
    REQUIRE(dispatcher.enqueue(bound, start));
    REQUIRE(dispatcher.enqueue(call(3, "p3"), start + Duration(1)));
    CHECK(dispatcher.next(start + Duration(1))->call == 3);
}

TEST_CASE("A local endpoint is chosen unless a remote one is clearly less loaded")
{
    PolicyOptions options = policyFor(PolicyGoal::Programs);
    options.placement = PlacementRule::LeastOutstanding;
    options.remoteLoadPenalty = 0.34;
    Dispatcher dispatcher(options, 1);
    dispatcher.setLocalDomain("here");
    dispatcher.setEndpoints({EndpointSpec{"local", {}, "here", 6}, EndpointSpec{"remote", {}, "there", 6}});
    std::vector<EndpointId> chosen;
    for (CallId id = 1; id <= 4; ++id) {
        REQUIRE(dispatcher.enqueue(call(id, "p" + std::to_string(id)), start));
        chosen.push_back(dispatcher.next(start)->endpoint.id);
    }
    CHECK(chosen == std::vector<EndpointId>{"local", "local", "local", "remote"});
}

TEST_CASE("Calls of other instances count as load of an endpoint")
{
    PolicyOptions options = policyFor(PolicyGoal::Programs);
    options.placement = PlacementRule::LeastOutstanding;
    Dispatcher dispatcher(options, 1);
    dispatcher.setEndpoints(twoEndpoints(6));
    dispatcher.setPeerCalls({{endpointHash("a"), 3}});
    REQUIRE(dispatcher.enqueue(call(1, "p1"), start));
    CHECK(dispatcher.next(start)->endpoint.id == "b");
    CHECK(dispatcher.ownCalls().at("b") == 1);
}

// Guards against endpoints that keep calls of others which have ended: the totals name only those that have some.
TEST_CASE("The calls of other instances are replaced at all endpoints, and an endpoint that the totals lack has none")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints({EndpointSpec{"a", {}, {}, 6}});
    const auto countedAtPlacement = [&dispatcher](CallId id) {
        REQUIRE(dispatcher.enqueue(call(id, "p" + std::to_string(id)), start));
        return dispatcher.next(start)->peerCalls;
    };
    dispatcher.setPeerCalls({{endpointHash("a"), 3}, {endpointHash("b"), 2}});
    CHECK(countedAtPlacement(1) == 3);
    dispatcher.setPeerCalls({{endpointHash("b"), 2}});
    CHECK(countedAtPlacement(2) == 0);
}

TEST_CASE("A placement states the counts that decided it, so that a late call can be explained afterwards")
{
    PolicyOptions options = policyFor(PolicyGoal::Programs);
    Dispatcher dispatcher(options, 1);
    dispatcher.setEndpoints({EndpointSpec{"a", {}, {}, 6}});
    dispatcher.setPeerCalls({{endpointHash("a"), 3}});
    QueuedCall first = call(1, "p");
    first.promptParts = {PromptPart{"x", 1500}, PromptPart{"y", 500}};
    REQUIRE(dispatcher.enqueue(first, start));
    const auto placed = dispatcher.next(start);
    CHECK(placed->ownCalls == 0);
    CHECK(placed->peerCalls == 3);
    CHECK(placed->cachedTokens == 0);
    QueuedCall second = call(2, "p");
    second.promptParts = first.promptParts;
    REQUIRE(dispatcher.enqueue(second, start));
    const auto next = dispatcher.next(start);
    CHECK(next->ownCalls == 1);
    CHECK(next->cachedTokens == 2000);
}

// Guards against calls that queue up behind an endpoint in need while another one is free.
TEST_CASE("A call that the rate limit of its endpoint declines goes elsewhere, and knows of no prefix at the first one")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    dispatcher.setEndpoints(twoEndpoints(4));
    dispatcher.setRateLimits({{"a", 10.0}, {"b", 10.0}}, 1);
    REQUIRE(dispatcher.enqueue(call(1, "p"), start));
    const auto first = dispatcher.next(start);
    REQUIRE(first);
    dispatcher.onDeclined(1, start + std::chrono::milliseconds(300));
    CHECK(dispatcher.runningCount() == 0);
    CHECK(dispatcher.ownCalls().empty());
    REQUIRE(dispatcher.enqueue(call(2, "p"), start));
    const auto second = dispatcher.next(start);
    REQUIRE(second);
    CHECK(second->endpoint.id != first->endpoint.id);
    CHECK_FALSE(second->expectsCache);
    dispatcher.onDeclined(2, start + std::chrono::milliseconds(500));
    REQUIRE(dispatcher.enqueue(call(3, "p"), start));
    CHECK_FALSE(dispatcher.next(start));
    CHECK(dispatcher.nextUnblock(start) == start + std::chrono::milliseconds(300));
    CHECK_FALSE(dispatcher.next(start + std::chrono::milliseconds(299)));
    const auto third = dispatcher.next(start + std::chrono::milliseconds(300));
    REQUIRE(third);
    CHECK(third->endpoint.id == first->endpoint.id);
}

TEST_CASE("A call that needs one endpoint waits for its rate limit, and others are placed meanwhile")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::ShortCalls), 1);
    dispatcher.setEndpoints(twoEndpoints(4));
    dispatcher.setRateLimits({{"a", 2.0}}, 1);
    QueuedCall bound = call(1, "p");
    bound.requiredEndpoint = "a";
    REQUIRE(dispatcher.enqueue(bound, start));
    REQUIRE(dispatcher.next(start));
    dispatcher.onDeclined(1, start + std::chrono::milliseconds(400));
    bound.call = 2;
    REQUIRE(dispatcher.enqueue(bound, start));
    REQUIRE(dispatcher.enqueue(call(3, "q"), start));
    const auto next = dispatcher.next(start);
    REQUIRE(next);
    CHECK(next->call == 3);
    CHECK(next->endpoint.id == "b");
    CHECK(dispatcher.next(start + std::chrono::milliseconds(400))->call == 2);
}

TEST_CASE("Permits of one endpoint are requested one after the other, and a lifted limit blocks no more")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::ShortCalls), 1);
    dispatcher.setEndpoints({EndpointSpec{"a", {}, {}, 8}});
    dispatcher.setRateLimits({{"a", 10.0}}, 1);
    REQUIRE(dispatcher.enqueue(call(1, "p"), start));
    REQUIRE(dispatcher.enqueue(call(2, "q"), start));
    REQUIRE(dispatcher.next(start));
    CHECK_FALSE(dispatcher.next(start));
    dispatcher.setRateLimits({}, 1);
    CHECK(dispatcher.next(start));
}

TEST_CASE("The predicted wait follows from what rate limits leave to this instance")
{
    Dispatcher dispatcher(policyFor(PolicyGoal::ShortCalls), 1);
    dispatcher.setEndpoints({EndpointSpec{"a", {}, {}, 8}});
    for (CallId id = 1; id <= 6; ++id) {
        REQUIRE(dispatcher.enqueue(call(id, "p" + std::to_string(id)), start));
    }
    const Duration unlimited = dispatcher.predictedWait();
    CHECK(unlimited == dispatcher.meanServiceTime() * 6 / 8);
    dispatcher.setRateLimits({{"a", 2.0}}, 4);
    CHECK(dispatcher.predictedWait() == std::chrono::seconds(12));
}

// Guards against streams joined from two software versions: calls with a required version wait for it, whatever else is free.
TEST_CASE("A call that requires a software version goes to no other, and is refused when none is left")
{
    for (const PlacementRule rule : {PlacementRule::RoundRobin, PlacementRule::CacheAffine, PlacementRule::LeastOutstanding, PlacementRule::Estimated}) {
        PolicyOptions options;
        options.placement = rule;
        options.admissionControl = false;
        Dispatcher dispatcher(options, 1);
        const auto specs = [](bool leaving) {
            return std::vector<EndpointSpec>{
                EndpointSpec{"old", {}, {}, 2, leaving, "v1"}, EndpointSpec{"new", {}, {}, 8, false, "v2"}, EndpointSpec{"newer", {}, {}, 8, false, "v3"}};
        };
        dispatcher.setEndpoints(specs(false));
        for (CallId call = 1; call <= 6; ++call) {
            QueuedCall queued;
            queued.call = call;
            queued.program = "p" + std::to_string(call);
            queued.promptParts = {PromptPart{"a", 10}, PromptPart{queued.program, 10}};
            queued.promptTokens = 20;
            queued.deadline = Time(std::chrono::seconds(100));
            queued.programDeadline = queued.deadline;
            queued.requiredVersion = "v1";
            REQUIRE(dispatcher.enqueue(queued, Time(std::chrono::seconds(1))));
        }
        std::size_t placed = 0;
        while (const std::optional<Placement> placement = dispatcher.next(Time(std::chrono::seconds(1)))) {
            CHECK(placement->endpoint.id == "old");
            placed += 1;
        }
        CHECK(placed > 0);
        CHECK(dispatcher.takesCalls("v1", {}, Time(std::chrono::seconds(1))));
        CHECK_FALSE(dispatcher.takesCalls("v1", {"old"}, Time(std::chrono::seconds(1))));
        dispatcher.setEndpoints(specs(true));
        QueuedCall late;
        late.call = 7;
        late.program = "late";
        late.requiredVersion = "v1";
        CHECK_FALSE(dispatcher.enqueue(late, Time(std::chrono::seconds(1))));
        CHECK_FALSE(dispatcher.takesCalls("v1", {}, Time(std::chrono::seconds(1))));
    }
}

// Guards against streams joined from two software versions when the dispatcher itself moves one.
TEST_CASE("A stream that has begun is not interrupted for another software version")
{
    PolicyOptions options;
    options.admissionControl = false;
    options.migrate = true;
    Dispatcher dispatcher(options, 1);
    dispatcher.setEndpoints({EndpointSpec{"old", {}, {}, 1, false, "v1"}, EndpointSpec{"new", {}, {}, 1, false, "v2"}});
    QueuedCall queued;
    queued.call = 1;
    queued.program = "p";
    queued.resumable = true;
    queued.deadline = Time(std::chrono::hours(1));
    queued.programDeadline = queued.deadline;
    queued.requiredVersion = "v1";
    const Time start(std::chrono::seconds(1));
    REQUIRE(dispatcher.enqueue(queued, start));
    REQUIRE(dispatcher.next(start));
    dispatcher.onProgress(1, 1, start + std::chrono::milliseconds(20));
    CHECK(dispatcher.interruptions(start + std::chrono::minutes(5)).empty());
    dispatcher.setEndpoints(
        {EndpointSpec{"old", {}, {}, 1, false, "v1"}, EndpointSpec{"new", {}, {}, 1, false, "v2"}, EndpointSpec{"old-too", {}, {}, 1, false, "v1"}});
    REQUIRE(dispatcher.interruptions(start + std::chrono::minutes(5)).size() == 1);
    dispatcher.onInterrupted(1, 1, start + std::chrono::minutes(5));
    const std::optional<Placement> moved = dispatcher.next(start + std::chrono::minutes(5));
    REQUIRE(moved);
    CHECK(moved->endpoint.id == "old-too");
}

// Guards against an instance that sends all its streams to one of many idle endpoints, since it was the first that turned out to be faster than assumed.
TEST_CASE("Streams in series spread over idle equal endpoints")
{
    constexpr std::size_t endpointCount = 6;
    constexpr CallId streams = 48;
    Dispatcher dispatcher(policyFor(PolicyGoal::Programs), 1);
    std::vector<EndpointSpec> specs;
    for (std::size_t index = 0; index < endpointCount; ++index) {
        specs.push_back(EndpointSpec{"e" + std::to_string(index), {}, {}, 8});
    }
    dispatcher.setEndpoints(specs);
    std::map<EndpointId, int> counts;
    Time now = start;
    for (CallId id = 1; id <= streams; ++id) {
        QueuedCall queued = call(id, "p" + std::to_string(id));
        queued.branch = "b" + std::to_string(id);
        REQUIRE(dispatcher.enqueue(queued, now));
        const auto placed = dispatcher.next(now);
        REQUIRE(placed);
        counts[placed->endpoint.id] += 1;
        for (int event = 0; event < 6; ++event) {
            now += std::chrono::milliseconds(1);
            dispatcher.onProgress(id, 10, now);
        }
        dispatcher.onFinished(id, true, now);
    }
    CHECK(counts.size() == endpointCount);
    for (const auto &entry : counts) {
        CAPTURE(entry.first);
        CHECK(entry.second <= static_cast<int>(streams) / 2);
    }
}
