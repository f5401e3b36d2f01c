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

constexpr Tokens cacheCapacity = 60000; //!< Tokens of prefixes that an engine holds.
constexpr Tokens progressTokens = 4; //!< Tokens between two reports of progress.
constexpr Tokens maxOutput = 4096;
constexpr Duration controlStep = std::chrono::milliseconds(50);
constexpr Duration reportStep = std::chrono::seconds(1);
constexpr Duration reportLag = std::chrono::seconds(5);
constexpr double drainSeconds = 400.0;
constexpr double slowFactor = 10.0;
constexpr double slowEvery = 20.0; //!< Seconds between slow moments of an affected endpoint.
constexpr double slowLength = 5.0;
constexpr double cancelSeconds = 0.01; //!< Time until an interrupted stream has ended.
constexpr double forgetSeconds = 0.01; //!< Time until engines hear that a program is gone.
constexpr Tokens shortOutput = 300; //!< Calls up to this length count as short.

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

//! A line of a program under way.
struct LineRun
{
    Program *program = nullptr;
    const Line *line = nullptr;
    std::string branch{};
    std::size_t next = 0;
    Tokens history = 0;
};

struct Program
{
    const ProgramPlan *plan = nullptr;
    std::string id{};
    std::vector<std::unique_ptr<LineRun>> lines{};
    std::size_t openSubAgents = 0;
    bool gone = false;
    double remaining = 0.0; //!< Seconds of work, for the clairvoyant policy.
};

struct Call
{
    LineRun *line = nullptr;
    Turn turn{};
    Tokens prompt = 0;
    Tokens generated = 0;
    Time ready{};
    std::size_t endpoint = 0;
    std::uint64_t attempt = 0; //!< Grows with each start and interruption, so that stale events are known.
    bool inEngine = false; //!< Holds a batch slot; otherwise it waits in the engine's own queue.
};

class Runner
{
public:
    Runner(const Scenario &scenario, const Policy &policy)
        : scenario(scenario)
        , policy(policy)
        , dispatcher(policy.options, scenario.seed)
        , peak(Duration(0))
        , random(scenario.seed * 31 + 7)
    {
        std::vector<EndpointSpec> specs;
        for (std::size_t index = 0; index < endpointCount; ++index) {
            specs.push_back(EndpointSpec{"e" + std::to_string(index), {}, {}, slotsPerEndpoint});
            this->engines.push_back(FakeEngine{PrefixCache(cacheCapacity)});
        }
        this->queues.resize(endpointCount);
        this->dispatcher.setEndpoints(specs);
        if (scenario.capPerMinute > 0) {
            this->peak.setGrant(PeakGrant{scenario.capPerMinute, std::numeric_limits<Minute>::max()});
        }
    }

    Measures run()
    {
        const std::vector<ProgramPlan> plans = makeWorkload(*this->scenario.deployment, this->scenario.load, this->scenario.seed);
        for (const ProgramPlan &plan : plans) {
            this->at(this->start + fromSeconds(plan.arrival), [this, &plan]() {
                this->arrive(plan);
            });
        }
        if (this->scenario.slowMoments) {
            for (std::size_t index = 0; index < endpointCount / 5; ++index) {
                this->slowDown(index);
            }
        }
        this->control();
        this->report();
        while (!this->events.empty() && this->events.begin()->first < this->start + fromSeconds(runSeconds + drainSeconds)) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
        return this->summarise(plans.size());
    }

private:
    void at(Time when, std::function<void()> action)
    {
        this->events.emplace(when, std::move(action));
    }

    void after(double seconds, std::function<void()> action)
    {
        this->at(this->now + fromSeconds(seconds), std::move(action));
    }

    void slowDown(std::size_t index)
    {
        const double wait = std::exponential_distribution<double>(1.0 / slowEvery)(this->random);
        this->after(wait, [this, index]() {
            this->engines[index].slowFactor = slowFactor;
            this->after(slowLength, [this, index]() {
                this->engines[index].slowFactor = 1.0;
                this->slowDown(index);
            });
        });
    }

    void arrive(const ProgramPlan &plan)
    {
        auto program = std::make_unique<Program>();
        program->plan = &plan;
        program->id = "p" + std::to_string(this->programs.size());
        const auto work = [](const Line &line) {
            double seconds = 0.0;
            for (const Turn &turn : line.turns) {
                seconds += static_cast<double>(turn.output) * tokenSeconds;
            }
            return seconds;
        };
        program->remaining = work(plan.mainLine);
        for (const Line &line : plan.subAgents) {
            program->remaining += work(line);
        }
        program->lines.push_back(std::make_unique<LineRun>(LineRun{program.get(), &plan.mainLine}));
        LineRun *line = program->lines.back().get();
        this->programs.push_back(std::move(program));
        this->submit(*line);
    }

    void submit(LineRun &line)
    {
        Program &program = *line.program;
        if (program.gone) {
            return;
        }
        const Turn &turn = line.line->turns[line.next];
        line.history += turn.newPrompt;
        const CallId id = this->nextCall++;
        this->calls[id] = Call{&line, turn, line.history, 0, this->now};
        QueuedCall queued{id, program.id, line.branch};
        queued.resumable = true;
        queued.promptTokens = line.history;
        queued.maxTokens = maxOutput;
        queued.programStart = this->start + fromSeconds(this->policy.clairvoyant ? program.remaining : program.plan->arrival);
        queued.deadline = this->start + fromSeconds(program.plan->arrival + program.plan->deadline);
        queued.programDeadline = queued.deadline;
        if (!this->dispatcher.enqueue(queued, this->now)) {
            this->refusedPrograms += 1;
            this->calls.erase(id);
            this->end(program);
            return;
        }
        this->pump();
    }

    void pump()
    {
        while (const QueuedCall *head = this->dispatcher.head(this->now)) {
            const Call &waiting = this->calls.at(head->call);
            const Tokens tokens = waiting.prompt + waiting.turn.output;
            if (this->scenario.capPerMinute > 0 && !this->peak.tryCharge(tokens, this->now)) {
                return;
            }
            const std::optional<Placement> placement = this->dispatcher.next(this->now);
            if (!placement) {
                if (this->scenario.capPerMinute > 0) {
                    this->peak.refund(tokens, this->now);
                }
                return;
            }
            this->billed[minuteOf(this->now)] += tokens;
            this->arriveAtEngine(placement->call, static_cast<std::size_t>(std::stoul(placement->endpoint.id.substr(1))));
        }
    }

    void arriveAtEngine(CallId id, std::size_t endpoint)
    {
        Call &call = this->calls.at(id);
        call.endpoint = endpoint;
        call.attempt += 1;
        call.inEngine = false;
        this->queues[endpoint].push_back(id);
        this->admitAtEngine(endpoint);
    }

    void admitAtEngine(std::size_t endpoint)
    {
        FakeEngine &engine = this->engines[endpoint];
        while (engine.running < slotsPerEndpoint && !this->queues[endpoint].empty()) {
            const CallId id = this->queues[endpoint].front();
            this->queues[endpoint].pop_front();
            const auto found = this->calls.find(id);
            if (found == this->calls.end() || found->second.inEngine || found->second.endpoint != endpoint) {
                continue;
            }
            Call &call = found->second;
            call.inEngine = true;
            engine.running += 1;
            const std::string key = call.line->program->id + "/" + call.line->branch;
            const Tokens prompt = call.prompt + call.generated;
            Tokens cached = engine.cache.lookUp(key, prompt);
            if (!call.line->branch.empty()) {
                cached = std::max(cached, engine.cache.lookUp(call.line->program->id + "/", prompt));
            }
            const Tokens everHeld = std::min(prompt, this->everHeld[key]);
            this->promptTokens += prompt;
            this->recomputedTokens += std::max<Tokens>(0, everHeld - cached);
            this->everHeld[key] = prompt;
            const double prefill = static_cast<double>(prompt - cached) * prefillSeconds * engine.slowFactor;
            this->scheduleToken(id, call.attempt, prefill);
        }
    }

    void scheduleToken(CallId id, std::uint64_t attempt, double extra)
    {
        const Call &call = this->calls.at(id);
        const FakeEngine &engine = this->engines[call.endpoint];
        const double occupancy = static_cast<double>(engine.running) / static_cast<double>(slotsPerEndpoint);
        const Tokens step = std::min(progressTokens, call.turn.output - call.generated);
        const double pace = tokenSeconds * (1.0 + batchDrag * occupancy) * engine.slowFactor;
        this->after(extra + static_cast<double>(step) * pace, [this, id, attempt, step]() {
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
        if (call.generated < call.turn.output) {
            this->scheduleToken(id, attempt, 0.0);
            return;
        }
        this->leaveEngine(call);
        this->finishCall(id);
    }

    void leaveEngine(Call &call)
    {
        FakeEngine &engine = this->engines[call.endpoint];
        if (call.inEngine) {
            engine.running -= 1;
            const std::string key = call.line->program->id + "/" + call.line->branch;
            engine.cache.hold(key, call.prompt + call.generated);
        }
        call.inEngine = false;
        call.attempt += 1;
        this->admitAtEngine(call.endpoint);
    }

    void finishCall(CallId id)
    {
        const Call call = this->calls.at(id);
        this->calls.erase(id);
        this->dispatcher.onFinished(id, true, this->now);
        this->finishedCalls += 1;
        const double alone = static_cast<double>(call.turn.output) * tokenSeconds + static_cast<double>(call.turn.newPrompt) * prefillSeconds;
        if (call.turn.output <= shortOutput && !call.turn.straggler) {
            this->slowdowns.push_back(toSeconds(this->now - call.ready) / alone);
        }
        LineRun &line = *call.line;
        Program &program = *line.program;
        program.remaining -= static_cast<double>(call.turn.output) * tokenSeconds;
        line.history += call.turn.output;
        line.next += 1;
        if (program.plan->vanishes && line.next >= 2) {
            this->end(program);
        } else {
            this->after(call.turn.pause, [this, &line]() {
                this->goOn(line);
            });
        }
        this->pump();
    }

    void goOn(LineRun &line)
    {
        Program &program = *line.program;
        if (!line.branch.empty()) {
            if (line.next < line.line->turns.size()) {
                this->submit(line);
            } else if (--program.openSubAgents == 0) {
                this->goOnMain(*program.lines.front());
            }
            return;
        }
        if (line.next == program.plan->forkBehind && !program.plan->subAgents.empty() && program.lines.size() == 1) {
            for (const Line &subAgent : program.plan->subAgents) {
                const std::string branch = "a" + std::to_string(program.lines.size());
                program.lines.push_back(std::make_unique<LineRun>(LineRun{&program, &subAgent, branch, 0, line.history}));
                program.openSubAgents += 1;
            }
            for (std::size_t index = 1; index < program.lines.size(); ++index) {
                this->submit(*program.lines[index]);
            }
            return;
        }
        this->goOnMain(line);
    }

    void goOnMain(LineRun &line)
    {
        Program &program = *line.program;
        if (line.next < line.line->turns.size()) {
            this->submit(line);
            return;
        }
        const double took = toSeconds(this->now - this->start) - program.plan->arrival;
        this->latencies.push_back(took);
        const bool inTime = took <= program.plan->deadline;
        this->inTime += inTime ? 1 : 0;
        this->crestInTime += inTime && program.plan->inCrest ? 1 : 0;
        this->end(program);
    }

    void end(Program &program)
    {
        program.gone = true;
        this->goneAt[program.id] = this->now;
        this->dispatcher.forgetProgram(program.id);
        if (this->policy.releases) {
            this->after(forgetSeconds, [this, &program]() {
                for (FakeEngine &engine : this->engines) {
                    engine.cache.release(program.id + "/");
                }
            });
        }
    }

    void control()
    {
        for (const Interruption &interruption : this->dispatcher.interruptions(this->now)) {
            const auto found = this->calls.find(interruption.call);
            if (found == this->calls.end()) {
                continue;
            }
            this->leaveEngine(found->second);
            this->interruptions += 1;
            const CallId id = interruption.call;
            this->after(cancelSeconds, [this, id]() {
                const auto call = this->calls.find(id);
                if (call != this->calls.end()) {
                    this->dispatcher.onInterrupted(id, call->second.generated, this->now);
                    this->pump();
                }
            });
        }
        this->pump();
        if (this->now < this->start + fromSeconds(runSeconds + drainSeconds)) {
            this->at(this->now + controlStep, [this]() {
                this->control();
            });
        }
    }

    void report()
    {
        // Load reports come late; the cache's use is sampled at the same pace.
        for (std::size_t index = 0; index < endpointCount; ++index) {
            const std::uint32_t running = this->engines[index].running;
            const Time measuredAt = this->now;
            this->at(this->now + reportLag, [this, index, running, measuredAt]() {
                this->dispatcher.onLoadReport("e" + std::to_string(index), running, measuredAt, this->now);
            });
            this->heldTokens += static_cast<double>(this->engines[index].cache.held());
        }
        std::erase_if(this->goneAt, [this](const auto &entry) {
            return entry.second + std::chrono::seconds(120) < this->now;
        });
        for (const auto &[program, since] : this->goneAt) {
            for (const FakeEngine &engine : this->engines) {
                this->heldGone += static_cast<double>(engine.cache.heldBy(program + "/"));
            }
        }
        if (this->now < this->start + fromSeconds(runSeconds)) {
            this->at(this->now + reportStep, [this]() {
                this->report();
            });
        }
    }

    Measures summarise(std::size_t programCount) const
    {
        Measures measures;
        double expected = 0.0;
        double crest = 0.0;
        for (const std::unique_ptr<Program> &program : this->programs) {
            expected += program->plan->vanishes ? 0.0 : 1.0;
            crest += program->plan->vanishes || !program->plan->inCrest ? 0.0 : 1.0;
        }
        measures.programP50 = percentile(this->latencies, 0.5);
        measures.programP95 = percentile(this->latencies, 0.95);
        measures.programP99 = percentile(this->latencies, 0.99);
        measures.inDeadline = static_cast<double>(this->inTime) / std::max(1.0, expected);
        measures.crestInDeadline = static_cast<double>(this->crestInTime) / std::max(1.0, crest);
        measures.goodput = static_cast<double>(this->inTime) / runSeconds;
        measures.shortSlowdownP99 = percentile(this->slowdowns, 0.99);
        measures.recomputed = static_cast<double>(this->recomputedTokens) / static_cast<double>(std::max<Tokens>(1, this->promptTokens));
        measures.heldForGone = this->heldGone / std::max(1.0, this->heldTokens);
        measures.refused = static_cast<double>(this->refusedPrograms) / static_cast<double>(std::max<std::size_t>(1, programCount));
        measures.interruptions = static_cast<double>(this->interruptions) / static_cast<double>(std::max<std::uint64_t>(1, this->finishedCalls));
        Tokens highest = 0;
        for (const auto &[minute, tokens] : this->billed) {
            highest = std::max(highest, tokens);
        }
        measures.highestMinute = this->scenario.capPerMinute > 0 ? static_cast<double>(highest) / static_cast<double>(this->scenario.capPerMinute) : 0.0;
        return measures;
    }

    Scenario scenario;
    Policy policy;
    Dispatcher dispatcher;
    PeakLimiter peak;
    std::mt19937_64 random;
    Time start{std::chrono::hours(1000)};
    Time now = start;
    std::multimap<Time, std::function<void()>> events;
    std::vector<FakeEngine> engines;
    std::vector<std::deque<CallId>> queues;
    std::vector<std::unique_ptr<Program>> programs;
    std::map<CallId, Call> calls;
    std::map<std::string, Time> goneAt;
    std::map<std::string, Tokens> everHeld;
    std::map<Minute, Tokens> billed;
    CallId nextCall = 1;
    std::vector<double> latencies;
    std::vector<double> slowdowns;
    Tokens promptTokens = 0;
    Tokens recomputedTokens = 0;
    double heldTokens = 0.0;
    double heldGone = 0.0;
    std::uint64_t inTime = 0;
    std::uint64_t crestInTime = 0;
    std::uint64_t refusedPrograms = 0;
    std::uint64_t interruptions = 0;
    std::uint64_t finishedCalls = 0;
};

} // namespace

Measures runScenario(const Scenario &scenario, const Policy &policy)
{
    return Runner(scenario, policy).run();
}

} // namespace oleandergate::bench
