#include "policy/runner.h"

#include "decision/dispatcher.h"
#include "decision/peaklimiter.h"
#include "policy/fakeengine.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>

namespace oleandergate::bench {

namespace {

constexpr Tokens cacheCapacity = 60000; //!< Tokens of prefixes that an engine can cache.
constexpr Tokens tokensPerProgressReport = 4; //!< Tokens of a stream between two progress reports.
constexpr Tokens maxOutputTokens = 4096;
constexpr Duration controlInterval = std::chrono::milliseconds(50);
constexpr Duration reportInterval = std::chrono::seconds(1);
constexpr Duration reportDelay = std::chrono::seconds(5); //!< Time until the dispatcher receives a load report.
constexpr double drainSeconds = 400.0; //!< Time after the last arrival for programs in progress to end.
constexpr std::size_t endpointsPerSlowEndpoint = 5; //!< Slow phases affect one in this many endpoints.
constexpr double slowPhaseFactor = 10.0;
constexpr double meanSecondsBetweenSlowPhases = 20.0; //!< Mean time between two slow phases of an affected endpoint.
constexpr double slowPhaseSeconds = 5.0;
constexpr double cancelDelaySeconds = 0.01; //!< Time until an interrupted stream has ended.
constexpr double cacheReleaseDelaySeconds = 0.01; //!< Time until the engines learn that a program has ended.
constexpr Duration endedRetention = std::chrono::seconds(120); //!< Time for which the cache use of an ended program is sampled.
constexpr std::size_t turnsBeforeAbandonment = 2;
constexpr Tokens maxShortOutputTokens = 300; //!< Calls that generate at most this many tokens count as short.

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

struct Program;

//! Progress of one branch of a running program.
struct BranchRun
{
    Program *program = nullptr;
    const Branch *plan = nullptr;
    std::string branchName{}; //!< Empty for the main branch.
    std::size_t nextTurn = 0;
    Tokens historyTokens = 0; //!< Length of the conversation so far.
};

struct Program
{
    const ProgramPlan *plan = nullptr;
    std::string id{};
    std::vector<std::unique_ptr<BranchRun>> branches{};
    std::size_t openSubAgents = 0;
    bool ended = false;
    double remainingSeconds = 0.0; //!< Remaining seconds of generation, for the clairvoyant policy.
};

struct Call
{
    BranchRun *branch = nullptr;
    Turn turn{};
    Tokens prompt = 0;
    Tokens generated = 0;
    Time readyAt{}; //!< When the program submitted the call.
    std::size_t endpoint = 0;
    std::uint64_t attempt = 0; //!< Increases with each start and end of an attempt, so that events of earlier attempts are recognised and ignored.
    bool inBatch = false; //!< Has a batch slot; otherwise the call waits in the engine's own queue.
};

//! Simulates one run with a queue of events in virtual time.
class Runner
{
public:
    Runner(const Scenario &scenario, const Policy &policy)
        : scenario(scenario)
        , policy(policy)
        , dispatcher(policy.options, scenario.seed)
        , peakLimiter(Duration(0))
        , random(scenario.seed * 31 + 7)
    {
        std::vector<EndpointSpec> specs;
        for (std::size_t index = 0; index < endpointCount; ++index) {
            specs.push_back(EndpointSpec{"e" + std::to_string(index), {}, {}, slotsPerEndpoint});
            this->engines.push_back(FakeEngine{PrefixCache(cacheCapacity)});
        }
        this->queues.resize(endpointCount);
        this->dispatcher.setEndpoints(specs);
        if (scenario.tokenCapPerMinute > 0) {
            this->peakLimiter.setGrant(PeakGrant{scenario.tokenCapPerMinute, std::numeric_limits<Minute>::max()});
        }
    }

    Metrics run()
    {
        const std::vector<ProgramPlan> plans = makeWorkload(*this->scenario.deployment, this->scenario.load, this->scenario.seed);
        for (const ProgramPlan &plan : plans) {
            this->scheduleAt(this->start + fromSeconds(plan.arrival), [this, &plan]() {
                this->startProgram(plan);
            });
        }
        if (this->scenario.slowPhases) {
            for (std::size_t index = 0; index < endpointCount / endpointsPerSlowEndpoint; ++index) {
                this->scheduleSlowPhase(index);
            }
        }
        this->runControlCycle();
        this->reportAndSample();
        while (!this->events.empty() && this->events.begin()->first < this->start + fromSeconds(runSeconds + drainSeconds)) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
        return this->summarise(plans.size());
    }

private:
    void scheduleAt(Time when, std::function<void()> action)
    {
        this->events.emplace(when, std::move(action));
    }

    void scheduleAfter(double seconds, std::function<void()> action)
    {
        this->scheduleAt(this->now + fromSeconds(seconds), std::move(action));
    }

    void scheduleSlowPhase(std::size_t index)
    {
        const double wait = std::exponential_distribution<double>(1.0 / meanSecondsBetweenSlowPhases)(this->random);
        this->scheduleAfter(wait, [this, index]() {
            this->engines[index].slowFactor = slowPhaseFactor;
            this->scheduleAfter(slowPhaseSeconds, [this, index]() {
                this->engines[index].slowFactor = 1.0;
                this->scheduleSlowPhase(index);
            });
        });
    }

    void startProgram(const ProgramPlan &plan)
    {
        auto program = std::make_unique<Program>();
        program->plan = &plan;
        program->id = "p" + std::to_string(this->programs.size());
        const auto work = [](const Branch &branch) {
            double seconds = 0.0;
            for (const Turn &turn : branch.turns) {
                seconds += static_cast<double>(turn.outputTokens) * secondsPerToken;
            }
            return seconds;
        };
        program->remainingSeconds = work(plan.mainBranch);
        for (const Branch &branch : plan.subAgents) {
            program->remainingSeconds += work(branch);
        }
        program->branches.push_back(std::make_unique<BranchRun>(BranchRun{program.get(), &plan.mainBranch}));
        BranchRun *branch = program->branches.back().get();
        this->programs.push_back(std::move(program));
        this->submit(*branch);
    }

    void submit(BranchRun &branch)
    {
        Program &program = *branch.program;
        if (program.ended) {
            return;
        }
        const Turn &turn = branch.plan->turns[branch.nextTurn];
        branch.historyTokens += turn.newPromptTokens;
        const CallId id = this->nextCall++;
        this->calls[id] = Call{&branch, turn, branch.historyTokens, 0, this->now};
        QueuedCall queued{id, program.id, branch.branchName};
        queued.resumable = true;
        queued.promptTokens = branch.historyTokens;
        queued.maxTokens = maxOutputTokens;
        queued.programStart = this->start + fromSeconds(this->policy.clairvoyant ? program.remainingSeconds : program.plan->arrival);
        queued.deadline = this->start + fromSeconds(program.plan->arrival + program.plan->deadline);
        queued.programDeadline = queued.deadline;
        if (!this->dispatcher.enqueue(queued, this->now)) {
            this->refusedPrograms += 1;
            this->calls.erase(id);
            this->endProgram(program);
            return;
        }
        this->placeWaitingCalls();
    }

    void placeWaitingCalls()
    {
        while (const QueuedCall *head = this->dispatcher.head(this->now)) {
            const Call &waiting = this->calls.at(head->call);
            const Tokens tokens = waiting.prompt + waiting.turn.outputTokens;
            if (this->scenario.tokenCapPerMinute > 0 && !this->peakLimiter.tryCharge(tokens, this->now)) {
                return;
            }
            const std::optional<Placement> placement = this->dispatcher.next(this->now);
            if (!placement) {
                if (this->scenario.tokenCapPerMinute > 0) {
                    this->peakLimiter.refund(tokens, this->now);
                }
                return;
            }
            this->billedTokens[minuteOf(this->now)] += tokens;
            this->enqueueAtEngine(placement->call, static_cast<std::size_t>(std::stoul(placement->endpoint.id.substr(1))));
        }
    }

    void enqueueAtEngine(CallId id, std::size_t endpoint)
    {
        Call &call = this->calls.at(id);
        call.endpoint = endpoint;
        call.attempt += 1;
        call.inBatch = false;
        this->queues[endpoint].push_back(id);
        this->fillBatch(endpoint);
    }

    void fillBatch(std::size_t endpoint)
    {
        FakeEngine &engine = this->engines[endpoint];
        while (engine.running < slotsPerEndpoint && !this->queues[endpoint].empty()) {
            const CallId id = this->queues[endpoint].front();
            this->queues[endpoint].pop_front();
            const auto found = this->calls.find(id);
            if (found == this->calls.end() || found->second.inBatch || found->second.endpoint != endpoint) {
                continue;
            }
            Call &call = found->second;
            call.inBatch = true;
            engine.running += 1;
            const std::string key = call.branch->program->id + "/" + call.branch->branchName;
            const Tokens prompt = call.prompt + call.generated;
            Tokens cached = engine.cache.lookUp(key, prompt);
            if (!call.branch->branchName.empty()) {
                cached = std::max(cached, engine.cache.lookUp(call.branch->program->id + "/", prompt));
            }
            const Tokens previouslyComputed = std::min(prompt, this->previouslyComputed[key]);
            this->promptTokens += prompt;
            this->recomputedTokens += std::max<Tokens>(0, previouslyComputed - cached);
            this->previouslyComputed[key] = prompt;
            const double prefill = static_cast<double>(prompt - cached) * prefillSecondsPerToken * engine.slowFactor;
            this->scheduleToken(id, call.attempt, prefill);
        }
    }

    void scheduleToken(CallId id, std::uint64_t attempt, double delaySeconds)
    {
        const Call &call = this->calls.at(id);
        const FakeEngine &engine = this->engines[call.endpoint];
        const double occupancy = static_cast<double>(engine.running) / static_cast<double>(slotsPerEndpoint);
        const Tokens step = std::min(tokensPerProgressReport, call.turn.outputTokens - call.generated);
        const double pace = secondsPerToken * (1.0 + batchSlowdown * occupancy) * engine.slowFactor;
        this->scheduleAfter(delaySeconds + static_cast<double>(step) * pace, [this, id, attempt, step]() {
            this->progress(id, attempt, step);
        });
    }

    void progress(CallId id, std::uint64_t attempt, Tokens step)
    {
        const auto found = this->calls.find(id);
        if (found == this->calls.end() || found->second.attempt != attempt) {
            return;
        }
        Call &call = found->second;
        call.generated += step;
        this->dispatcher.onProgress(id, step, this->now);
        if (call.generated < call.turn.outputTokens) {
            this->scheduleToken(id, attempt, 0.0);
            return;
        }
        this->leaveEngine(call);
        this->finishCall(id);
    }

    void leaveEngine(Call &call)
    {
        FakeEngine &engine = this->engines[call.endpoint];
        if (call.inBatch) {
            engine.running -= 1;
            const std::string key = call.branch->program->id + "/" + call.branch->branchName;
            engine.cache.store(key, call.prompt + call.generated);
        }
        call.inBatch = false;
        call.attempt += 1;
        this->fillBatch(call.endpoint);
    }

    void finishCall(CallId id)
    {
        const Call call = this->calls.at(id);
        this->calls.erase(id);
        this->dispatcher.onFinished(id, true, this->now);
        this->finishedCalls += 1;
        const double aloneSeconds
            = static_cast<double>(call.turn.outputTokens) * secondsPerToken + static_cast<double>(call.turn.newPromptTokens) * prefillSecondsPerToken;
        if (call.turn.outputTokens <= maxShortOutputTokens && !call.turn.straggler) {
            this->slowdowns.push_back(toSeconds(this->now - call.readyAt) / aloneSeconds);
        }
        BranchRun &branch = *call.branch;
        Program &program = *branch.program;
        program.remainingSeconds -= static_cast<double>(call.turn.outputTokens) * secondsPerToken;
        branch.historyTokens += call.turn.outputTokens;
        branch.nextTurn += 1;
        if (program.plan->abandoned && branch.nextTurn >= turnsBeforeAbandonment) {
            this->endProgram(program);
        } else {
            this->scheduleAfter(call.turn.toolSeconds, [this, &branch]() {
                this->continueBranch(branch);
            });
        }
        this->placeWaitingCalls();
    }

    void continueBranch(BranchRun &branch)
    {
        Program &program = *branch.program;
        if (!branch.branchName.empty()) {
            if (branch.nextTurn < branch.plan->turns.size()) {
                this->submit(branch);
            } else if (--program.openSubAgents == 0) {
                this->continueMainBranch(*program.branches.front());
            }
            return;
        }
        if (branch.nextTurn == program.plan->forkAfterTurn && !program.plan->subAgents.empty() && program.branches.size() == 1) {
            for (const Branch &subAgent : program.plan->subAgents) {
                const std::string branchName = "a" + std::to_string(program.branches.size());
                program.branches.push_back(std::make_unique<BranchRun>(BranchRun{&program, &subAgent, branchName, 0, branch.historyTokens}));
                program.openSubAgents += 1;
            }
            for (std::size_t index = 1; index < program.branches.size(); ++index) {
                this->submit(*program.branches[index]);
            }
            return;
        }
        this->continueMainBranch(branch);
    }

    void continueMainBranch(BranchRun &branch)
    {
        Program &program = *branch.program;
        if (branch.nextTurn < branch.plan->turns.size()) {
            this->submit(branch);
            return;
        }
        const double latency = toSeconds(this->now - this->start) - program.plan->arrival;
        this->latencies.push_back(latency);
        const bool inTime = latency <= program.plan->deadline;
        this->inTime += inTime ? 1 : 0;
        this->burstInTime += inTime && program.plan->inBurst ? 1 : 0;
        this->endProgram(program);
    }

    void endProgram(Program &program)
    {
        program.ended = true;
        this->endedAt[program.id] = this->now;
        this->dispatcher.forgetProgram(program.id);
        if (this->policy.releasesCache) {
            this->scheduleAfter(cacheReleaseDelaySeconds, [this, &program]() {
                for (FakeEngine &engine : this->engines) {
                    engine.cache.eraseWithPrefix(program.id + "/");
                }
            });
        }
    }

    void runControlCycle()
    {
        for (const Interruption &interruption : this->dispatcher.interruptions(this->now)) {
            const auto found = this->calls.find(interruption.call);
            if (found == this->calls.end()) {
                continue;
            }
            this->leaveEngine(found->second);
            this->interruptions += 1;
            const CallId id = interruption.call;
            this->scheduleAfter(cancelDelaySeconds, [this, id]() {
                const auto call = this->calls.find(id);
                if (call != this->calls.end()) {
                    this->dispatcher.onInterrupted(id, call->second.generated, this->now);
                    this->placeWaitingCalls();
                }
            });
        }
        this->placeWaitingCalls();
        if (this->now < this->start + fromSeconds(runSeconds + drainSeconds)) {
            this->scheduleAt(this->now + controlInterval, [this]() {
                this->runControlCycle();
            });
        }
    }

    void reportAndSample()
    {
        // The load is measured now, but the report arrives after a delay. The use of the caches is sampled at the same interval.
        for (std::size_t index = 0; index < endpointCount; ++index) {
            const std::uint32_t running = this->engines[index].running;
            const Time measuredAt = this->now;
            this->scheduleAt(this->now + reportDelay, [this, index, running, measuredAt]() {
                this->dispatcher.onLoadReport("e" + std::to_string(index), running, measuredAt, this->now);
            });
            this->cachedTokenSeconds += static_cast<double>(this->engines[index].cache.totalTokens());
        }
        std::erase_if(this->endedAt, [this](const auto &entry) {
            return entry.second + endedRetention < this->now;
        });
        for (const auto &[program, since] : this->endedAt) {
            for (const FakeEngine &engine : this->engines) {
                this->endedCachedTokenSeconds += static_cast<double>(engine.cache.tokensWithPrefix(program + "/"));
            }
        }
        if (this->now < this->start + fromSeconds(runSeconds)) {
            this->scheduleAt(this->now + reportInterval, [this]() {
                this->reportAndSample();
            });
        }
    }

    Metrics summarise(std::size_t programCount) const
    {
        Metrics metrics;
        double expectedPrograms = 0.0;
        double burstPrograms = 0.0;
        for (const std::unique_ptr<Program> &program : this->programs) {
            expectedPrograms += program->plan->abandoned ? 0.0 : 1.0;
            burstPrograms += program->plan->abandoned || !program->plan->inBurst ? 0.0 : 1.0;
        }
        metrics.programP50 = percentile(this->latencies, 0.5);
        metrics.programP95 = percentile(this->latencies, 0.95);
        metrics.programP99 = percentile(this->latencies, 0.99);
        metrics.withinDeadline = static_cast<double>(this->inTime) / std::max(1.0, expectedPrograms);
        metrics.burstWithinDeadline = static_cast<double>(this->burstInTime) / std::max(1.0, burstPrograms);
        metrics.goodput = static_cast<double>(this->inTime) / runSeconds;
        metrics.shortSlowdownP99 = percentile(this->slowdowns, 0.99);
        metrics.recomputedShare = static_cast<double>(this->recomputedTokens) / static_cast<double>(std::max<Tokens>(1, this->promptTokens));
        metrics.endedProgramCacheShare = this->endedCachedTokenSeconds / std::max(1.0, this->cachedTokenSeconds);
        metrics.refusedShare = static_cast<double>(this->refusedPrograms) / static_cast<double>(std::max<std::size_t>(1, programCount));
        metrics.interruptionsPerCall = static_cast<double>(this->interruptions) / static_cast<double>(std::max<std::uint64_t>(1, this->finishedCalls));
        Tokens highest = 0;
        for (const auto &[minute, tokens] : this->billedTokens) {
            highest = std::max(highest, tokens);
        }
        metrics.highestMinuteOverCap
            = this->scenario.tokenCapPerMinute > 0 ? static_cast<double>(highest) / static_cast<double>(this->scenario.tokenCapPerMinute) : 0.0;
        return metrics;
    }

    Scenario scenario;
    Policy policy;
    Dispatcher dispatcher;
    PeakLimiter peakLimiter;
    std::mt19937_64 random;
    Time start{std::chrono::hours(1000)};
    Time now = start;
    std::multimap<Time, std::function<void()>> events;
    std::vector<FakeEngine> engines;
    std::vector<std::deque<CallId>> queues;
    std::vector<std::unique_ptr<Program>> programs;
    std::map<CallId, Call> calls;
    std::map<std::string, Time> endedAt; //!< Recently ended programs.
    std::map<std::string, Tokens> previouslyComputed; //!< Length of the longest computed prompt, by program and branch.
    std::map<Minute, Tokens> billedTokens;
    CallId nextCall = 1;
    std::vector<double> latencies;
    std::vector<double> slowdowns;
    Tokens promptTokens = 0;
    Tokens recomputedTokens = 0;
    double cachedTokenSeconds = 0.0; //!< Use of all caches, summed over samples taken once a second.
    double endedCachedTokenSeconds = 0.0; //!< The part of it that belongs to ended programs.
    std::uint64_t inTime = 0;
    std::uint64_t burstInTime = 0;
    std::uint64_t refusedPrograms = 0;
    std::uint64_t interruptions = 0;
    std::uint64_t finishedCalls = 0;
};

} // namespace

Metrics runScenario(const Scenario &scenario, const Policy &policy)
{
    return Runner(scenario, policy).run();
}

} // namespace oleandergate::bench
