#include "fault/simulation.h"

#include "fault/checks.h"
#include "fault/simcaller.h"

namespace oleandergate::fault {

namespace {

constexpr std::size_t callerCount = 3;
constexpr std::size_t endpointCount = 3;
constexpr Duration startupPeriod = std::chrono::seconds(2);
constexpr Duration faultPeriod = std::chrono::seconds(12);
constexpr Duration recoveryPeriod = std::chrono::seconds(14);
constexpr Duration maxFaultDuration = std::chrono::seconds(3);
constexpr Duration maxEndpointListStaleTime = std::chrono::seconds(2);
constexpr Duration endpointLeaveDelay = std::chrono::milliseconds(700);
constexpr Duration plannedStopDelay = std::chrono::milliseconds(900);
constexpr int maxClockOffset = 200000; // microseconds, forward or back, for each fault
constexpr int configChanges = 3;
constexpr int operationsPerFault = 3; // calls of the key-value service that AnswerLost and WriteLate affect

} // namespace

Simulation::Simulation(const RunPlan &plan)
    : store(std::make_unique<SimStore>(*this))
    , currentPlan(plan)
    , random(plan.seed)
    , stepCounts(plan.injections.size(), 0)
    , isInjected(plan.injections.size(), false)
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

Duration Simulation::between(int minMicros, int maxMicros)
{
    return Duration(std::uniform_int_distribution<int>(minMicros, maxMicros)(this->random));
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
    this->events.runUntil(start + startupPeriod);
    this->startCallers();
    this->scheduleOperations();
    this->events.runUntil(start + startupPeriod + faultPeriod);
    this->faultsEnded = true;
    this->store->setDown(false);
    this->store->slow = false;
    this->store->answersToLose = 0;
    this->store->writesToDelay = 0;
    for (SimEndpoint &endpoint : this->endpoints) {
        endpoint.mode = SimEndpoint::Mode::Healthy;
    }
    for (const auto &instance : this->instances) {
        instance->endpointListStale = false;
        if (!instance->alive) {
            instance->start();
        }
    }
    this->events.runUntil(start + startupPeriod + faultPeriod + recoveryPeriod);
    RunResult result;
    result.violations = checkInvariants(*this);
    for (const auto &caller : this->callers) {
        if (!caller->isDone()) {
            result.violations.push_back("progress: " + caller->program() + " did not end");
        }
    }
    result.answered = this->recorder.answers.size();
    result.refused = this->recorder.refused;
    result.reachedSteps = this->reachedSteps;
    result.longestWait = this->recorder.longestWait;
    result.injected = std::all_of(this->isInjected.begin(), this->isInjected.end(), [](bool value) {
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

void Simulation::scheduleOperations()
{
    // An operator changes the configuration several times, each time on condition that the version is unchanged.
    for (int change = 0; change < configChanges; ++change) {
        this->after(this->between(100000, 6000000), [this]() {
            this->onStep(Step::ConfigApply, 0);
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
    // One endpoint leaves and one instance has a planned stop while programs run.
    this->after(endpointLeaveDelay, [this]() {
        this->endpoints.back().leaving = true;
        this->recorder.leavingSince[this->endpoints.size() - 1] = this->now();
    });
    this->after(plannedStopDelay, [this]() {
        this->instances.back()->stop();
    });
}

void Simulation::onStep(Step step, std::size_t instance)
{
    this->reachedSteps.insert(step);
    if (this->faultsEnded) {
        return;
    }
    for (std::size_t index = 0; index < this->currentPlan.injections.size(); ++index) {
        const Injection &injection = this->currentPlan.injections[index];
        if (this->isInjected[index] || injection.step != step) {
            continue;
        }
        this->stepCounts[index] += 1;
        if (this->stepCounts[index] >= injection.occurrence) {
            this->isInjected[index] = true;
            this->inject(injection.fault, instance);
        }
    }
}

void Simulation::inject(Fault fault, std::size_t index)
{
    SimInstance &instance = *this->instances[index];
    const Duration faultDuration = this->between(200000, static_cast<int>(maxFaultDuration.count()));
    const auto afterUnlessFaultsEnded = [this](Duration delay, std::function<void()> action) {
        this->after(delay, [this, action]() {
            if (!this->faultsEnded) {
                action();
            }
        });
    };
    SimEndpoint &endpoint = this->endpoints[static_cast<std::size_t>(this->between(0, 1000).count()) % this->endpoints.size()];
    const auto breakEndpoint = [&](SimEndpoint::Mode mode) {
        endpoint.mode = mode;
        afterUnlessFaultsEnded(faultDuration, [&endpoint]() {
            endpoint.mode = SimEndpoint::Mode::Healthy;
        });
    };
    switch (fault) {
    case Fault::Kill:
        instance.kill();
        afterUnlessFaultsEnded(faultDuration, [&instance]() {
            if (!instance.alive) {
                instance.start();
            }
        });
        break;
    case Fault::Freeze:
        instance.freeze(leaseLength + faultDuration);
        break;
    case Fault::Delay:
        instance.freeze(this->between(10000, 300000));
        break;
    case Fault::CutConnection:
        instance.disconnectedUntil = this->now() + faultDuration;
        break;
    case Fault::Duplicate:
        for (const auto &caller : this->callers) {
            caller->duplicate();
        }
        break;
    case Fault::ServiceDown:
        this->store->setDown(true);
        afterUnlessFaultsEnded(faultDuration, [this]() {
            this->store->setDown(false);
        });
        break;
    case Fault::ServiceSlow:
        this->store->slow = true;
        afterUnlessFaultsEnded(faultDuration, [this]() {
            this->store->slow = false;
        });
        break;
    case Fault::AnswerLost:
        this->store->answersToLose += operationsPerFault;
        break;
    case Fault::WriteLate:
        this->store->writesToDelay += operationsPerFault;
        break;
    case Fault::LeaseLapse:
        instance.renewalsLostUntil = this->now() + leaseLength + faultDuration;
        break;
    case Fault::ListStale:
        instance.endpointListStale = true;
        afterUnlessFaultsEnded(std::min<Duration>(faultDuration, maxEndpointListStaleTime), [&instance]() {
            instance.endpointListStale = false;
        });
        break;
    case Fault::ClockOffset:
        instance.clockOffset += this->between(-maxClockOffset, maxClockOffset);
        break;
    case Fault::EndpointDead:
        breakEndpoint(SimEndpoint::Mode::Dead);
        break;
    case Fault::EndpointSlow:
        breakEndpoint(SimEndpoint::Mode::Slow);
        break;
    case Fault::EndpointMalformed:
        breakEndpoint(SimEndpoint::Mode::MalformedResponse);
        break;
    case Fault::OperatorRace: {
        // Two operators read the same version and both write; only one write may succeed.
        const std::uint64_t expected = this->store->config.version;
        const auto appliedCount = std::make_shared<int>(0);
        for (const char *nonce : {"first", "second"}) {
            const std::string uniqueNonce = nonce + std::to_string(this->random());
            this->store->call(
                [this, expected, uniqueNonce, appliedCount]() {
                    if (decideApply(this->store->config, expected, uniqueNonce) == ApplyDecision::Write) {
                        this->store->config = ConfigStamp{expected + 1, uniqueNonce};
                        *appliedCount += 1;
                    }
                    if (*appliedCount > 1) {
                        this->recorder.violations.push_back("configuration: two operators replaced the same version");
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
