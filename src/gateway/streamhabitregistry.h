#ifndef OLEANDERGATE_GATEWAY_STREAMHABITREGISTRY_H
#define OLEANDERGATE_GATEWAY_STREAMHABITREGISTRY_H

#include "decision/runobservation.h"
#include "decision/streamhabits.h"

#include <mutex>

namespace oleandergate {

class Counter;
class Metrics;

//! How streams are framed and numbered, as this instance's requests have seen it; logs what shows an endpoint's fault. Thread-safe.
class StreamHabitRegistry
{
public:
    explicit StreamHabitRegistry(Metrics &metrics);

    //! As in StreamHabits.
    bool isLengthDoubtful(const EndpointId &endpoint, Time now) const;
    bool isUnframedDoubtful(const ServiceVersion &group, const EndpointId &endpoint, Time now) const;
    bool isUnframedUsual(const ServiceVersion &group, const EndpointId &endpoint, bool isOnlyEndpoint, Time now) const;
    std::uint32_t confirmationsNeeded(const ServiceVersion &group, Time now) const;
    std::string usualTail(const ServiceVersion &group, Time now) const;
    bool numbersRiseByOne(const ServiceVersion &group, Time now) const;
    bool numbersAreUneven(const ServiceVersion &group, Time now) const;

    //! A run at \p shownBy brought events behind an unframed end of one at \p endpoint. \p requestId is for the log.
    void onCut(const EndpointId &endpoint, const EndpointId &shownBy, const RequestId &requestId, Time now);

    //! The next events of a stream of \p endpoint followed behind its stated length. \p requestId is for the log.
    void onShortLength(const EndpointId &endpoint, const RequestId &requestId, Time now);

    //! Learns from a run that ended in order between two events.
    void onRunEnd(const ServiceVersion &group, const RunObservation &run, Time now);

private:
    mutable std::mutex mutex;
    StreamHabits habits; //!< Guarded by the mutex.
    Counter &cuts;
};

} // namespace oleandergate

#endif
