//! Second sends of requests that may be repeated: a few slow answers among fast ones.

#include "decision/hedgeplan.h"
#include "decision/retryplan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};

//! How long the callers of a service waited, and how much work its endpoints had.
struct Outcome
{
    double usual = 0.0; //!< Time within which 95 in 100 were answered, in seconds.
    double slowest = 0.0; //!< The same for 99 in 100.
    double furtherSends = 0.0; //!< For each request.
};

//! Plays requests of which one in thirty meets an endpoint in a slow moment.
Outcome play(double share, double occupancy, std::uint64_t seed)
{
    constexpr int requestCount = 20'000;
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> usual(std::log(0.03), 0.3);
    const auto answerTime = [&]() {
        return usual(random) * (random() % 30 == 0 ? 8.0 : 1.0);
    };
    HedgePlan plan(share);
    std::vector<double> times;
    int further = 0;
    for (int request = 0; request < requestCount; ++request) {
        const Time now = start + std::chrono::milliseconds(5) * request;
        plan.onSent(now);
        double took = answerTime();
        const std::optional<Duration> delay = plan.delay();
        if (delay && took > toSeconds(*delay) && plan.take(occupancy, now)) {
            further += 1;
            took = std::min(took, toSeconds(*delay) + answerTime());
        }
        plan.onAnswered(fromSeconds(took));
        times.push_back(took);
    }
    std::sort(times.begin(), times.end());
    return Outcome{times[times.size() * 95 / 100], times[times.size() * 99 / 100], static_cast<double>(further) / requestCount};
}

} // namespace

TEST_CASE("Hedges: the slowest answers are cut within the operator's bound of further work")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const Outcome without = play(0.0, 0.2, seed);
        const Outcome with = play(0.05, 0.2, seed);
        CHECK(without.furtherSends == 0.0);
        CHECK(with.furtherSends > 0.0);
        CHECK(with.furtherSends <= 0.05);
        // A second send waits as long as 95 in 100 answers take, and takes about as long again.
        CHECK(without.slowest > 2.0 * without.usual);
        CHECK(with.slowest <= 2.0 * without.usual);
    }
}

// Guards against second sends that take the place of first ones.
TEST_CASE("Hedges: nothing is sent a second time in a crest")
{
    CHECK(play(0.05, 0.5, 1).furtherSends == 0.0);
    CHECK(play(0.05, 2.0, 1).furtherSends == 0.0);
}

TEST_CASE("Hedges: a plan waits until it knows the answers of its service, and follows them")
{
    HedgePlan plan(0.1);
    for (int answer = 0; answer < 49; ++answer) {
        plan.onAnswered(std::chrono::milliseconds(10));
    }
    CHECK_FALSE(plan.delay());
    plan.onAnswered(std::chrono::milliseconds(10));
    REQUIRE(plan.delay());
    CHECK(*plan.delay() < std::chrono::milliseconds(11));
    for (int answer = 0; answer < 400; ++answer) {
        plan.onAnswered(std::chrono::milliseconds(80));
    }
    CHECK(*plan.delay() > std::chrono::milliseconds(70));
}

TEST_CASE("Hedges: a request that was sent to two endpoints is not sent to a third one beyond its route's limit")
{
    RetryPlan plan(RouteKind::Idempotent, false, 2);
    plan.onFurtherSend("a");
    plan.onFurtherSend("b");
    SendReport failed;
    failed.endpoint = "b";
    failed.outcome = SendOutcome::Answered;
    failed.endpointFailed = true;
    CHECK(plan.mayHaveRun());
    CHECK(plan.after(failed) == NextStep::Deliver);
    RetryPlan broken(RouteKind::Idempotent, false, 2);
    broken.onFurtherSend("a");
    broken.onFurtherSend("b");
    CHECK(broken.after(SendReport{"b", SendOutcome::Broken}) == NextStep::TrySame);
}
