//! Benchmarks of single decisions, and of how their cost grows with the number of endpoints, waiting calls, instances and programs.

#include "decision/dispatcher.h"
#include "decision/groupcommit.h"
#include "decision/hash.h"
#include "decision/programowner.h"
#include "decision/slottable.h"

#include <benchmark/benchmark.h>

namespace {

using namespace oleandergate;

constexpr Time start{std::chrono::hours(1)};

std::vector<EndpointSpec> makeEndpoints(std::int64_t count)
{
    std::vector<EndpointSpec> specs;
    for (std::int64_t index = 0; index < count; ++index) {
        specs.push_back(EndpointSpec{"endpoint-" + std::to_string(index), {}, {}, 8});
    }
    return specs;
}

QueuedCall makeCall(CallId id)
{
    QueuedCall call{id, "program-" + std::to_string(id)};
    call.resumable = true;
    call.promptTokens = 1000;
    call.maxTokens = 100;
    call.programStart = start;
    call.deadline = start + std::chrono::hours(1);
    call.programDeadline = call.deadline;
    return call;
}

//! Queues, places and finishes one call with range(0) endpoints.
void placeCall(benchmark::State &state)
{
    PolicyOptions options;
    options.admissionControl = false;
    Dispatcher dispatcher(options, 1);
    dispatcher.setEndpoints(makeEndpoints(state.range(0)));
    CallId id = 1;
    for (auto step : state) {
        benchmark::DoNotOptimize(dispatcher.enqueue(makeCall(id), start).has_value());
        benchmark::DoNotOptimize(dispatcher.next(start));
        dispatcher.onFinished(id, true, start);
        dispatcher.forgetProgram("program-" + std::to_string(id));
        ++id;
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(placeCall)->Arg(10)->Arg(100)->Arg(1000)->Arg(3500)->Complexity();

//! Queues one call and removes it again while range(0) calls wait.
void queueCall(benchmark::State &state)
{
    PolicyOptions options;
    options.admissionControl = false;
    Dispatcher dispatcher(options, 1);
    dispatcher.setEndpoints(makeEndpoints(1));
    CallId id = 1;
    for (; id <= static_cast<CallId>(state.range(0)); ++id) {
        benchmark::DoNotOptimize(dispatcher.enqueue(makeCall(id), start).has_value());
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(dispatcher.enqueue(makeCall(id), start).has_value());
        dispatcher.remove(id);
        dispatcher.forgetProgram("program-" + std::to_string(id));
        ++id;
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(queueCall)->Arg(100)->Arg(1000)->Arg(10000)->Arg(49000)->Complexity();

//! Plans the slot moves of one instance among range(0) instances.
void planSlots(benchmark::State &state)
{
    constexpr SlotId slotCount = 4096;
    SlotTable table("instance-0", slotCount);
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        table.putInstance(InstanceRecord{"instance-" + std::to_string(index)}, start);
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(table.plan(start + std::chrono::hours(1)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(planSlots)->Arg(8)->Arg(60)->Arg(420)->Unit(benchmark::kMillisecond)->Complexity();

//! Runs one model call of a program at its owner, with its journal entries, while the owner has range(0) programs.
void ownCall(benchmark::State &state)
{
    OwnerLimits limits;
    limits.slotCount = 1;
    ProgramOwner owner(limits);
    GroupCommit journal("bench");
    journal.openSlot(0, 1, 1);
    benchmark::DoNotOptimize(owner.acquireSlot(0, {}, start));
    CallId call = 1;
    // Performs the actions as the runtime does: commits succeed and ready calls are answered at once.
    const auto perform = [&](Actions actions) {
        for (std::size_t index = 0; index < actions.size(); ++index) {
            if (const auto *commit = std::get_if<CommitAction>(&actions[index])) {
                const Actions followUps = owner.onCommitted(commit->commitId, start);
                actions.insert(actions.end(), followUps.begin(), followUps.end());
            } else if (const auto *ready = std::get_if<ReadyAction>(&actions[index])) {
                benchmark::DoNotOptimize(owner.beginSend(ready->call, "e", OperatingMode::Normal, start).has_value());
                CallAnswer answer{200};
                answer.body = std::string(400, 'x');
                const Actions followUps = owner.onAnswer(ready->call, std::move(answer), start);
                actions.insert(actions.end(), followUps.begin(), followUps.end());
            }
        }
    };
    const Time deadline = start + std::chrono::hours(100);
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        ProgramSpec spec{"program-" + std::to_string(index), "org", "kind", 1000000000000, 0, 1000000000, start, deadline};
        perform(owner.createProgram(call++, spec, OperatingMode::Normal, start));
    }
    std::uint64_t turn = 0;
    for (auto step : state) {
        CallRequest request;
        request.program = "program-" + std::to_string(turn % static_cast<std::uint64_t>(state.range(0)));
        request.organisation = "org";
        request.requestId = "r" + std::to_string(turn++);
        request.messages = {"a question of some length"};
        request.reserve = 10;
        request.deadline = deadline;
        perform(owner.submit(call++, request, OperatingMode::Normal, start));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(ownCall)->Arg(100)->Arg(1000)->Arg(10000)->Iterations(50000)->Complexity();

} // namespace

BENCHMARK_MAIN();
