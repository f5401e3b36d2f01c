#ifndef OLEANDERGATE_TESTS_SOAK_STOPRUN_H
#define OLEANDERGATE_TESTS_SOAK_STOPRUN_H

#include "gatewaycluster.h"
#include "stopjudge.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>

namespace oleandergate::soak {

//! Plays a plan with real processes.
class StopRun
{
public:
    explicit StopRun(const StopPlan &plan);

    //! Returns what was seen, or nothing when the gateways did not become ready.
    std::optional<Seen> play();

    //! Returns the log of a gateway.
    std::string log(std::size_t gateway) const;

private:
    void stop(const PlannedStop &planned, SeenStop &seenStop, Time runBegan);

    //! Starts each process again that ends. Returns when all planned stops are over.
    void restartEnded();

    //! Sends the signals that are due in \p passed after the SIGTERM. Each is sent once.
    void disturb(PlannedStop &left, Milliseconds passed);
    void collectReceived();

    const StopPlan &plan;
    support::GatewayCluster cluster;
    std::deque<GatewayState> states{};
    std::mutex frozenMutex{};
    std::vector<std::jthread> frozen{}; //!< Each wakes a frozen neighbour.
    std::atomic<int> configurationVersion{1};
    Seen seen{};
};

} // namespace oleandergate::soak

#endif
