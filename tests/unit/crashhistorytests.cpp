//! Requests that end each endpoint that runs them, among requests that only run at an endpoint when it ends.

#include "decision/crashhistory.h"
#include "decision/peertable.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace oleandergate;

namespace {

constexpr Time start{std::chrono::hours(1)};
constexpr Duration tick = std::chrono::milliseconds(10);
constexpr Duration reportInterval = std::chrono::milliseconds(50);
constexpr Duration endpointDowntime = std::chrono::seconds(3);
constexpr Duration timeToCrash = std::chrono::milliseconds(100);
constexpr Duration callerPatience = std::chrono::seconds(4);

//! Within this time after the third crash every instance has to know of it.
constexpr Duration contactBound = std::chrono::seconds(3);

constexpr RequestFingerprint deadly = 1;
constexpr RequestFingerprint popular = 2;
constexpr std::size_t recordsPerReport = 16;

//! By this time after its latest crash a suspect may run isolated.
constexpr Duration isolationTime = std::chrono::milliseconds(700);

//! Instances before endpoints: requests arrive at random instances, run for a while, and run again elsewhere when their endpoint ends.
class CrashingEndpoints
{
public:
    CrashingEndpoints(std::size_t instances, std::size_t endpoints, std::uint64_t seed)
        : random(seed)
        , upFrom(endpoints, Time{})
    {
        for (std::size_t instance = 0; instance < instances; ++instance) {
            this->histories.emplace_back(instance);
        }
    }

    void arrive(RequestFingerprint request, Time now)
    {
        const auto duration = std::chrono::milliseconds(std::uniform_int_distribution<int>(100, 500)(this->random));
        this->requests.push_back(Request{request, this->random() % this->histories.size(), now + callerPatience, duration});
    }

    //! Ends \p endpoint and every run on it.
    void crash(std::size_t endpoint, Time now)
    {
        this->upFrom[endpoint] = now + endpointDowntime;
        bool causedByDeadly = false;
        for (Request &request : this->requests) {
            if (request.running && request.endpoint == endpoint) {
                causedByDeadly = causedByDeadly || request.fingerprint == deadly;
                this->histories[request.instance].onCrashed(request.fingerprint, static_cast<std::uint32_t>(endpoint), request.startedAt, now);
                request.running = false;
            }
        }
        if (causedByDeadly) {
            this->deadlyCrashes.push_back(now);
        }
    }

    void step(Time now)
    {
        if ((now - start) % reportInterval == Duration::zero()) {
            this->exchangeReports(now);
        }
        for (Request &request : this->requests) {
            this->advance(request, now);
        }
        std::erase_if(this->requests, [](const Request &request) {
            return request.ended;
        });
    }

    std::size_t randomEndpoint()
    {
        return this->random() % this->upFrom.size();
    }

    CrashHistory &history(std::size_t instance)
    {
        return this->histories[instance];
    }

    std::map<RequestFingerprint, std::size_t> refused{};
    std::size_t innocentServed = 0;
    std::size_t innocentMissed = 0;
    std::vector<Time> deadlyCrashes{};
    std::vector<Time> deadlyRuns{};

private:
    struct Request
    {
        RequestFingerprint fingerprint = 0;
        std::size_t instance = 0;
        Time deadline{};
        Duration duration{};
        bool running = false;
        bool ended = false;
        std::size_t endpoint = 0;
        Time startedAt{};
    };

    void exchangeReports(Time now)
    {
        for (std::size_t sender = 0; sender < this->histories.size(); ++sender) {
            const std::vector<CrashRecord> records = this->histories[sender].nextReport(recordsPerReport);
            const std::vector<SuspectRun> runs = this->histories[sender].suspectRuns(recordsPerReport);
            for (std::size_t receiver = 0; receiver < this->histories.size(); ++receiver) {
                if (receiver == sender) {
                    continue;
                }
                for (const CrashRecord &record : records) {
                    this->histories[receiver].merge(record, now);
                }
                this->histories[receiver].setRemoteRuns(std::to_string(sender), runs, now);
            }
        }
    }

    void advance(Request &request, Time now)
    {
        CrashHistory &history = this->histories[request.instance];
        if (request.running && request.fingerprint == deadly && now >= request.startedAt + timeToCrash) {
            this->crash(request.endpoint, now);
        } else if (request.running && request.fingerprint != deadly && now >= request.startedAt + request.duration) {
            history.onCompleted(request.fingerprint, static_cast<std::uint32_t>(request.endpoint), now);
            request.running = false;
            request.ended = true;
            this->innocentServed += 1;
        }
        if (request.running || request.ended) {
            return;
        }
        const RunAdmission admission = history.admit(request.fingerprint, now);
        if (admission.verdict == RunVerdict::Refused) {
            this->refused[request.fingerprint] += 1;
            request.ended = true;
        } else if (now > request.deadline) {
            this->innocentMissed += request.fingerprint == deadly ? 0 : 1;
            request.ended = true;
        } else if (admission.verdict != RunVerdict::Wait) {
            this->run(request, admission.verdict == RunVerdict::AllowedIsolated, now);
        }
    }

    void run(Request &request, bool isolated, Time now)
    {
        const std::set<std::uint32_t> taken = this->histories[request.instance].isolatedEndpoints(now);
        std::vector<std::size_t> usable;
        for (std::size_t endpoint = 0; endpoint < this->upFrom.size(); ++endpoint) {
            if (now >= this->upFrom[endpoint] && !taken.contains(static_cast<std::uint32_t>(endpoint))) {
                usable.push_back(endpoint);
            }
        }
        if (usable.empty()) {
            return;
        }
        std::shuffle(usable.begin(), usable.end(), this->random);
        if (isolated) {
            std::stable_sort(usable.begin(), usable.end(), [this](std::size_t left, std::size_t right) {
                return this->runsAt(left) < this->runsAt(right);
            });
        }
        request.running = true;
        request.endpoint = usable.front();
        request.startedAt = now;
        this->histories[request.instance].onStarted(request.fingerprint, static_cast<std::uint32_t>(request.endpoint));
        if (request.fingerprint == deadly) {
            this->deadlyRuns.push_back(now);
        }
    }

    std::size_t runsAt(std::size_t endpoint) const
    {
        return static_cast<std::size_t>(std::count_if(this->requests.begin(), this->requests.end(), [endpoint](const Request &request) {
            return request.running && request.endpoint == endpoint;
        }));
    }

    std::mt19937_64 random;
    std::vector<CrashHistory> histories;
    std::vector<Time> upFrom;
    std::deque<Request> requests{};
};

constexpr std::uint64_t seedCount = 20;
constexpr Duration unitInterval = std::chrono::milliseconds(30);
constexpr Duration deadlyInterval = std::chrono::milliseconds(250);
constexpr Duration simulated = std::chrono::seconds(25);

bool isDue(Duration interval, Time now)
{
    return (now - start) % interval == Duration::zero();
}

} // namespace

// Guards against one request that ends endpoint after endpoint: its callers send it again and again, through any instance, and each broken send
// moved it to the next endpoint. On three played days it ended 38 to 45 endpoints, and a third of all requests was served.
TEST_CASE("A request that ends each endpoint that runs it is refused everywhere soon after the third")
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CrashingEndpoints system(8, 9, seed);
        RequestFingerprint next = 1000;
        for (Time now = start; now < start + simulated; now += tick) {
            if (isDue(unitInterval, now)) {
                system.arrive(next++, now);
            }
            if (isDue(deadlyInterval, now)) {
                system.arrive(deadly, now);
            }
            system.step(now);
        }
        INFO("seed ", seed);
        REQUIRE(system.deadlyCrashes.size() >= 3);
        const Time known = system.deadlyCrashes[2] + contactBound;
        CHECK(std::count_if(system.deadlyRuns.begin(),
                            system.deadlyRuns.end(),
                            [known](Time began) {
                                return began > known;
                            })
              <= 3);
        CHECK(system.refused[deadly] > 0);
        CHECK(system.refused.size() == 1);
        CHECK(static_cast<double>(system.innocentServed) >= 0.9 * static_cast<double>(next - 1000));
    }
}

// Guards against the opposite fault: many requests run at an endpoint when it ends, and none of them is the cause. Endpoints end together and by
// turns, under requests of their own and under copies of a popular one.
TEST_CASE("Ordinary crashes of endpoints condemn no request")
{
    constexpr Duration crashInterval = std::chrono::milliseconds(1500);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CrashingEndpoints system(8, 9, seed);
        RequestFingerprint next = 1000;
        std::size_t arrived = 0;
        for (Time now = start; now < start + simulated; now += tick) {
            if (isDue(unitInterval, now)) {
                system.arrive(next++, now);
                system.arrive(popular, now);
                arrived += 2;
            }
            if (isDue(crashInterval, now)) {
                for (int count = 0; count < 3; ++count) {
                    system.crash(system.randomEndpoint(), now);
                }
            }
            system.step(now);
        }
        INFO("seed ", seed);
        CHECK(system.refused.empty());
        CHECK(system.innocentMissed == 0);
        CHECK(static_cast<double>(system.innocentServed) >= 0.9 * static_cast<double>(arrived));
    }
}

TEST_CASE("Crashes count one after the other, and a complete run clears its request")
{
    CrashHistory history(1);
    Time now = start;
    const auto crashOnce = [&](Time startedAt) {
        history.onStarted(deadly, 7);
        return history.onCrashed(deadly, 7, startedAt, now);
    };
    CHECK(crashOnce(now - tick) == 1);
    CHECK(crashOnce(now - tick) == 1); // A copy that ran at the same time.
    now += reportInterval;
    CHECK(crashOnce(now - tick) == 2);
    history.onStarted(deadly, 7);
    CHECK(history.onCompleted(deadly, 7, now + tick));
    CHECK(history.admit(deadly, now + tick).verdict == RunVerdict::Allowed);
    now += reportInterval;
    CHECK(crashOnce(now - tick) == 0); // A run completed just before.
    now += CrashHistory::immunityTime;
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
        now += reportInterval;
        CHECK(history.admit(deadly, now).verdict != RunVerdict::Refused);
        CHECK(crashOnce(now - tick) == crash);
    }
    CHECK(history.admit(deadly, now).verdict == RunVerdict::Refused);
    CHECK(history.admit(deadly, now).retryAfter > Duration::zero());
}

// Guards against a crash that is not counted: the instance that saw the one before got it back from a peer, with the time that reports take, and
// took it for a later one than the start of the next run.
TEST_CASE("A crash that a peer reports back is not taken for a later one")
{
    constexpr Duration travelTime = std::chrono::milliseconds(2);
    CrashHistory history(1);
    CrashHistory peer(2);
    Time now = start;
    // The age of a crash is stated when a report is sent, so each report makes it appear later by the time it travels.
    const auto report = [&](CrashHistory &sender, CrashHistory &receiver) {
        for (CrashRecord record : sender.nextReport(recordsPerReport)) {
            record.lastCrash += travelTime;
            receiver.merge(record, now);
        }
    };
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
        const Time startedAt = now;
        history.onStarted(deadly, crash);
        now += 2 * travelTime;
        report(peer, history);
        now += travelTime;
        CHECK(history.onCrashed(deadly, crash, startedAt, now) == crash);
        report(history, peer);
    }
    CHECK(history.admit(deadly, now).verdict == RunVerdict::Refused);
    CHECK(peer.admit(deadly, now + travelTime).verdict == RunVerdict::Refused);
    const Duration refusedFor = history.admit(deadly, now).retryAfter;
    for (int exchange = 0; exchange < 20; ++exchange) {
        report(history, peer);
        report(peer, history);
    }
    CHECK(history.admit(deadly, now).retryAfter == refusedFor);
}

// Guards against copies that wait at all instances and begin at the same moment: five of them ended three endpoints at once.
TEST_CASE("Copies of a suspect that wait at several instances do not begin together")
{
    std::set<Time> turns;
    constexpr std::uint64_t instances = 8;
    for (std::uint64_t instance = 0; instance < instances; ++instance) {
        CrashHistory history(instance);
        Time now = start;
        for (int crash = 0; crash < 2; ++crash) {
            history.onStarted(deadly, 7);
            now += tick;
            history.onCrashed(deadly, 7, now - tick, now);
        }
        while (history.admit(deadly, now).verdict == RunVerdict::Wait) {
            now += std::chrono::milliseconds(1);
        }
        turns.insert(now);
    }
    CHECK(turns.size() >= instances / 2);
}

// Guards against a route that stands still after each ordinary crash: copies of a popular request would run one at a time until one completes.
TEST_CASE("A popular request does not become a suspect, here or at an instance that has not seen it complete")
{
    CrashHistory busy(1);
    CrashHistory idle(2);
    Time now = start;
    busy.onStarted(popular, 7);
    busy.onCompleted(popular, 7, now);
    now += tick;
    idle.onStarted(popular, 8);
    now += tick;
    CHECK(idle.onCrashed(popular, 8, now - tick, now) == 1);
    const auto report = [&](CrashHistory &sender, CrashHistory &receiver) {
        for (const CrashRecord &record : sender.nextReport(recordsPerReport)) {
            receiver.merge(record, now);
        }
    };
    report(idle, busy);
    busy.onStarted(popular, 9);
    CHECK(busy.admit(popular, now).verdict == RunVerdict::Allowed);
    report(busy, idle);
    CHECK(idle.admit(popular, now).verdict == RunVerdict::Allowed);
    CHECK(idle.suspectRuns(recordsPerReport).empty());
}

TEST_CASE("A suspect runs at one endpoint at a time, here and at other instances, and isolated after two crashes")
{
    CrashHistory here(1);
    CrashHistory other(2);
    Time now = start;
    const auto report = [&]() {
        for (const CrashRecord &record : here.nextReport(recordsPerReport)) {
            other.merge(record, now);
        }
        other.setRemoteRuns("here", here.suspectRuns(recordsPerReport), now);
    };
    for (const RunVerdict verdict : {RunVerdict::Allowed, RunVerdict::AllowedIsolated}) {
        here.onStarted(deadly, 7);
        now += tick;
        here.onCrashed(deadly, 7, now - tick, now);
        report();
        now += isolationTime;
        CHECK(here.admit(deadly, now).verdict == verdict);
        CHECK(other.admit(deadly, now).verdict == verdict);
    }
    CHECK(here.isolatedEndpoints(now).empty());
    here.onStarted(deadly, 8);
    report();
    CHECK(here.admit(deadly, now).verdict == RunVerdict::Wait);
    CHECK(other.admit(deadly, now).verdict == RunVerdict::Wait);
    CHECK(here.isolatedEndpoints(now) == std::set<std::uint32_t>{8});
    CHECK(other.isolatedEndpoints(now) == std::set<std::uint32_t>{8});
    here.onAbandoned(deadly, 8);
    report();
    CHECK(here.admit(deadly, now).verdict == RunVerdict::AllowedIsolated);
    CHECK(other.admit(deadly, now).verdict == RunVerdict::AllowedIsolated);
    CHECK(other.isolatedEndpoints(now).empty());
}

// Guards against news that wait behind other news: with hundreds of suspects a condemned request was known elsewhere only after seconds.
TEST_CASE("What refuses a request is reported before suspicions, however many there are")
{
    CrashHistory here(1);
    Time now = start;
    for (RequestFingerprint request = 1000; request < 2000; ++request) {
        here.onStarted(request, 7);
        here.onCrashed(request, 7, now, now);
    }
    constexpr RequestFingerprint last = 5000;
    for (int crash = 0; crash < 3; ++crash) {
        here.onStarted(last, 7);
        now += tick;
        here.onCrashed(last, 7, now - tick, now);
    }
    CrashHistory other(2);
    for (const CrashRecord &record : here.nextReport(recordsPerReport)) {
        other.merge(record, now);
    }
    CHECK(other.admit(last, now).verdict == RunVerdict::Refused);
}

TEST_CASE("A run at an instance that died does not hold its request back")
{
    CrashHistory history(1);
    history.onStarted(deadly, 7);
    history.onCrashed(deadly, 7, start, start + tick);
    history.setRemoteRuns("died", {SuspectRun{deadly, 8, true}}, start + tick);
    CHECK(history.admit(deadly, start + tick).verdict == RunVerdict::Wait);
    CHECK(history.admit(deadly, start + std::chrono::seconds(2)).verdict == RunVerdict::Allowed);
    CHECK(history.isolatedEndpoints(start + std::chrono::seconds(2)).empty());
}

// Guards against reports that grow with each ordinary crash: all that ran at the endpoint stays a suspect until it completes or is forgotten.
TEST_CASE("After the news of an ordinary crash reports name none of its suspects")
{
    CrashHistory history(1);
    for (RequestFingerprint request = 1000; request < 1100; ++request) {
        history.onStarted(request, 7);
        history.onCrashed(request, 7, start, start + tick);
    }
    while (history.hasNews()) {
        CHECK_FALSE(history.nextReport(recordsPerReport).empty());
    }
    CHECK(history.nextReport(recordsPerReport).empty());
}

TEST_CASE("An instance that starts later learns of all condemned requests from one that goes on")
{
    CrashHistory survivor(1);
    Time now = start;
    constexpr RequestFingerprint requests = 40;
    for (RequestFingerprint request = 1; request <= requests; ++request) {
        for (int crash = 0; crash < 3; ++crash) {
            const auto endpoint = static_cast<std::uint32_t>(request); // An endpoint that ended is away for a while.
            now += tick;
            survivor.onStarted(request, endpoint);
            now += tick;
            survivor.onCrashed(request, endpoint, now - tick, now);
        }
    }
    while (survivor.hasNews()) {
        survivor.nextReport(recordsPerReport);
    }
    CrashHistory late(2);
    for (int report = 0; report < 10; ++report) {
        for (const CrashRecord &record : survivor.nextReport(recordsPerReport)) {
            late.merge(record, now);
        }
    }
    for (RequestFingerprint request = 1; request <= requests; ++request) {
        CHECK(late.admit(request, now).verdict == RunVerdict::Refused);
    }
}

// Guards against news that stay where they arose: beyond a dozen peers each report goes to some of them only.
TEST_CASE("With 420 instances in eight failure domains all of them refuse a request soon after its third crash")
{
    constexpr std::size_t instances = 420;
    constexpr std::size_t domains = 8;
    std::vector<CrashHistory> histories;
    std::vector<PeerTable> tables;
    std::map<std::string, std::size_t> indices;
    const auto recordOf = [](std::size_t index) {
        return InstanceRecord{std::to_string(index), "10.0.0.0:" + std::to_string(index), "domain" + std::to_string(index % domains), false};
    };
    for (std::size_t index = 0; index < instances; ++index) {
        const InstanceRecord self = recordOf(index);
        indices[self.peerAddress] = index;
        histories.emplace_back(index);
        tables.emplace_back(self.peerAddress, self.domain, std::vector<std::string>());
        for (std::size_t peer = 0; peer < instances; ++peer) {
            tables.back().onReport(PeerReport{recordOf(peer), 1}, start);
        }
    }
    Time now = start;
    for (int crash = 0; crash < 3; ++crash) {
        histories[0].onStarted(deadly, 7);
        now += tick;
        histories[0].onCrashed(deadly, 7, now - tick, now);
    }
    const Time condemnedAt = now;
    const auto allRefuse = [&]() {
        return std::all_of(histories.begin(), histories.end(), [now](const CrashHistory &history) {
            return history.admit(deadly, now).verdict == RunVerdict::Refused;
        });
    };
    while (!allRefuse() && now <= condemnedAt + contactBound) {
        now += reportInterval;
        for (std::size_t sender = 0; sender < instances; ++sender) {
            const std::vector<std::string> targets = tables[sender].nextTargets(histories[sender].hasNews(), now);
            const std::vector<CrashRecord> records = histories[sender].nextReport(recordsPerReport);
            for (const std::string &target : targets) {
                for (const CrashRecord &record : records) {
                    histories[indices.at(target)].merge(record, now);
                }
            }
        }
    }
    CHECK(allRefuse());
}

TEST_CASE("Records are bounded and forgotten, and new suspects displace no condemned request")
{
    constexpr std::size_t maxRecords = 100;
    CrashHistory history(1, maxRecords);
    Time now = start;
    for (int crash = 0; crash < 3; ++crash) {
        history.onStarted(deadly, 7);
        now += tick;
        history.onCrashed(deadly, 7, now - tick, now);
    }
    for (RequestFingerprint request = 1000; request < 2000; ++request) {
        now += tick;
        history.onStarted(request, 7);
        history.onCrashed(request, 7, now, now);
        CHECK(history.recordCount() <= maxRecords);
    }
    CHECK(history.admit(deadly, now).verdict == RunVerdict::Refused);
    const Duration retryAfter = history.admit(deadly, now).retryAfter;
    now += retryAfter;
    history.expire(now);
    CHECK(history.admit(deadly, now).verdict == RunVerdict::AllowedIsolated);
    history.onStarted(deadly, 7);
    CHECK(history.onCrashed(deadly, 7, now, now + tick) >= 3);
    CHECK(history.admit(deadly, now + tick).verdict == RunVerdict::Refused);
    history.expire(now + std::chrono::hours(1));
    CHECK(history.recordCount() == 0);
}
