//! When the unused tokens of a turn are back: before the end of its answer, or before the next turn is refused for want of them.

#include "decision/processlimits.h"
#include "gateway/allowances.h"
#include "gateway/assignmentnews.h"
#include "gateway/budgetcoordinator.h"
#include "gateway/hedging.h"
#include "gateway/peergossip.h"
#include "gateway/relay.h"
#include "gateway/routetargetrecords.h"
#include "gateway/streamnews.h"
#include "runtime/asyncsignal.h"
#include "runtime/clock.h"
#include "runtime/memorybudget.h"
#include "runtime/metrics.h"
#include "runtime/peerclient.h"
#include "runtime/peerserver.h"
#include "support/testcluster.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>

using namespace oleandergate;
using namespace oleandergate::support;

namespace asio = boost::asio;

namespace {

constexpr Tokens turnTokens = 100;
constexpr Tokens budget = 2 * turnTokens;
constexpr SlotId slotCount = 128;
constexpr std::size_t memoryBytes = 64UL * 1024 * 1024;

//! Accepts all writes and has no records.
class AcceptingStore : public KeyValueService
{
public:
    asio::awaitable<Result<KvTransactionReply>> transact(KvTransaction /*transaction*/) override
    {
        KvTransactionReply reply;
        reply.succeeded = true;
        reply.revision = ++this->revision;
        co_return reply;
    }

    asio::awaitable<Result<KvRange>> range(std::string /*prefix*/, KvFilter /*keeps*/) override
    {
        KvRange range;
        range.revision = this->revision;
        co_return range;
    }

    asio::awaitable<Result<std::uint64_t>> grantLease(Duration /*length*/) override
    {
        co_return std::uint64_t{1};
    }

    asio::awaitable<Result<void>> renewLease(std::uint64_t /*lease*/) override
    {
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<Error> watch(std::string /*prefix*/,
                                 std::uint64_t /*fromRevision*/,
                                 std::function<void(const KvEvent &)> /*onEvent*/,
                                 std::function<bool()> /*keepWatching*/) override
    {
        Error ended{};
        co_return ended;
    }

private:
    std::uint64_t revision = 0;
};

//! An instance's coordinator, with what it needs, in the test's process.
struct CoordinatorUnderTest
{
    CoordinatorUnderTest()
        : coordinator(BudgetCoordinator::Parts{context,
                                               store,
                                               peers,
                                               metrics,
                                               [](Time /*time*/, Time /*now*/) {
                                                   return true;
                                               }},
                      self,
                      std::chrono::seconds(60))
    {
    }

    //! Runs \p test to its end.
    void run(asio::awaitable<void> test)
    {
        asio::co_spawn(this->context, std::move(test), [this](const std::exception_ptr &failure) {
            this->context.stop();
            REQUIRE(!failure);
        });
        this->context.run();
    }

    //! Lets this instance own all slots, as the only one for a while.
    asio::awaitable<void> ownAllSlots()
    {
        this->coordinator.onMembers({}, {}, currentTime() - std::chrono::seconds(30));
        this->coordinator.start();
        while (this->coordinator.ownedSlots().size() < slotCount) {
            co_await sleepFor(std::chrono::milliseconds(10));
        }
    }

    //! Returns what this instance, as the owner, answers to a turn that another instance serves.
    asio::awaitable<BudgetDecision> ask(std::string id)
    {
        const PeerMessage question = BudgetRequest{std::move(id), TurnRequest{"p", budget, turnTokens}};
        const std::optional<PeerMessage> answer = co_await this->coordinator.serve(question);
        co_return std::get<BudgetReply>(*answer).decision;
    }

    asio::awaitable<void> settleLater(std::string id, Tokens used)
    {
        co_await sleepFor(std::chrono::milliseconds(10));
        const PeerMessage settlement = BudgetSettlement{std::move(id), "p", used};
        co_await this->coordinator.serve(settlement);
    }

    asio::io_context context;
    AcceptingStore store;
    MessageAuth auth{"key"};
    PeerClient peers{context, auth};
    Metrics metrics;
    InstanceRecord self{"self~1", unusedAddress(), "a", false};
    BudgetCoordinator coordinator;
};

ProgramContext programWithBudget()
{
    ProgramContext program;
    program.program = "p";
    program.branch = "p";
    program.tokenBudget = budget;
    return program;
}

asio::awaitable<void> askBesideLateSettlement(CoordinatorUnderTest &owner, bool ownTurn)
{
    co_await owner.ownAllSlots();
    const BudgetDecision first = co_await owner.ask("first");
    const BudgetDecision second = co_await owner.ask("second");
    REQUIRE(first == BudgetDecision::Granted);
    REQUIRE(second == BudgetDecision::Granted);
    asio::co_spawn(owner.context, owner.settleLater("first", 0), asio::detached);
    if (ownTurn) {
        const ProgramContext program = programWithBudget();
        const Result<void> reserved = co_await owner.coordinator.reserve(program, turnTokens, "third");
        CHECK(reserved);
    } else {
        const BudgetDecision third = co_await owner.ask("third");
        CHECK(third == BudgetDecision::Granted);
    }
    // The turns under way have reserved all of the budget.
    const BudgetDecision fourth = co_await owner.ask("fourth");
    CHECK(fourth == BudgetDecision::Exhausted);
}

asio::awaitable<void> settleAtOwner(CoordinatorUnderTest &instance, const std::string &owner, const int &arrived, int &arrivedBeforeEnd)
{
    std::map<SlotId, std::string> owners;
    for (SlotId slot = 0; slot < slotCount; ++slot) {
        owners[slot] = owner;
    }
    instance.coordinator.onMembers({InstanceRecord{"owner~1", owner, "a", false}}, owners, currentTime());
    const ProgramContext program = programWithBudget();
    for (int turn = 0; turn < 50; ++turn) {
        const std::string id = std::to_string(turn);
        const Result<void> reserved = co_await instance.coordinator.reserve(program, turnTokens, id);
        REQUIRE(reserved);
        const int before = arrived;
        co_await instance.coordinator.settle(program, id, 0);
        arrivedBeforeEnd += arrived - before;
        co_await sleepFor(std::chrono::milliseconds(5));
    }
}

//! Writes down the order of what a relay does at the end of a turn.
class RecordingBudget : public TokenBudgetService
{
public:
    explicit RecordingBudget(std::vector<std::string> &steps)
        : steps(steps)
    {
    }

    asio::awaitable<Result<void>> reserve(ProgramContext /*program*/, Tokens /*tokens*/, std::string /*id*/) override
    {
        this->steps.emplace_back("reserve");
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<void> settle(ProgramContext /*program*/, std::string /*id*/, Tokens used) override
    {
        this->steps.emplace_back("settle " + std::to_string(used));
        co_return;
    }

private:
    std::vector<std::string> &steps;
};

class RecordingExchange : public HttpExchange
{
public:
    explicit RecordingExchange(std::vector<std::string> &steps)
        : steps(steps)
    {
    }

    asio::awaitable<bool> respond(HttpResponse /*response*/) override
    {
        this->steps.emplace_back("answer");
        co_return true;
    }

    asio::awaitable<bool> startStream(HttpResponse /*head*/) override
    {
        co_return true;
    }

    asio::awaitable<bool> sendChunk(std::string /*chunk*/) override
    {
        co_return true;
    }

    asio::awaitable<bool> endStream() override
    {
        this->steps.emplace_back("answer");
        co_return true;
    }

    void closeAfterResponse() override
    {
    }

    void abandon() override
    {
    }

    void onCallerDisconnected(std::function<void()> /*onDisconnected*/) override
    {
    }

    bool isCallerDisconnected() const override
    {
        return false;
    }

private:
    std::vector<std::string> &steps;
};

//! Takes every request for the same turn of a program with a budget.
class TurnCodec : public HeaderCodec
{
public:
    Result<RelayCall> decode(HttpRequest /*request*/) const override
    {
        RelayCall call;
        call.requestId = "r1";
        call.method = "POST";
        call.host = "h.example";
        call.target = "/turns/1";
        call.program = programWithBudget();
        call.maxTokens = turnTokens;
        return call;
    }

    std::vector<HttpHeader> encode(const RelayCall & /*call*/, const ForwardingOptions & /*options*/) const override
    {
        return {};
    }

    AnswerMetadata readAnswerMetadata(const HttpResponse & /*answer*/) const override
    {
        return AnswerMetadata{};
    }

    std::optional<std::int64_t> readEventWeights(std::string_view /*event*/) const override
    {
        return std::nullopt;
    }

    HttpHeader challenge() const override
    {
        return HttpHeader{"WWW-Authenticate", "Token"};
    }

    HttpHeader retryAfter(Duration /*wait*/) const override
    {
        return HttpHeader{"Retry-After", "1"};
    }
};

GatewayConfiguration configurationWithTurns()
{
    Route route;
    route.name = "turns";
    route.host = "h.example";
    route.prefix = "/turns/";
    route.kind = RouteKind::Stream;
    route.timeout = std::chrono::milliseconds(50);
    route.objective = std::chrono::milliseconds(250);
    route.targets.push_back(RouteTarget{"engine", 1});
    GatewayService service;
    service.name = "engine";
    service.isEngine = true;
    GatewayConfiguration configuration;
    configuration.version = 1;
    configuration.routes.push_back(route);
    configuration.services.push_back(service);
    return configuration;
}

//! A relay without endpoints.
struct RelayUnderTest : CoordinatorUnderTest
{
    RelayUnderTest()
    {
        this->holder.activateIfNewer(configurationWithTurns(), Time{});
        this->pools.configure(*this->holder.current(), currentTime());
    }

    std::vector<std::string> steps;
    std::function<void()> onNews = []() {};
    GatewayConfigurationHolder holder;
    RequestDrain drain;
    PoolSet pools{std::chrono::seconds(1), "a", 1};
    HttpClient client{context};
    TurnCodec codec;
    RecordingBudget recordingBudget{steps};
    CrashRegistry crashes{metrics, 1, onNews};
    RateLimiter limiter{peers, metrics, self, onNews};
    Allowances allowances{peers, metrics, holder, self, AllowanceTolerance()};
    Hedging hedging{0.0, metrics};
    LeavingEndpoints leaving{pools, metrics, self.id, onNews};
    AssignmentNews assignmentNews{self.id, onNews};
    StreamNews streamNews{self.id};
    PeerGossip gossip{context, auth, self, {}, PeerGossip::Hooks{}};
    RouteTargetRecords targets{RouteTargetRecords::Parts{context, store, gossip, metrics}, self.id};
    StreamVersions versions{StreamVersions::Parts{context, store, pools, holder, gossip, targets, metrics, peers, assignmentNews, streamNews}, self.id};
    StreamHabitRegistry habits{metrics};
    MemoryBudget memory{processLimitsFor(memoryBytes, 0).heldBytes, metrics};
    Relay relay{Relay::Parts{
        holder, drain, pools, client, codec, recordingBudget, crashes, limiter, allowances, hedging, leaving, targets, versions, habits, memory, metrics}};
};

} // namespace

// Guards against a refusal for want of tokens that a turn which has ended did not use, and that are on their way to the owner.
TEST_CASE("Settlement: a turn that the budget does not cover waits at the owner for the tokens of a turn that has ended")
{
    CoordinatorUnderTest owner;
    bool ownTurn = false;
    SUBCASE("served by another instance")
    {
    }
    SUBCASE("served by the owner")
    {
        ownTurn = true;
    }
    owner.run(askBesideLateSettlement(owner, ownTurn));
}

// Guards against an end of an answer that goes out without waiting at all for the owner's confirmation that the tokens are back.
TEST_CASE("Settlement: the unused tokens are back at another instance that owns the ledger when the turn is settled")
{
    CoordinatorUnderTest instance;
    int arrived = 0;
    PeerServer owner(
        instance.context, instance.auth, [&arrived](PeerMessage message, const std::shared_ptr<AnswerChannel> & /*chunks*/) -> asio::awaitable<PeerMessage> {
            arrived += std::holds_alternative<BudgetSettlement>(message) ? 1 : 0;
            BudgetReply reply;
            reply.decision = BudgetDecision::Granted;
            co_return PeerMessage(reply);
        });
    const std::string address = unusedAddress();
    REQUIRE(owner.start(address));
    int arrivedBeforeEnd = 0;
    instance.run(settleAtOwner(instance, address, arrived, arrivedBeforeEnd));
    // Each settlement waits a few milliseconds at most, so that not all arrive in time on a busy machine.
    CHECK(arrivedBeforeEnd > 0);
}

// Guards against a next turn that arrives before the unused tokens of the one before, whose answer its caller has already.
TEST_CASE("Settlement: a turn is settled before the end of its answer is sent")
{
    RelayUnderTest instance;
    RecordingExchange exchange(instance.steps);
    instance.run(instance.relay.handle(HttpRequest{}, exchange));
    CHECK(instance.steps == std::vector<std::string>{"reserve", "settle 0", "answer"});
}
