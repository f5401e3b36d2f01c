#include "runtime/latencyhistogram.h"

#include <boost/histogram.hpp>

#include <array>
#include <cmath>
#include <limits>

namespace oleandergate {

namespace histogram = boost::histogram;

namespace {

//! Upper bounds in seconds. They range from one response of the key-value service to the longest deadline of a call, and
//! include the two latency objectives for callers: 1.3 s to the first token and 76 ms between tokens.
constexpr std::array<double, 15> bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.076, 0.15, 0.3, 0.6, 1.3, 2.5, 5.0, 15.0, 60.0};

using AtomicCount = histogram::accumulators::count<std::uint64_t, true>;
using Histogram = histogram::histogram<std::tuple<histogram::axis::variable<>>, histogram::dense_storage<AtomicCount>>;

} // namespace

struct LatencyHistogram::Data
{
    Histogram counts{std::make_tuple(histogram::axis::variable<>(bounds.begin(), bounds.end()))};
};

LatencyHistogram::LatencyHistogram()
    : data(std::make_unique<Data>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::observe(Duration duration)
{
    const double seconds = toSeconds(duration);
    // Boost.Histogram puts a value equal to a bound into the upper bucket, Prometheus into the lower one.
    this->data->counts(std::nextafter(seconds, -1.0));
    this->sumSeconds.add(seconds);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> all;
    std::uint64_t cumulative = 0;
    // Bin -1 counts values below the first bound; the bin after the last bound counts values above all bounds.
    for (std::size_t bucket = 0; bucket <= bounds.size(); ++bucket) {
        cumulative += this->data->counts.at(static_cast<int>(bucket) - 1).value();
        all.push_back(Bucket{bucket < bounds.size() ? bounds.at(bucket) : std::numeric_limits<double>::infinity(), cumulative});
    }
    return all;
}

double LatencyHistogram::sum() const
{
    return this->sumSeconds.value();
}

} // namespace oleandergate
