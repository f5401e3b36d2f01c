#ifndef OLEANDERGATE_GATEWAY_HEDGING_H
#define OLEANDERGATE_GATEWAY_HEDGING_H

#include "decision/hedgeplan.h"

#include <map>
#include <mutex>
#include <string>

namespace oleandergate {

class Counter;
class Metrics;

//! The second sends of all services, within the share of requests that the operator allows. Thread-safe.
class Hedging
{
public:
    //! \p share as in HedgePlan.
    Hedging(double share, Metrics &metrics);

    bool isEnabled() const;

    //! As in HedgePlan, for the service \p service.
    void onSent(const std::string &service, Time now);
    void onAnswered(const std::string &service, Duration took);
    std::optional<Duration> delay(const std::string &service);
    bool take(const std::string &service, double occupancy, Time now);

    //! Counts a second send, and whether it brought the answer.
    void count(bool isWinner);

private:
    HedgePlan &planOf(const std::string &service);

    double share;
    Counter &won;
    Counter &lost;
    std::mutex mutex;
    std::map<std::string, HedgePlan> plans; //!< By service. Guarded by the mutex.
};

} // namespace oleandergate

#endif
