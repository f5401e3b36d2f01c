//! An instance that watches the key-value service over a link that fails, and the endpoints that it takes out of use.

#include "decision/endpointcatalog.h"
#include "decision/readingplan.h"
#include "decision/removaltrust.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <vector>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration tick = std::chrono::milliseconds(10);
constexpr Duration answerTime = std::chrono::milliseconds(4);
constexpr Duration confirmationLead = std::chrono::milliseconds(150);
constexpr std::size_t peerCount = 7;
constexpr Duration peerReadingInterval = std::chrono::milliseconds(900);
constexpr Duration reportTime = std::chrono::milliseconds(60);
constexpr Duration callTimeout = std::chrono::milliseconds(1000);
constexpr Duration maxSilence = std::chrono::milliseconds(1200);
constexpr Duration reregistrationTimeout = std::chrono::milliseconds(2500);
constexpr ReadingPlan::Limits planLimits{.interval = std::chrono::milliseconds(400),
                                         .jitter = std::chrono::milliseconds(200),
                                         .reportDelay = std::chrono::milliseconds(250),
                                         .minInterval = std::chrono::milliseconds(700),
                                         .attemptInterval = std::chrono::milliseconds(200),
                                         .attemptingPeers = 8,
                                         .maxUnderWay = 6};

//! What the platform allows: a removed endpoint may be used for so long, and by an instance for so long after its link has failed.
constexpr Duration drainTime = std::chrono::milliseconds(2000);
constexpr Duration contactTime = std::chrono::milliseconds(3000);

//! A removal that is trusted takes effect within this time.
constexpr Duration soon = std::chrono::milliseconds(100);

//! Within which live endpoints are registered again after an outage.
constexpr Duration returnTime = std::chrono::milliseconds(2000);

Time at(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

struct Span
{
    Time from{};
    Time to{};

    bool contains(Time time) const
    {
        return time >= this->from && time < this->to;
    }
};

bool anyContains(const std::vector<Span> &spans, Time time)
{
    return std::any_of(spans.begin(), spans.end(), [time](const Span &span) {
        return span.contains(time);
    });
}

EndpointEntry entry(const EndpointId &id)
{
    return EndpointEntry{EndpointSpec{id, "10.0.0.1:80", "a", 4, false}, "service", 1};
}

//! One instance that watches the service, whose link to it fails by itself or as the service does.
struct WatchingInstance
{
    //! Has the registration of \p id be present during \p spans.
    void present(const EndpointId &id, const std::vector<Span> &spans)
    {
        this->registered.emplace_back(id, spans);
    }

    bool reaches(Time time) const
    {
        return !anyContains(this->cuts, time) && !anyContains(this->outages, time);
    }

    //! Plays until \p end; \p eachTick is called with each time.
    void play(Time end, const std::function<void(Time now)> &eachTick)
    {
        this->load(start);
        this->lastReading = start;
        for (Time now = start; now < end; now += tick) {
            this->endReadings(now);
            this->deliverEvents(now);
            this->hearPeers(now);
            const Time latestReading = std::max(this->lastReading, this->peerContact);
            this->trust.onContact(latestReading, now);
            this->updateCatalog();
            ReadingPlan::Situation situation{.latestReading = latestReading, .peers = this->hasPeers ? peerCount : 0};
            if (const std::optional<Time> dropsAt = this->catalog.dropsMissingAt()) {
                situation.confirmAt = *dropsAt - confirmationLead;
            }
            if (this->plan.shouldBegin(situation, now)) {
                this->readings.push_back(now);
            }
            this->catalog.expire(now);
            eachTick(now);
        }
    }

    std::vector<Span> cuts{}; //!< The link of this instance to the service is cut.
    std::vector<Span> outages{}; //!< The service is unavailable to all.
    std::vector<Span> peersCut{}; //!< The links of all others to it are cut.
    std::vector<Span> peersUnheard{};
    bool hasPeers = false;
    bool watchLasts = true; //!< The watch goes on behind a cut.
    EndpointCatalog catalog{reregistrationTimeout};

private:
    //! The peers read one after the other, and report it soon after.
    void hearPeers(Time now)
    {
        if (!this->hasPeers) {
            return;
        }
        if ((now - start) % peerReadingInterval == Duration::zero() && !anyContains(this->outages, now) && !anyContains(this->peersCut, now)) {
            this->peersReadSince = now - this->peerReading > maxSilence ? now : this->peersReadSince;
            this->peerReading = now;
        }
        if (now - this->peerReading >= reportTime && !anyContains(this->peersUnheard, now)) {
            this->peerContact = this->peerReading;
            this->trust.onAvailable(this->peersReadSince, this->peerReading);
        }
    }

    bool isRegistered(const std::vector<Span> &spans, Time time) const
    {
        return anyContains(spans, time);
    }

    void updateCatalog()
    {
        const std::optional<Time> since = this->trust.availableSince();
        if (since) {
            this->catalog.onServiceRecovered(*since);
        } else {
            this->catalog.onServiceUnavailable();
        }
    }

    void endReadings(Time now)
    {
        std::vector<Time> left;
        for (const Time askedAt : this->readings) {
            const bool answered = this->reaches(askedAt) && this->reaches(askedAt + answerTime);
            if (now < askedAt + (answered ? answerTime : callTimeout)) {
                left.push_back(askedAt);
                continue;
            }
            if (answered) {
                this->trust.onAnswered(now);
                this->updateCatalog();
                this->load(now);
                this->lastReading = askedAt;
            } else {
                this->trust.onFailed(askedAt);
                this->updateCatalog();
            }
            this->plan.onEnded(askedAt, answered);
        }
        this->readings = left;
    }

    void load(Time now)
    {
        std::vector<EndpointEntry> entries;
        for (const auto &[id, spans] : this->registered) {
            if (this->isRegistered(spans, now)) {
                entries.push_back(entry(id));
            }
        }
        this->catalog.replace(entries, now);
    }

    //! What the watch reports, at once or when the link is back.
    void deliverEvents(Time now)
    {
        if (!this->watchLasts || !this->reaches(now)) {
            return;
        }
        for (const auto &[id, spans] : this->registered) {
            const bool isPresent = this->isRegistered(spans, now);
            if (isPresent == this->isRegistered(spans, this->reportedAt)) {
                continue;
            }
            if (isPresent) {
                this->catalog.put(entry(id));
            } else {
                this->catalog.remove(id, now);
            }
        }
        this->reportedAt = now;
    }

    std::vector<std::pair<EndpointId, std::vector<Span>>> registered;
    RemovalTrust trust{maxSilence};
    ReadingPlan plan{planLimits, 1};
    std::vector<Time> readings{}; //!< When those under way were asked.
    Time lastReading{};
    Time peersReadSince{}; //!< Since when the peers have read without interruption.
    Time peerReading{}; //!< Their latest reading.
    Time peerContact{}; //!< The latest one that this instance knows.
    Time reportedAt = start - tick;
};

//! Returns when \p instance ceases to use the endpoint "left", whose registration is removed at \p removedAt. Another one stays.
Time lastUseOfRemoved(WatchingInstance &instance, Time removedAt)
{
    instance.present("left", {Span{Time{}, removedAt}});
    instance.present("stays", {Span{Time{}, Time::max()}});
    Time lastUse{};
    instance.play(removedAt + std::chrono::seconds(8), [&instance, &lastUse](Time now) {
        if (instance.catalog.find("left") != nullptr) {
            lastUse = now;
        }
    });
    CHECK(instance.catalog.find("stays") != nullptr);
    return lastUse;
}

} // namespace

// Guards against an own cut that is taken for an outage that ends late, once more with each event and reading behind it.
TEST_CASE("Removals: behind a cut of its link an instance uses a removed endpoint no longer than it may")
{
    for (int endMs = 4000; endMs < 5200; endMs += 50) {
        for (const int removedAfterMs : {-1000, 50, 400, 800, 1500}) {
            for (const bool watchLasts : {true, false}) {
                const Time cutEnd = at(endMs);
                const Time removedAt = cutEnd + std::chrono::milliseconds(removedAfterMs);
                CAPTURE(endMs);
                CAPTURE(removedAfterMs);
                CAPTURE(watchLasts);
                WatchingInstance instance;
                instance.cuts = {Span{at(500), cutEnd}};
                instance.watchLasts = watchLasts;
                CHECK(lastUseOfRemoved(instance, removedAt) <= std::max(removedAt + drainTime, cutEnd + contactTime));
            }
        }
    }
}

// Guards against the same where peers that were not heard during the cut have read all the time.
TEST_CASE("Removals: behind a cut from the service and from the peers an instance uses a removed endpoint no longer than it may")
{
    for (int endMs = 4000; endMs < 5200; endMs += 50) {
        CAPTURE(endMs);
        WatchingInstance instance;
        instance.cuts = {Span{at(500), at(endMs)}};
        instance.peersUnheard = instance.cuts;
        instance.hasPeers = true;
        // The peers' first reports behind the cut say that the service was there all the time.
        CHECK(lastUseOfRemoved(instance, at(endMs + 800)) <= at(endMs + 800) + soon);
    }
}

TEST_CASE("Removals: an instance whose link fails before those of all others uses a removed endpoint no longer than it may")
{
    for (int endMs = 4000; endMs < 5200; endMs += 50) {
        CAPTURE(endMs);
        WatchingInstance instance;
        instance.cuts = {Span{at(500), at(endMs)}};
        instance.peersCut = {Span{at(endMs + 300), at(endMs + 6000)}};
        instance.hasPeers = true;
        CHECK(lastUseOfRemoved(instance, at(endMs + 800)) <= at(endMs + 800) + drainTime);
    }
}

TEST_CASE("Removals: while peers that are heard go on reading, an instance that is cut off uses a removed endpoint no longer than it may")
{
    for (int endMs = 4000; endMs < 5200; endMs += 50) {
        CAPTURE(endMs);
        WatchingInstance instance;
        instance.cuts = {Span{at(500), at(endMs)}};
        instance.hasPeers = true;
        CHECK(lastUseOfRemoved(instance, at(endMs + 800)) <= at(endMs + 800) + soon);
    }
}

namespace {

//! Returns how long \p instance lacks the endpoint "lapsed", whose registration is missing during \p missing.
Duration timeWithout(WatchingInstance &instance, const std::vector<Span> &present, Time end)
{
    instance.present("lapsed", present);
    Duration without{};
    instance.play(end, [&instance, &without](Time now) {
        const bool isKnown = instance.catalog.find("lapsed") != nullptr;
        without += isKnown || now < at(400) ? Duration::zero() : tick;
    });
    return without;
}

} // namespace

// The other side: endpoints whose registrations lapsed in an outage are alive, and stay in use until they are registered again.
TEST_CASE("Removals: an endpoint whose registration lapsed in an outage for all stays in use")
{
    for (int endMs = 4000; endMs < 5200; endMs += 50) {
        for (const bool watchLasts : {true, false}) {
            CAPTURE(endMs);
            CAPTURE(watchLasts);
            WatchingInstance instance;
            instance.outages = {Span{at(500), at(endMs)}};
            instance.hasPeers = true;
            instance.watchLasts = watchLasts;
            CHECK(timeWithout(instance, {Span{Time{}, at(3500)}, Span{at(endMs) + returnTime, Time::max()}}, at(12000)) == Duration::zero());
        }
    }
}

TEST_CASE("Removals: an endpoint whose registration lapsed in an outage that began within a cut stays in use")
{
    for (int endMs = 6000; endMs < 7200; endMs += 50) {
        for (const bool hasPeers : {true, false}) {
            CAPTURE(endMs);
            CAPTURE(hasPeers);
            WatchingInstance instance;
            instance.cuts = {Span{at(500), at(4000)}};
            instance.peersUnheard = instance.cuts;
            instance.outages = {Span{at(2000), at(endMs)}};
            instance.hasPeers = hasPeers;
            CHECK(timeWithout(instance, {Span{Time{}, at(5500)}, Span{at(endMs) + returnTime, Time::max()}}, at(14000)) == Duration::zero());
        }
    }
}

TEST_CASE("Removals: an endpoint whose registration lapsed in the second of two outages stays in use")
{
    for (int endMs = 8000; endMs < 9200; endMs += 50) {
        CAPTURE(endMs);
        WatchingInstance instance;
        instance.outages = {Span{at(500), at(3500)}, Span{at(4500), at(endMs)}};
        CHECK(timeWithout(instance, {Span{Time{}, at(3300)}, Span{at(endMs) + returnTime, Time::max()}}, at(14000)) == Duration::zero());
    }
}

// Guards against an instance that never trusts removals again, and so hands none on, because its last own call failed before it ceased to read.
TEST_CASE("Removals: an instance that ceases to read the service while that is away trusts removals again")
{
    RemovalTrust trust(maxSilence);
    trust.onAnswered(at(0));
    trust.onFailed(at(1000));
    trust.onContact(at(0), at(3000));
    CHECK_FALSE(trust.availableSince());
    trust.onReliesOnPeers(at(4000));
    REQUIRE(trust.availableSince());
    CHECK(*trust.availableSince() == at(4000));
    // Without a suspicion it changes nothing.
    trust.onReliesOnPeers(at(9000));
    CHECK(*trust.availableSince() == at(4000));
}
