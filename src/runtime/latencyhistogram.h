#ifndef OLEANDERGATE_RUNTIME_LATENCYHISTOGRAM_H
#define OLEANDERGATE_RUNTIME_LATENCYHISTOGRAM_H

#include "decision/time.h"
#include "runtime/counter.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace oleandergate {

//! Histogram of durations. Its buckets are the same in every process, so that counts of several processes can be added.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    //! Counts \p duration. May be called from any thread; takes no lock.
    void observe(Duration duration);

    struct Bucket
    {
        double upperBound = 0.0; //!< Seconds, inclusive; infinite for the last bucket.
        std::uint64_t count = 0; //!< Cumulative: durations up to the upper bound, lower buckets included.
    };

    std::vector<Bucket> buckets() const;

    //! Returns the sum of all durations in seconds.
    double sum() const;

private:
    struct Data;
    std::unique_ptr<Data> data;
    Counter sumSeconds{};
};

} // namespace oleandergate

#endif
