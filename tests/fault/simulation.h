#ifndef OLEANDERGATE_FAULT_SIMULATION_H
#define OLEANDERGATE_FAULT_SIMULATION_H

#include "fault/eventqueue.h"
#include "fault/faultplan.h"
#include "fault/recorder.h"
#include "fault/simendpoint.h"
#include "fault/siminstance.h"
#include "fault/simstore.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace oleandergate::fault {

inline constexpr SlotId slotCount = 4;
inline constexpr std::size_t instanceCount = 3;
inline constexpr Duration leaseLength = std::chrono::seconds(1);
inline constexpr Tokens peakCap = 20000; //!< Tokens per minute over all instances.
inline constexpr MicroUnits programBudget = 4000;
inline constexpr MicroUnits insufficientBudget = 600; //!< Less than all calls of a program cost; for the program whose id ends with 1.
inline constexpr MicroUnits callPrice = 100; //!< Cost of each call.

//! Result of a run.
struct RunResult
{
    std::vector<std::string> violations{};
    std::size_t answered = 0; //!< Answers that callers received.
    std::size_t refused = 0; //!< Submissions that ended in an error, without duplicates.
    std::set<Step> reachedSteps{};
    bool injected = false; //!< All faults of the plan were injected.
    Duration longestWait{}; //!< Longest time from a submission to its final answer.
};

//! Runs the decision library of three instances in virtual time, with simulated callers, endpoints and key-value service.
//! The same seed and plan give the same run.
class Simulation
{
public:
    explicit Simulation(const RunPlan &plan);
    ~Simulation();

    //! Starts the instances, runs callers while faults are injected, ends all faults, waits for recovery and checks the result.
    RunResult run();

    //! Records that \p instance reaches \p step, and injects the faults that are planned for this occurrence. A fault
    //! may end the process of the instance: callers check SimInstance::alive afterwards.
    void onStep(Step step, std::size_t instance);

    Time now() const;
    //! Returns a random duration between two limits in microseconds, both included.
    Duration between(int minMicros, int maxMicros);
    bool chance(double probability);
    //! Runs \p action after \p delay of virtual time.
    void after(Duration delay, std::function<void()> action);

    const RunPlan &plan() const;
    Recorder recorder{};
    EventQueue events{};
    std::unique_ptr<SimStore> store;
    std::vector<SimEndpoint> endpoints{};
    std::vector<std::unique_ptr<SimInstance>> instances{};
    bool faultsEnded = false; //!< All faults have ended; no further ones are injected.

private:
    void inject(Fault fault, std::size_t instance);
    void startCallers();
    void scheduleOperations();

    RunPlan currentPlan;
    std::mt19937_64 random;
    std::vector<std::uint32_t> stepCounts;
    std::vector<bool> isInjected;
    std::set<Step> reachedSteps;
    std::vector<std::unique_ptr<class SimCaller>> callers;
};

} // namespace oleandergate::fault

#endif
