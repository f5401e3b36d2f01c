#include "gateway/hedging.h"

#include "runtime/metrics.h"

namespace oleandergate {

Hedging::Hedging(double share, Metrics &metrics)
    : share(share)
    , won(metrics.counter("oleandergate_hedges_total", "answer=\"second\""))
    , lost(metrics.counter("oleandergate_hedges_total", "answer=\"first\""))
{
}

bool Hedging::isEnabled() const
{
    return this->share > 0.0;
}

HedgePlan &Hedging::planOf(const std::string &service)
{
    return this->plans.try_emplace(service, this->share).first->second;
}

void Hedging::onSent(const std::string &service, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->planOf(service).onSent(now);
}

void Hedging::onAnswered(const std::string &service, Duration took)
{
    const std::lock_guard lock(this->mutex);
    this->planOf(service).onAnswered(took);
}

std::optional<Duration> Hedging::delay(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    return this->planOf(service).delay();
}

bool Hedging::take(const std::string &service, double occupancy, Time now)
{
    const std::lock_guard lock(this->mutex);
    return this->planOf(service).take(occupancy, now);
}

void Hedging::count(bool isWinner)
{
    (isWinner ? this->won : this->lost).add();
}

} // namespace oleandergate
