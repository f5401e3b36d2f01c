#include "fault/simulation.h"

#include "fault/checks.h"
#include "fault/simcaller.h"

namespace oleandergate::fault {

namespace {

constexpr std::size_t callerCount = 3;
constexpr std::size_t endpointCount = 3;
constexpr Duration settleTime = std::chrono::seconds(2);
constexpr Duration healTime = std::chrono::seconds(12);
constexpr Duration restTime = std::chrono::seconds(14);
constexpr Duration longestFault = std::chrono::seconds(3);

} // namespace

Simulation::Simulation(const RunPlan &plan)
    : store(std::make_unique<SimStore>(*this))
    , currentPlan(plan)
    , random(plan.seed)
    , counts(plan.injections.size(), 0)
    , done(plan.injections.size(), false)
{
    this->endpoints.resize(endpointCount);
    for (std::size_t index = 0; index < instanceCount; ++index) {
        this->instances.push_back(std::make_unique<SimInstance>(*this, index));
    }
}

Simulation::~Simulation() = default;

Time Simulation::now() const
{
    return this->events.now();
}

Duration Simulation::between(int leastMicros, int mostMicros)
{
    return Duration(std::uniform_int_distribution<int>(leastMicros, mostMicros)(this->random));
}

bool Simulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(this->random);
}

void Simulation::after(Duration delay, std::function<void()> action)
{
    this->events.add(this->now() + delay, std::move(action));
}

const RunPlan &Simulation::plan() const
{
    return this->currentPlan;
}

RunResult Simulation::run()
{
    const Time start = this->now();
    for (const auto &instance : this->instances) {
        instance->start();
    }
    this->events.runUntil(start + settleTime);
    this->startCallers();
    this->operate();
    this->events.runUntil(start + settleTime + healTime);
    this->healed = true;
    this->store->setDown(false);
    this->store->slow = false;
    this->store->loseAnswers = 0;
    this->store->lateWrites = 0;
    for (SimEndpoint &endpoint : this->endpoints) {
        endpoint.mode = SimEndpoint::Mode::Healthy;
    }
    for (const auto &instance : this->instances) {
        instance->listStale = false;
        if (!instance->alive) {
            instance->start();
        }
    }
    this->events.runUntil(start + settleTime + healTime + restTime);
    RunResult result;
    result.violations = checkInvariants(*this);
    for (const auto &caller : this->callers) {
        if (!caller->isDone()) {
            result.violations.push_back("progress: " + caller->program() + " did not come to its end");
        }
    }
    result.answered = this->recorder.answers.size();
    result.refused = this->recorder.refused;
    result.passed = this->passedSteps;
    result.longestWait = this->recorder.longestWait;
    result.injected = std::all_of(this->done.begin(), this->done.end(), [](bool value) {
        return value;
    });
    return result;
}

void Simulation::startCallers()
{
    for (std::size_t index = 0; index < callerCount; ++index) {
        this->callers.push_back(std::make_unique<SimCaller>(*this, index));
        SimCaller *caller = this->callers.back().get();
        this->after(this->between(0, 300000), [caller]() {
            caller->start();
        });
    }
}

void Simulation::operate()
{
    // An operator changes the configuration now and then; the writes are conditional.
    for (int change = 0; change < 3; ++change) {
        this->after(this->between(100000, 6000000), [this]() {
            this->pass(Step::ConfigApply, 0);
            const std::uint64_t expected = this->store->config.version;
            const std::string nonce = std::to_string(this->random());
            this->store->call(
                [this, expected, nonce]() {
                    if (decideApply(this->store->config, expected, nonce) == ApplyDecision::Write) {
                        this->store->config = ConfigStamp{expected + 1, nonce};
                    }
                },
                [](bool) {});
        });
    }
    // One endpoint leaves while programs run, and one instance is stopped as planned.
    this->after(std::chrono::milliseconds(700), [this]() {
        this->endpoints.back().leaving = true;
        this->recorder.leavingSince[this->endpoints.size() - 1] = this->now();
    });
    this->after(std::chrono::milliseconds(900), [this]() {
        this->instances.back()->stop();
    });
}

void Simulation::pass(Step step, std::size_t instance)
{
    this->passedSteps.insert(step);
    if (this->healed) {
        return;
    }
    for (std::size_t index = 0; index < this->currentPlan.injections.size(); ++index) {
        const Injection &injection = this->currentPlan.injections[index];
        if (this->done[index] || injection.step != step) {
            continue;
        }
        this->counts[index] += 1;
        if (this->counts[index] >= injection.occurrence) {
            this->done[index] = true;
            this->inject(injection.fault, instance);
        }
    }
}

void Simulation::inject(Fault fault, std::size_t index)
{
    SimInstance &instance = *this->instances[index];
    const Duration length = this->between(200000, static_cast<int>(longestFault.count()));
    const auto later = [this](Duration delay, std::function<void()> action) {
        this->after(delay, [this, action]() {
            if (!this->healed) {
                action();
            }
        });
    };
    SimEndpoint &endpoint = this->endpoints[static_cast<std::size_t>(this->between(0, 1000).count()) % this->endpoints.size()];
    const auto breakEndpoint = [&](SimEndpoint::Mode mode) {
        endpoint.mode = mode;
        later(length, [&endpoint]() {
            endpoint.mode = SimEndpoint::Mode::Healthy;
        });
    };
    switch (fault) {
    case Fault::Kill:
        instance.kill();
        later(length, [&instance]() {
            if (!instance.alive) {
                instance.start();
            }
        });
        break;
    case Fault::Freeze:
        instance.freeze(leaseLength + length);
        break;
    case Fault::Delay:
        instance.freeze(this->between(10000, 300000));
        break;
    case Fault::CutConnection:
        instance.cutUntil = this->now() + length;
        break;
    case Fault::Duplicate:
        for (const auto &caller : this->callers) {
            caller->duplicate();
        }
        break;
    case Fault::ServiceDown:
        this->store->setDown(true);
        later(length, [this]() {
            this->store->setDown(false);
        });
        break;
    case Fault::ServiceSlow:
        this->store->slow = true;
        later(length, [this]() {
            this->store->slow = false;
        });
        break;
    case Fault::AnswerLost:
        this->store->loseAnswers += 3;
        break;
    case Fault::WriteLate:
        this->store->lateWrites += 3;
        break;
    case Fault::LeaseLapse:
        instance.lapseUntil = this->now() + leaseLength + length;
        break;
    case Fault::ListStale:
        instance.listStale = true;
        later(std::min<Duration>(length, std::chrono::seconds(2)), [&instance]() {
            instance.listStale = false;
        });
        break;
    case Fault::ClockOffset:
        instance.clockOffset += this->between(-200000, 200000);
        break;
    case Fault::EndpointDead:
        breakEndpoint(SimEndpoint::Mode::Dead);
        break;
    case Fault::EndpointSlow:
        breakEndpoint(SimEndpoint::Mode::Slow);
        break;
    case Fault::EndpointNonsense:
        breakEndpoint(SimEndpoint::Mode::Nonsense);
        break;
    case Fault::OperatorRace: {
        // Two operators read the same version and both write; one of them must lose.
        const std::uint64_t expected = this->store->config.version;
        const auto winners = std::make_shared<int>(0);
        for (const char *nonce : {"first", "second"}) {
            const std::string mark = nonce + std::to_string(this->random());
            this->store->call(
                [this, expected, mark, winners]() {
                    if (decideApply(this->store->config, expected, mark) == ApplyDecision::Write) {
                        this->store->config = ConfigStamp{expected + 1, mark};
                        *winners += 1;
                    }
                    if (*winners > 1) {
                        this->recorder.violations.push_back("configuration: two operators won one race");
                    }
                },
                [](bool) {});
        }
        break;
    }
    case Fault::Stop:
        instance.stop();
        break;
    case Fault::None:
    case Fault::Count:
        break;
    }
}

} // namespace oleandergate::fault
