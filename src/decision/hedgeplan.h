#ifndef OLEANDERGATE_DECISION_HEDGEPLAN_H
#define OLEANDERGATE_DECISION_HEDGEPLAN_H

#include "decision/retrybudget.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace oleandergate {

//! Decides when a request that may be repeated is sent to a second endpoint while the first one has not answered: a few slow answers among fast ones.
//!
//! It is sent again when it has taken longer than nearly all answers of its service lately, and only while endpoints are idle: in a crest, a second send
//! would take the place of a first one. An operator bounds the share of requests that are sent again. Not thread-safe.
class HedgePlan
{
public:
    //! \p share is the largest number of second sends for each request; 0 for none.
    explicit HedgePlan(double share);

    //! Notes that a request was sent for the first time.
    void onSent(Time now);

    //! Notes that an endpoint answered \p took after it was sent a request.
    void onAnswered(Duration took);

    //! Returns how long a request waits for its answer before it is sent again; nothing if it is not.
    std::optional<Duration> delay() const;

    //! Takes one second send from the operator's bound. \p occupancy is the share of the endpoints' slots that are taken. Returns false if it is not to be
    //! sent.
    bool take(double occupancy, Time now);

private:
    using Quantile = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    static Quantile makeQuantile();

    double share;
    RetryBudget budget;
    Quantile current = makeQuantile(); //!< Seconds that answers took.
    std::size_t samples = 0; //!< In \ref current.
    std::optional<double> former{}; //!< Quantile of the samples before, in seconds.
};

} // namespace oleandergate

#endif
