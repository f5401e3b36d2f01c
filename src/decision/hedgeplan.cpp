#include "decision/hedgeplan.h"

namespace oleandergate {

namespace {

namespace acc = boost::accumulators;

//! A request that has taken longer than this share of the answers is sent again.
constexpr double slowShare = 0.95;

//! Answers of which a quantile is taken before the next one begins.
constexpr std::size_t samplesPerQuantile = 200;

//! Answers of a service that have to be known before any request is sent again.
constexpr std::size_t minSamples = 50;

//! Share of taken slots from which on nothing is sent again.
constexpr double maxOccupancy = 0.5;

} // namespace

HedgePlan::HedgePlan(double share)
    : share(share)
    , budget(share, 0.0)
{
}

HedgePlan::Quantile HedgePlan::makeQuantile()
{
    return Quantile(acc::quantile_probability = slowShare);
}

void HedgePlan::onSent(Time now)
{
    this->budget.onCall(now);
}

void HedgePlan::onAnswered(Duration took)
{
    this->current(toSeconds(took));
    this->samples += 1;
    if (this->samples >= samplesPerQuantile) {
        this->former = acc::p_square_quantile(this->current);
        this->current = makeQuantile();
        this->samples = 0;
    }
}

std::optional<Duration> HedgePlan::delay() const
{
    if (this->share <= 0.0 || (!this->former && this->samples < minSamples)) {
        return std::nullopt;
    }
    return fromSeconds(this->former ? *this->former : acc::p_square_quantile(this->current));
}

bool HedgePlan::take(double occupancy, Time now)
{
    return this->share > 0.0 && occupancy < maxOccupancy && this->budget.tryRetry(now);
}

} // namespace oleandergate
