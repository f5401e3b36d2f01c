//! Streams that callers take up after a field of their route, other than its targets, has changed.

#include "restartcluster.h"

#include <doctest/doctest.h>

#include <array>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr int streamCount = restartStreamCount;
constexpr int hostStreamCount = 6; //!< On each of the two hosts.
constexpr int keptStream = 3; //!< The only one that is on the narrowed prefix.
constexpr const char *keptPrefix = "/moved/3/";
constexpr const char *stayingHost = "h.stays.example"; //!< Its route leads to one service all the time.
constexpr const char *movingHost = "h.moves.example"; //!< Its route leads to another service than at first.

//! The route of the streams in a configuration.
struct RouteFields
{
    std::string host = "h.example";
    std::string prefix = "/moved/";
    std::string kind = "streaming";
    std::string service = "engine";
    bool isResumable = true;
    int timeoutMs = 8000;
    int maxAttempts = 1;
};

std::string textOf(const RouteFields &route)
{
    return R"(,{"Name":"moved","Host":")" + route.host + R"(","PathPrefix":")" + route.prefix + R"(","Kind":")" + route.kind + R"(","TimeoutMs":)"
        + std::to_string(route.timeoutMs) + R"(,"TargetLatencyMs":250,"Priority":0,"Service":")" + route.service + R"(","MaxAttempts":)"
        + std::to_string(route.maxAttempts) + R"(,"Resumable":)" + (route.isResumable ? "true" : "false") + R"(,"GapAimMs":200})";
}

//! Returns \p route at both hosts, whose names start with \p hostStart. It stays at its service on one of them, on the other one it leads to the service at
//! which streams begin, or has moved.
std::string onBothHosts(RouteFields route, bool isMoved, const std::string &hostStart = "h")
{
    route.host = hostStart + std::string(stayingHost).substr(1);
    route.service = "engine";
    std::string text = textOf(route);
    route.host = hostStart + std::string(movingHost).substr(1);
    // A service of several software versions takes streams of the other one that are sent to it by mistake.
    route.service = isMoved ? "engine" : "other";
    return text + textOf(route);
}

//! Which gateways end, and start again, between a change and the take-ups behind it.
enum class Restart : std::uint8_t { None, One, All };

//! What may become of streams that are taken up.
enum class TakeUp : std::uint8_t {
    WhereBegun, //!< They go on where they began. Those of a route that moved may be refused instead.
    WhereBegunOrRefused,
    Refused,
    NoRoute, //!< Their requests match no route.
};

//! Gateways before an endpoint of v1 and one of v2 of a service, and two endpoints of another one.
struct RouteFieldCluster : RestartCluster
{
    explicit RouteFieldCluster(const RouteFields &route)
        : RouteFieldCluster(textOf(route))
    {
    }

    explicit RouteFieldCluster(const std::string &routes)
        : RestartCluster(routes)
    {
        this->endpoints[1]->setVersion("v2");
        this->registerEndpoint(1);
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            REQUIRE(this->logHas(gateway, R"("buckets":"v1:64,v2:64")"));
        }
    }

    //! Has the configuration \p version with \p route in force at all gateways.
    void change(int version, const RouteFields &route)
    {
        this->change(version, textOf(route));
    }

    void change(int version, const std::string &routes)
    {
        this->configure(version, routes);
        for (std::size_t gateway = 0; gateway < this->gateways.size(); ++gateway) {
            this->awaitVersion(gateway, version);
        }
    }

    void restart(Restart restart, int version)
    {
        if (restart == Restart::None) {
            return;
        }
        const std::vector<std::size_t> restarted = restart == Restart::One ? std::vector<std::size_t>{1} : std::vector<std::size_t>{0, 1, 2};
        this->RestartCluster::restart(restarted);
        REQUIRE(this->waitUntilReady());
        for (const std::size_t gateway : restarted) {
            this->awaitVersion(gateway, version);
        }
    }

    //! Begins streams on routes of both hosts.
    void beginOnBothHosts() const
    {
        for (const std::string host : {stayingHost, movingHost}) {
            for (int number = 0; number < hostStreamCount; ++number) {
                REQUIRE(this->send(0, number, begunOn(host, number), {}, host).starts_with("HTTP/1.1 200"));
            }
        }
    }

    //! Takes the streams up at \p gateway as \p takeUp has it, those on the prefix of one stream only and the others.
    void takeUpOnBothHosts(std::size_t gateway, TakeUp kept, TakeUp others)
    {
        for (const std::string host : {stayingHost, movingHost}) {
            for (int number = 0; number < hostStreamCount; ++number) {
                const TakeUp takeUp = number == keptStream ? kept : others;
                const std::string begun = begunOn(host, number);
                const std::string id = "taken-up-" + std::to_string(++this->takeUps);
                const std::string answer = this->send(gateway, number, id, begun, host);
                CAPTURE(answer);
                if (answer.starts_with("HTTP/1.1 200")) {
                    CHECK((takeUp == TakeUp::WhereBegun || takeUp == TakeUp::WhereBegunOrRefused));
                    this->checkSameOrigin(begun, id);
                } else {
                    CHECK(answer.starts_with(takeUp == TakeUp::NoRoute ? "HTTP/1.1 404" : "HTTP/1.1 503"));
                    CHECK(this->firstEndpointOf(id).empty());
                    CHECK_FALSE((takeUp == TakeUp::WhereBegun && host == stayingHost));
                }
            }
        }
    }

    void checkSameOrigin(const std::string &begun, const std::string &id) const
    {
        // The endpoints of the other service are of one version.
        const std::string endpoint = this->firstEndpointOf(id);
        const std::string first = this->firstEndpointOf(begun);
        CHECK((endpoint == first || (endpoint.starts_with("other") && first.starts_with("other"))));
    }

    static std::string begunOn(const std::string &host, int number)
    {
        return "begun-" + host + "-" + std::to_string(number);
    }

    //! Takes all streams up at \p gateway. Checks that each goes on where it began, or is refused and not received by any endpoint. Returns how many were
    //! served.
    int takeUpWhereBegun(std::size_t gateway)
    {
        int served = 0;
        for (int number = 0; number < streamCount; ++number) {
            const std::string begun = "begun-" + std::to_string(number);
            const std::string id = "taken-up-" + std::to_string(++this->takeUps);
            const std::string answer = this->send(gateway, number, id, begun);
            CAPTURE(answer);
            if (answer.starts_with("HTTP/1.1 200")) {
                served += 1;
                this->checkSameOrigin(begun, id);
            } else {
                CHECK(answer.starts_with("HTTP/1.1 503"));
                CHECK(this->firstEndpointOf(id).empty());
            }
        }
        return served;
    }
};

constexpr std::array<Restart, 3> restarts{Restart::None, Restart::One, Restart::All};

//! A change of the configuration, and what may become of the streams that are taken up behind it.
struct Change
{
    std::string routes{};
    TakeUp kept{}; //!< Of the stream that is on the narrowed prefix.
    TakeUp others{};
};

//! Begins streams on \p routes, and has each of \p changes in force in turn. One gateway ends behind each of them, all gateways end behind the last one.
void playChanges(const std::string &routes, const std::vector<Change> &changes)
{
    RouteFieldCluster cluster(routes);
    cluster.beginOnBothHosts();
    int version = 1;
    for (const Change &change : changes) {
        cluster.change(++version, change.routes);
        CAPTURE(version);
        cluster.takeUpOnBothHosts(1, change.kept, change.others);
        cluster.takeUpOnBothHosts(2, change.kept, change.others);
        cluster.restart(Restart::One, version);
        cluster.takeUpOnBothHosts(1, change.kept, change.others);
    }
    cluster.restart(Restart::All, version);
    cluster.takeUpOnBothHosts(1, changes.back().kept, changes.back().others);
    cluster.takeUpOnBothHosts(2, changes.back().kept, changes.back().others);
}

//! Begins streams on a route of both hosts, and stores \p versions right behind each other.
void playQuickChanges(const std::vector<std::string> &versions)
{
    RouteFieldCluster cluster(onBothHosts(RouteFields{}, false));
    cluster.beginOnBothHosts();
    int version = 1;
    for (const std::string &routes : versions) {
        cluster.configure(++version, routes);
    }
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, version);
        cluster.takeUpOnBothHosts(gateway, TakeUp::WhereBegunOrRefused, TakeUp::WhereBegunOrRefused);
    }
    cluster.restart(Restart::All, version);
    cluster.takeUpOnBothHosts(1, TakeUp::WhereBegunOrRefused, TakeUp::WhereBegunOrRefused);
}

//! An answer to a stream of at most 60 tokens.
struct ShortStream
{
    std::string bytes{};

    bool isComplete() const
    {
        return this->bytes.ends_with("0\r\n\r\n");
    }

    bool hasLastEvent() const
    {
        return this->bytes.find("id: " + std::to_string(StandinEndpoint::eventCount) + "\n") != std::string::npos;
    }
};

//! Has each endpoint show \p behaviour once, and sends a stream. It goes on behind \p lastEvent unless that is 0.
ShortStream receiveShort(RestartCluster &cluster, Behaviour behaviour, const std::string &id, int lastEvent = 0)
{
    for (const std::unique_ptr<StandinEndpoint> &endpoint : cluster.endpoints) {
        endpoint->setNextBehaviours({behaviour});
    }
    const std::string resumes = lastEvent == 0 ? std::string() : "Last-Event-Id: " + std::to_string(lastEvent) + "\r\n";
    return ShortStream{cluster.sendRaw(0,
                                       "POST /moved/1/turn HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nConnection: close\r\n"
                                       "Oleandergate-Token-Counts: 100,60\r\nOleandergate-Prompt-Prefix: a1:100\r\nOleandergate-Request-Id: "
                                           + id + "\r\n" + resumes + "\r\nbody")};
}

//! Checks that a caller of a cut stream can tell that it is not whole.
void checkNotCutShort(const ShortStream &stream)
{
    CAPTURE(stream.bytes);
    CHECK(stream.bytes.starts_with("HTTP/1.1 200"));
    CHECK((stream.hasLastEvent() || !stream.isComplete()));
}

} // namespace

// Guards against joined streams where a request that goes on behind an event is sent on a route that does not allow it, as if it were a first attempt.
TEST_CASE("Route fields: a take-up on a route whose streams may not be resumed is refused as not run")
{
    RestartCluster cluster(textOf(RouteFields{.isResumable = false}));
    cluster.beginAll(0);
    for (const std::string path : {"/moved/0/turn", "/reads/1", "/orders/1"}) {
        CAPTURE(path);
        const std::size_t before = cluster.receivedCount();
        const std::string answer = cluster.sendRaw(0,
                                                   "POST " + path
                                                       + " HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nConnection: close\r\n"
                                                         "Oleandergate-Request-Id: again-"
                                                       + std::to_string(before) + "\r\nLast-Event-Id: 3\r\nResumes: begun-0\r\n\r\nbody");
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(cluster.receivedCount() == before);
    }
}

// Guards against joined streams where the flag goes and the route moves before the take-up, or comes back behind it.
TEST_CASE("Route fields: streams are not taken up elsewhere while their route may not be resumed, nor after it may again")
{
    for (const bool isMoved : {false, true}) {
        for (const Restart restart : restarts) {
            CAPTURE(isMoved);
            CAPTURE(static_cast<int>(restart));
            RouteFieldCluster cluster(RouteFields{});
            cluster.beginAll(0);
            cluster.change(2, RouteFields{.service = isMoved ? "other" : "engine", .isResumable = false});
            cluster.restart(restart, 2);
            CHECK(cluster.takeUpWhereBegun(1) == 0);
            cluster.change(3, RouteFields{.service = isMoved ? "other" : "engine"});
            cluster.takeUpWhereBegun(1);
            cluster.takeUpWhereBegun(2);
        }
    }
}

// Guards against joined streams of two software versions, or of two services: nothing was known of a stream that began while its route could not be resumed.
TEST_CASE("Route fields: streams that began while their route could not be resumed are not taken up elsewhere once it may")
{
    for (const bool isMoved : {false, true}) {
        for (const Restart restart : restarts) {
            CAPTURE(isMoved);
            CAPTURE(static_cast<int>(restart));
            RouteFieldCluster cluster(RouteFields{.isResumable = false});
            cluster.beginAll(0);
            cluster.change(2, RouteFields{.service = isMoved ? "other" : "engine"});
            cluster.restart(restart, 2);
            for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
                cluster.takeUpWhereBegun(gateway);
            }
        }
    }
}

// The same where all gateways end before the change, so that none of them sees it.
TEST_CASE("Route fields: streams that began while their route could not be resumed are not taken up after a change that no process saw")
{
    RouteFieldCluster cluster(RouteFields{.isResumable = false});
    cluster.beginAll(0);
    for (ChildProcess &gateway : cluster.gateways) {
        gateway.kill();
    }
    cluster.configure(2, textOf(RouteFields{.service = "other"}));
    cluster.RestartCluster::restart({0, 1, 2});
    REQUIRE(cluster.waitUntilReady());
    cluster.takeUpWhereBegun(0);
    cluster.takeUpWhereBegun(1);
}

// Guards against joined streams where a change is taken back before most processes have seen it.
TEST_CASE("Route fields: streams of a route that may be resumed again after some milliseconds go on where they began")
{
    RouteFieldCluster cluster(RouteFields{});
    cluster.beginAll(0);
    cluster.configure(2, textOf(RouteFields{.service = "other", .isResumable = false}));
    cluster.configure(3, textOf(RouteFields{}));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 3);
        cluster.takeUpWhereBegun(gateway);
    }
    cluster.restart(Restart::All, 3);
    cluster.takeUpWhereBegun(1);
}

// Guards against refusing what can go on: a route that has been resumable all the time.
TEST_CASE("Route fields: a change of limits alone leaves the streams of a route to be taken up")
{
    RouteFieldCluster cluster(RouteFields{});
    cluster.beginAll(0);
    cluster.change(2, RouteFields{.timeoutMs = 6000, .maxAttempts = 3});
    CHECK(cluster.takeUpWhereBegun(1) == streamCount);
    cluster.restart(Restart::All, 2);
    CHECK(cluster.takeUpWhereBegun(1) == streamCount);
}

// Guards against streams joined from two software versions: what a release replaced was forgotten while streams from before a shorter timeout could go on.
TEST_CASE("Route fields: streams that began under a longer timeout are not taken up at another version after it has become shorter")
{
    constexpr int longTimeoutMs = 40000;
    // Longer than what is known of a release is kept for the other routes.
    constexpr std::chrono::milliseconds wait(12000);
    RestartCluster cluster(textOf(RouteFields{.timeoutMs = longTimeoutMs}));
    cluster.beginAll(0);
    cluster.configure(2, textOf(RouteFields{}));
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        cluster.awaitVersion(gateway, 2);
    }
    // The streams began at its former version.
    cluster.endpoints[1]->setVersion("v2");
    cluster.registerEndpoint(1);
    for (std::size_t gateway = 0; gateway < cluster.gateways.size(); ++gateway) {
        REQUIRE(cluster.logHas(gateway, R"("buckets":"v1:64,v2:64")"));
    }
    std::this_thread::sleep_for(wait);
    int served = 0;
    for (int number = 0; number < streamCount; ++number) {
        const std::string id = "taken-up-" + std::to_string(number);
        const std::string answer = cluster.send(1, number, id, "begun-" + std::to_string(number));
        CAPTURE(answer);
        if (answer.starts_with("HTTP/1.1 200")) {
            served += 1;
            CHECK(cluster.firstEndpointOf(id) == cluster.endpoints[0]->identifier());
        } else {
            CHECK(answer.starts_with("HTTP/1.1 503"));
        }
    }
    CHECK(served > 0);
}

// Guards against joined streams where a route is not for streams for a while, and moves meanwhile.
TEST_CASE("Route fields: streams are not taken up elsewhere while their route is not for streams, nor after it is again")
{
    playChanges(onBothHosts(RouteFields{}, false),
                {Change{onBothHosts(RouteFields{.kind = "unsafe"}, true), TakeUp::Refused, TakeUp::Refused},
                 Change{onBothHosts(RouteFields{}, true), TakeUp::WhereBegun, TakeUp::WhereBegun},
                 Change{onBothHosts(RouteFields{.kind = "safe"}, true), TakeUp::Refused, TakeUp::Refused},
                 Change{onBothHosts(RouteFields{}, true), TakeUp::WhereBegun, TakeUp::WhereBegun}});
}

// Guards against joined streams where a route becomes one for streams again before most processes have seen that it was not.
TEST_CASE("Route fields: streams of a route that is for streams again after some milliseconds go on where they began")
{
    playQuickChanges({onBothHosts(RouteFields{.kind = "unsafe"}, true), onBothHosts(RouteFields{.kind = "safe"}, false), onBothHosts(RouteFields{}, true)});
}

// Guards against joined streams where a route is known by its prefix, and that becomes shorter in the version that moves it, and is as before later.
TEST_CASE("Route fields: streams are not taken up elsewhere after the prefix of their route was widened in place, nor after it is as before")
{
    playChanges(onBothHosts(RouteFields{}, false),
                {Change{onBothHosts(RouteFields{.prefix = "/"}, true), TakeUp::WhereBegun, TakeUp::WhereBegun},
                 Change{onBothHosts(RouteFields{}, true), TakeUp::WhereBegun, TakeUp::WhereBegun}});
}

// Guards against joined streams where a route is known by its prefix, and that becomes longer in the version that moves it, and is as before later.
TEST_CASE("Route fields: streams are not taken up elsewhere after the prefix of their route was narrowed in place, nor after it is as before")
{
    playChanges(onBothHosts(RouteFields{}, false),
                {Change{onBothHosts(RouteFields{.prefix = keptPrefix}, true), TakeUp::WhereBegun, TakeUp::NoRoute},
                 Change{onBothHosts(RouteFields{}, true), TakeUp::WhereBegun, TakeUp::WhereBegun}});
}

// Guards against joined streams where prefixes change and come back before most processes have seen it.
TEST_CASE("Route fields: streams of a route whose prefix is as before after some milliseconds go on where they began")
{
    playQuickChanges({onBothHosts(RouteFields{.prefix = "/"}, true), onBothHosts(RouteFields{.prefix = keptPrefix}, false), onBothHosts(RouteFields{}, true)});
}

// Guards against joined streams where the route of a host goes, and comes back with other targets.
TEST_CASE("Route fields: streams are not taken up elsewhere after their route was at another host for a while")
{
    playChanges(onBothHosts(RouteFields{}, false),
                {Change{onBothHosts(RouteFields{}, true, "g"), TakeUp::NoRoute, TakeUp::NoRoute},
                 Change{onBothHosts(RouteFields{}, true), TakeUp::WhereBegun, TakeUp::WhereBegun}});
}

// Guards against joined streams where former targets are looked up by the host as it was written, while requests match it in any case and without a port.
TEST_CASE("Route fields: streams are not taken up elsewhere after the host of their route was written in another way")
{
    playChanges(onBothHosts(RouteFields{}, false), {Change{onBothHosts(RouteFields{}, true, "H"), TakeUp::WhereBegun, TakeUp::WhereBegun}});
}

// Guards against joined streams where a longer prefix takes over what began on a shorter one that may not be resumed from then on.
TEST_CASE("Route fields: streams are not taken up elsewhere on a longer prefix that is added as the shorter one may no longer be resumed")
{
    const std::string shorter = onBothHosts(RouteFields{.prefix = "/", .isResumable = false}, false);
    playChanges(onBothHosts(RouteFields{.prefix = "/"}, false), {Change{shorter + onBothHosts(RouteFields{}, true), TakeUp::WhereBegun, TakeUp::WhereBegun}});
}

// The same where it could not be resumed when the streams began.
TEST_CASE("Route fields: streams are not taken up elsewhere on a longer prefix that is added to one that may not be resumed")
{
    const std::string shorter = onBothHosts(RouteFields{.prefix = "/", .isResumable = false}, false);
    playChanges(shorter, {Change{shorter + onBothHosts(RouteFields{}, true), TakeUp::WhereBegunOrRefused, TakeUp::WhereBegunOrRefused}});
}

// Guards against refusing, or sending elsewhere, what can go on: more or fewer attempts tell nothing of where a stream began.
TEST_CASE("Route fields: streams go on where they began after the number of attempts has changed")
{
    RouteFieldCluster cluster(RouteFields{});
    cluster.beginAll(0);
    cluster.change(2, RouteFields{.maxAttempts = 3});
    CHECK(cluster.takeUpWhereBegun(1) == streamCount);
    cluster.restart(Restart::One, 2);
    CHECK(cluster.takeUpWhereBegun(1) == streamCount);
    cluster.change(3, RouteFields{});
    cluster.restart(Restart::All, 3);
    CHECK(cluster.takeUpWhereBegun(2) == streamCount);
}

// Guards against joined streams, or refused ones, where a service is an engine, or none, only from some version on.
TEST_CASE("Route fields: streams go on where they began after their service has become an engine, or none")
{
    RouteFieldCluster cluster(RouteFields{});
    cluster.beginAll(0);
    cluster.setTokensPerEvent(std::nullopt);
    cluster.change(2, RouteFields{});
    CHECK(cluster.takeUpWhereBegun(1) == streamCount);
    cluster.restart(Restart::One, 2);
    CHECK(cluster.takeUpWhereBegun(1) == streamCount);
    cluster.setTokensPerEvent(10);
    cluster.change(3, RouteFields{});
    cluster.restart(Restart::All, 3);
    CHECK(cluster.takeUpWhereBegun(2) == streamCount);
}

// Guards against a cut stream that is delivered as complete because it has as many events as the most tokens make by a value that its endpoint does not use.
TEST_CASE("Route fields: a cut stream is not complete because events are said to have more tokens than before")
{
    RestartCluster cluster(textOf(RouteFields{.maxAttempts = 3}));
    checkNotCutShort(receiveShort(cluster, Behaviour::EndBetweenEvents, "before"));
    cluster.setTokensPerEvent(30);
    cluster.configure(2, textOf(RouteFields{.maxAttempts = 3}));
    cluster.awaitVersion(0, 2);
    checkNotCutShort(receiveShort(cluster, Behaviour::EndBetweenEvents, "after"));
}

// The same for a stream that its caller takes up, of which only the events of the take-up count.
TEST_CASE("Route fields: a cut take-up is not complete because events are said to have more tokens than before")
{
    constexpr int lastEvent = 3;
    RestartCluster cluster(textOf(RouteFields{.maxAttempts = 3}));
    checkNotCutShort(receiveShort(cluster, Behaviour::EndBetweenEvents, "before", lastEvent));
    cluster.setTokensPerEvent(30);
    cluster.configure(2, textOf(RouteFields{.maxAttempts = 3}));
    cluster.awaitVersion(0, 2);
    // One event of its own, behind three at its caller; then two.
    checkNotCutShort(receiveShort(cluster, Behaviour::EndBehindHalf, "one", lastEvent));
    checkNotCutShort(receiveShort(cluster, Behaviour::EndBetweenEvents, "two", lastEvent));
}
