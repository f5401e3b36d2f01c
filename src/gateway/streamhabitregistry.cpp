#include "gateway/streamhabitregistry.h"

#include "runtime/log.h"
#include "runtime/metrics.h"

namespace oleandergate {

StreamHabitRegistry::StreamHabitRegistry(Metrics &metrics)
    : cuts(metrics.counter("oleandergate_streams_cut_unframed_total"))
{
}

bool StreamHabitRegistry::isLengthDoubtful(const EndpointId &endpoint, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.isLengthDoubtful(endpoint, now);
}

bool StreamHabitRegistry::isUnframedDoubtful(const ServiceVersion &group, const EndpointId &endpoint, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.isUnframedDoubtful(group, endpoint, now);
}

bool StreamHabitRegistry::isUnframedUsual(const ServiceVersion &group, const EndpointId &endpoint, bool isOnlyEndpoint, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.isUnframedUsual(group, endpoint, isOnlyEndpoint, now);
}

std::uint32_t StreamHabitRegistry::confirmationsNeeded(const ServiceVersion &group, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.confirmationsNeeded(group, now);
}

std::string StreamHabitRegistry::usualTail(const ServiceVersion &group, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.usualTail(group, now);
}

bool StreamHabitRegistry::numbersRiseByOne(const ServiceVersion &group, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.numbersRiseByOne(group, now);
}

bool StreamHabitRegistry::numbersAreUneven(const ServiceVersion &group, Time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->habits.numbersAreUneven(group, now);
}

void StreamHabitRegistry::onCut(const EndpointId &endpoint, const EndpointId &shownBy, const RequestId &requestId, Time now)
{
    {
        const std::lock_guard lock(this->mutex);
        this->habits.addCut(endpoint, now);
    }
    this->cuts.add();
    logRecord(LogLevel::Info,
              "streams",
              "an endpoint had ended a stream early, without framing",
              {{"request", requestId}, {"endpoint", endpoint}, {"shown_by", shownBy}});
}

void StreamHabitRegistry::onShortLength(const EndpointId &endpoint, const RequestId &requestId, Time now)
{
    {
        const std::lock_guard lock(this->mutex);
        this->habits.addShortLength(endpoint, now);
    }
    logRecord(LogLevel::Info, "streams", "an endpoint had stated too small a length for a stream", {{"request", requestId}, {"endpoint", endpoint}});
}

void StreamHabitRegistry::onRunEnd(const ServiceVersion &group, const RunObservation &run, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->habits.add(group, run, now);
}

} // namespace oleandergate
