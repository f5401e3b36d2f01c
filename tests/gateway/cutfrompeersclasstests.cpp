//! What else an instance goes on doing by what it read before, while it is cut off from the others and they act on the change: routes that moved, streams that
//! may no longer be resumed, endpoints whose address another service uses, and budgets of programs.

#include "budgetcluster.h"
#include "restartcluster.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace oleandergate;
using namespace oleandergate::support;

namespace {

constexpr std::size_t gatewayCount = 4;

//! Streams of programs of their own that begin and are taken up, again and again behind a change, until what was read before it is old.
constexpr int roundCount = 12;
constexpr std::chrono::milliseconds roundInterval(150);

constexpr int budgetProgramCount = 10;
constexpr int statusMisdirected = 421;
constexpr int longestBudgetRounds = 60;

//! The longest timeout of the routes and five seconds: an instance whose configuration is older takes the targets of routes that it has read for complete.
constexpr std::chrono::seconds oldConfigurationTime(14);

//! Until the slots of an instance that is not heard have other owners.
constexpr std::chrono::seconds takeoverTime(8);

//! Programs of which some are in slots of each instance, and until the new owner of a slot takes the programs of the former one for ended: 80 s behind its
//! claim, which follows some seconds behind a cut.
constexpr int longCutProgramCount = 30;
constexpr std::chrono::seconds longCutTime(95);

std::string routeTo(const std::string &service, bool isResumable = true)
{
    return R"(,{"Name":"moved","Host":"h.example","PathPrefix":"/moved/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":250,"Priority":0,"Service":")"
        + service + R"(","MaxAttempts":1,"Resumable":)" + (isResumable ? "true" : "false") + R"(,"GapAimMs":200})";
}

struct ClassCluster : RestartCluster
{
    //! The endpoints of the service "engine" are of two software versions if \p hasTwoVersions.
    explicit ClassCluster(bool hasTwoVersions = false)
        : RestartCluster(routeTo("engine"), gatewayCount)
    {
        if (!hasTwoVersions) {
            return;
        }
        this->endpoints[1]->setVersion("v2");
        this->registerEndpoint(1);
        for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
            REQUIRE(this->logHas(gateway, R"("buckets":"v1:64,v2:64")"));
        }
    }

    //! Has \p routes in force at the gateways that are not cut off.
    void changeBeside(const std::set<std::size_t> &odd, const std::string &routes)
    {
        this->configure(2, routes);
        for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
            if (!odd.contains(gateway)) {
                this->awaitVersion(gateway, 2);
            }
        }
    }

    //! Sends an attempt of the stream of each program, all at once. Those go on behind their third event whose programs \p resumed has; by the name of their
    //! first attempt unless that is empty. Returns the answers by program.
    std::map<std::string, HttpResponse> sendTogether(std::size_t gateway, const std::map<std::string, std::optional<std::string>> &resumed)
    {
        std::mutex mutex;
        std::map<std::string, HttpResponse> answers;
        std::vector<std::jthread> callers;
        callers.reserve(resumed.size());
        for (const auto &[program, first] : resumed) {
            callers.emplace_back([this, gateway, &mutex, &answers, program = program, first = first]() {
                std::vector<HttpHeader> headers{{"Oleandergate-Program-Id", program},
                                                {"Oleandergate-Session-Id", program + "-main"},
                                                {"Oleandergate-Token-Counts", "100,100"},
                                                {"Oleandergate-Prompt-Prefix", "a1:50,b" + std::to_string(std::hash<std::string>()(program) % 1000) + ":50"}};
                if (first) {
                    headers.push_back(HttpHeader{"Last-Event-Id", "3"});
                }
                if (first && !first->empty()) {
                    headers.push_back(HttpHeader{"Resumes", *first});
                }
                const std::optional<HttpResponse> answer = this->call(gateway, "POST", "/moved/1/turn", headers);
                const std::lock_guard lock(mutex);
                if (answer) {
                    answers[program] = *answer;
                }
            });
        }
        callers.clear();
        return answers;
    }

    //! Begins a stream of each of some new programs at \p gateway. Returns the attempts that were served, by program.
    std::map<std::string, std::optional<std::string>> beginNew(std::size_t gateway)
    {
        std::map<std::string, std::optional<std::string>> programs;
        for (int number = 0; number < restartStreamCount; ++number) {
            programs["program-" + std::to_string(++this->programs)] = std::nullopt;
        }
        std::map<std::string, std::optional<std::string>> begun;
        for (const auto &[program, answer] : this->sendTogether(gateway, programs)) {
            if (answer.status == 200) {
                begun[program] = answer.header("Oleandergate-Request-Id");
            }
        }
        return begun;
    }

    //! Takes the streams \p begun up at \p gateway, every other one without the name of its first attempt. Checks that each goes on at the service, or at the
    //! endpoint of the only software version, that began it, or is refused as not run. Returns how many were served.
    int takeUp(std::size_t gateway, const std::map<std::string, std::optional<std::string>> &begun)
    {
        std::map<std::string, std::optional<std::string>> resumed;
        for (const auto &[program, first] : begun) {
            resumed[program] = resumed.size() % 2 == 0 ? first : std::string();
        }
        const std::map<std::string, HttpResponse> answers = this->sendTogether(gateway, resumed);
        CHECK(answers.size() == begun.size());
        int served = 0;
        for (const auto &each : answers) {
            const std::string &program = each.first;
            const HttpResponse &answer = each.second;
            const std::string endpoint = this->firstEndpointOf(answer.header("Oleandergate-Request-Id"));
            const std::string first = this->firstEndpointOf(*begun.at(program));
            CAPTURE(program);
            CAPTURE(resumed.at(program)->empty());
            CAPTURE(answer.body);
            if (answer.status == 200) {
                served += 1;
                CHECK(this->originOf(endpoint) == this->originOf(first));
            } else {
                CHECK(answer.status == 503);
                CHECK(endpoint.empty());
            }
        }
        return served;
    }

    //! Returns what has to be the same for two runs of one stream: the service of \p endpoint, and its software version.
    std::string originOf(const std::string &endpoint) const
    {
        for (const std::unique_ptr<StandinEndpoint> &each : this->endpoints) {
            if (each->identifier() == endpoint) {
                return (endpoint.starts_with("other") ? "other " : "engine ") + each->softwareVersion();
            }
        }
        return {};
    }

    //! The route moves while \p odd are cut off; streams begin through another gateway and are taken up at each of them, from right behind the change on.
    void moveBeside(const std::set<std::size_t> &odd, StoreContact contact)
    {
        this->cutOff(odd, PeerCut::Both, contact);
        this->changeBeside(odd, routeTo("other"));
        int begunAtOther = 0;
        int served = 0;
        int servedBeside = 0;
        for (int round = 0; round < roundCount; ++round) {
            CAPTURE(round);
            const std::map<std::string, std::optional<std::string>> begun = this->beginNew(1);
            for (const auto &[program, first] : begun) {
                begunAtOther += this->firstEndpointOf(*first).starts_with("other") ? 1 : 0;
            }
            for (const std::size_t gateway : odd) {
                CAPTURE(gateway);
                served += this->takeUp(gateway, begun);
            }
            // Until the instance that began them has told the others.
            std::this_thread::sleep_for(roundInterval);
            servedBeside += this->takeUp(2, begun);
        }
        MESSAGE("begun at the new service: ", begunAtOther, ", taken up and served: ", served, ", at an instance that is not cut off: ", servedBeside);
        CHECK(begunAtOther > 0);
        CHECK(servedBeside > 0);
    }

    int programs = 0;
};

//! Requests of all kinds that are sent to gateways that know an endpoint which is gone.
struct ReusedAddressCluster : ClassCluster
{
    //! The second endpoint leaves while \p odd are cut off, and an endpoint of another service listens at its address.
    void reuseBeside(const std::set<std::size_t> &odd, StoreContact contact)
    {
        this->cutOff(odd, PeerCut::Both, contact);
        const std::string address = this->endpoints[1]->address();
        this->registerEndpoint(1, "draining");
        this->endpoints[1]->end();
        this->store.remove("servers/" + this->endpoints[1]->identifier());
        const StandinEndpoint &user = *this->endpoints.emplace_back(std::make_unique<StandinEndpoint>("other-reused", address));
        this->store.put("servers/" + user.identifier(), user.registration("other"));
    }

    //! Sends requests on all routes to \p gateway. Checks that none is run by the endpoint at the used address, and that what is refused has not run.
    void sendAll(std::size_t gateway)
    {
        for (int number = 0; number < restartStreamCount; ++number) {
            for (const std::string path : {"/reads/", "/orders/", "/turns/"}) {
                const std::string method = path == "/reads/" ? "GET" : "POST";
                const std::optional<HttpResponse> answer
                    = this->call(gateway, method, path + std::to_string(number), {{"Oleandergate-Token-Counts", "100,100"}});
                CAPTURE(path);
                REQUIRE(answer);
                CAPTURE(answer->body);
                this->answersByStatus[path + " " + std::to_string(answer->status)] += 1;
                const std::string id = answer->header("Oleandergate-Request-Id");
                if (answer->status == 503 || answer->status == statusMisdirected) {
                    CHECK_FALSE(this->hasRun(id));
                }
            }
        }
        for (const ReceivedRequest &received : this->endpoints.back()->received()) {
            const std::string expected = received.request.header("Oleandergate-Expect-Instance");
            CAPTURE(received.request.target);
            CHECK_FALSE(expected.empty());
            CHECK(expected != this->endpoints.back()->identifier());
        }
    }

    bool hasRun(const std::string &id) const
    {
        for (const std::unique_ptr<StandinEndpoint> &endpoint : this->endpoints) {
            for (const ReceivedRequest &received : endpoint->received()) {
                const std::string expected = received.request.header("Oleandergate-Expect-Instance");
                if (received.request.header("Oleandergate-Request-Id") == id && (expected.empty() || expected == endpoint->identifier())) {
                    return true;
                }
            }
        }
        return false;
    }

    void tellAnswers() const
    {
        std::string text;
        for (const auto &[kind, count] : this->answersByStatus) {
            text += kind + ": " + std::to_string(count) + "; ";
        }
        MESSAGE(text);
        MESSAGE("received at the used address: ", this->endpoints.back()->receivedCount());
    }

    std::map<std::string, int> answersByStatus{};
};

//! Programs whose turns go through instances on both sides of a cut.
struct BudgetCutCluster : BudgetCluster
{
    BudgetCutCluster()
        : BudgetCluster(gatewayCount, 2)
    {
    }

    //! Sends a turn of each program to each of \p asked in turn, again and again, until no instance serves one.
    void spend(const std::vector<std::size_t> &asked)
    {
        std::vector<std::jthread> callers;
        for (auto &[program, tokens] : this->tokens) {
            callers.emplace_back([this, &asked, &program = program, &tokens = tokens]() {
                for (int round = 0; round < longestBudgetRounds; ++round) {
                    bool isServed = false;
                    for (const std::size_t gateway : asked) {
                        const std::optional<HttpResponse> answer = this->turn(gateway, program, budget);
                        isServed = isServed || (answer && answer->status == 200);
                        tokens += answer && answer->status == 200 ? tokensPerTurn : 0;
                    }
                    if (!isServed) {
                        return;
                    }
                }
            });
        }
    }

    void check() const
    {
        for (const auto &each : this->tokens) {
            CAPTURE(each.first);
            CHECK(each.second <= budget + maxTokensPerTurn);
        }
    }

    void beginLongCut(const std::set<std::size_t> &odd, StoreContact contact)
    {
        for (int number = 0; number < longCutProgramCount; ++number) {
            const std::optional<HttpResponse> answer = this->turn(0, "before-" + std::to_string(number), budget);
            REQUIRE(answer);
            REQUIRE(answer->status == 200);
            this->tokens["new-" + std::to_string(number)] = 0;
        }
        this->cutOff(odd, PeerCut::Both, contact);
    }

    //! New programs begin on both sides of the cut, when the slots of the instances that are cut off have had other owners for long.
    void spendBehindLongCut()
    {
        this->spend({0});
        int servedBehindCut = 0;
        for (const auto &[program, spent] : this->tokens) {
            servedBehindCut += spent;
        }
        this->spend({1, 2});
        int total = 0;
        for (const auto &[program, spent] : this->tokens) {
            total += spent;
        }
        MESSAGE("tokens behind the cut: ", servedBehindCut, ", in all: ", total, " of ", longCutProgramCount * budget);
        this->check();
    }

    void playCut(const std::set<std::size_t> &odd, StoreContact contact)
    {
        for (int number = 0; number < budgetProgramCount; ++number) {
            const std::string program = "known-" + std::to_string(number);
            this->tokens["new-" + std::to_string(number)] = 0;
            this->tokens[program] = 0;
            for (const std::size_t gateway : {0, 1}) {
                const std::optional<HttpResponse> answer = this->turn(gateway, program, budget);
                REQUIRE(answer);
                this->tokens[program] += answer->status == 200 ? tokensPerTurn : 0;
            }
        }
        this->cutOff(odd, PeerCut::Both, contact);
        this->spend({0, 1, 2, 3});
        this->check();
        std::this_thread::sleep_for(takeoverTime);
        this->spend({1, 0, 2, 3});
        this->check();
        this->cutOff(odd, PeerCut::None, StoreContact::Whole);
        std::this_thread::sleep_for(takeoverTime);
        this->spend({2, 1, 0, 3});
        this->check();
        for (const auto &each : this->tokens) {
            CAPTURE(each.first);
            // Nothing is left over for another turn, on either side.
            const std::optional<HttpResponse> answer = this->turn(1, each.first, budget);
            REQUIRE(answer);
            CHECK(answer->status == statusBudgetExhausted);
        }
    }

    std::map<std::string, int> tokens{}; //!< That were delivered, by program.
};

} // namespace

// Guards against streams joined from two services: an instance that has not heard that the route moved takes them up at the service that it knows.
TEST_CASE("Cut from peers: an instance takes streams of a route that moved up at their service or not at all")
{
    ClassCluster cluster;
    SUBCASE("the store refuses it")
    {
        cluster.moveBeside({0}, StoreContact::Refused);
    }
    SUBCASE("its watches are silent")
    {
        cluster.moveBeside({0}, StoreContact::Silent);
    }
    SUBCASE("its watches are silent, and it has had its configuration for long")
    {
        std::this_thread::sleep_for(oldConfigurationTime);
        cluster.moveBeside({0}, StoreContact::Silent);
    }
}

// The same for two that are cut off together, and hear each other for as long as the cut lasts.
TEST_CASE("Cut from peers: instances that are cut off together take streams of a route that moved up at their service or not at all")
{
    ClassCluster cluster;
    SUBCASE("the store refuses them")
    {
        cluster.moveBeside({0, 3}, StoreContact::Refused);
    }
    SUBCASE("their watches are silent")
    {
        cluster.moveBeside({0, 3}, StoreContact::Silent);
    }
}

// Guards against joined streams that began when their route could no longer be resumed, of which nothing is recorded, at an instance that has not heard of it.
TEST_CASE("Cut from peers: an instance takes streams that may no longer be resumed up where they began or not at all")
{
    bool hasTwoVersions = true;
    StoreContact contact = StoreContact::Refused;
    SUBCASE("the store refuses it")
    {
    }
    SUBCASE("its watches are silent")
    {
        contact = StoreContact::Silent;
    }
    SUBCASE("the store refuses it, and one software version serves")
    {
        hasTwoVersions = false;
    }
    SUBCASE("its watches are silent, and one software version serves")
    {
        hasTwoVersions = false;
        contact = StoreContact::Silent;
    }
    ClassCluster cluster(hasTwoVersions);
    cluster.cutOff({0}, PeerCut::Both, contact);
    cluster.changeBeside({0}, routeTo("engine", false));
    int served = 0;
    int begunCount = 0;
    for (int round = 0; round < roundCount; ++round) {
        CAPTURE(round);
        const std::map<std::string, std::optional<std::string>> begun = cluster.beginNew(1);
        begunCount += static_cast<int>(begun.size());
        served += cluster.takeUp(0, begun);
        std::this_thread::sleep_for(roundInterval);
    }
    MESSAGE("begun: ", begunCount, ", taken up and served: ", served);
    CHECK(begunCount > 0);
}

// Guards against requests that run at another service, which uses the address of an endpoint that left unheard by an instance.
TEST_CASE("Cut from peers: requests are not run by another service at the address of an endpoint that has left")
{
    ReusedAddressCluster cluster;
    std::set<std::size_t> odd{0};
    SUBCASE("the store refuses one instance")
    {
        cluster.reuseBeside(odd, StoreContact::Refused);
    }
    SUBCASE("the watches of one instance are silent")
    {
        cluster.reuseBeside(odd, StoreContact::Silent);
    }
    SUBCASE("the store refuses two instances")
    {
        odd = {0, 3};
        cluster.reuseBeside(odd, StoreContact::Refused);
    }
    for (int round = 0; round < 4; ++round) {
        for (const std::size_t gateway : odd) {
            cluster.sendAll(gateway);
        }
        std::this_thread::sleep_for(roundInterval);
    }
    cluster.tellAnswers();
}

// Guards against budgets that are spent on both sides of a cut: instances hand out by slots that have other owners by then, or by what owners granted before.
TEST_CASE("Cut from peers: programs get no more than their budget and one turn on both sides of a cut")
{
    BudgetCutCluster cluster;
    SUBCASE("the store refuses one instance")
    {
        cluster.playCut({0}, StoreContact::Refused);
    }
    SUBCASE("the watches of one instance are silent")
    {
        cluster.playCut({0}, StoreContact::Silent);
    }
    SUBCASE("the store refuses two instances")
    {
        cluster.playCut({0, 3}, StoreContact::Refused);
    }
}

// Guards against budgets that are spent twice: an owner of slots that is cut off never ceases to grant the share that needs no record, and the next owner
// grants it too as soon as it takes the programs of the former owner for ended.
TEST_CASE("Long cut from peers: programs that begin long behind a cut get no more than their budget and one turn on both sides of it")
{
    // All at once, as the time behind the cut is the most of it.
    BudgetCutCluster refused;
    BudgetCutCluster silent;
    BudgetCutCluster refusedTogether;
    refused.beginLongCut({0}, StoreContact::Refused);
    silent.beginLongCut({0}, StoreContact::Silent);
    refusedTogether.beginLongCut({0, 3}, StoreContact::Refused);
    std::this_thread::sleep_for(longCutTime);
    refused.spendBehindLongCut();
    silent.spendBehindLongCut();
    refusedTogether.spendBehindLongCut();
}
