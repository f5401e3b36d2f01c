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
inline constexpr Tokens peakCap = 20000;
inline constexpr MicroUnits programBudget = 4000;
inline constexpr MicroUnits insufficientBudget = 600; //!< Below what the calls cost.
inline constexpr MicroUnits callPrice = 100;

//! What a run showed.
struct RunResult
{
    std::vector<std::string> violations{};
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::set<Step> reachedSteps{};
    bool injected = false; //!< The plan's faults were all injected.
    Duration longestWait{}; //!< Longest time from a submission to its final answer.
};

//! The decision library of three instances over fakes of everything outside, in virtual time.
//! The same seed and plan give the same run.
class Simulation
{
public:
    explicit Simulation(const RunPlan &plan);
    ~Simulation();

    RunResult run();

    //! Notes that \p instance passes \p step, and injects what the plan has for it.
    void onStep(Step step, std::size_t instance);

    Time now() const;
    Duration between(int minMicros, int maxMicros);
    bool chance(double probability);
    void after(Duration delay, std::function<void()> action);

    const RunPlan &plan() const;
    Recorder recorder{};
    EventQueue events{};
    std::unique_ptr<SimStore> store;
    std::vector<SimEndpoint> endpoints{};
    std::vector<std::unique_ptr<SimInstance>> instances{};
    bool faultsEnded = false; //!< All faults are over; the run comes to rest.

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
