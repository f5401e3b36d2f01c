#ifndef OLEANDERGATE_RUNTIME_LATENCYHISTOGRAM_H
#define OLEANDERGATE_RUNTIME_LATENCYHISTOGRAM_H

#include "decision/time.h"
#include "runtime/counter.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace oleandergate {

//! Counts durations in buckets that are the same in every process, so that the counts of several processes add up.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    //! Any thread may call this; it takes no lock.
    void observe(Duration duration);

    struct Bucket
    {
        double upperBound = 0.0; //!< Seconds, included; infinite for the last one.
        std::uint64_t count = 0; //!< Durations up to this bound, those of lower buckets included.
    };

    std::vector<Bucket> buckets() const;

    //! Seconds.
    double sum() const;

private:
    struct Data;
    std::unique_ptr<Data> data;
    Counter total{};
};

} // namespace oleandergate

#endif
