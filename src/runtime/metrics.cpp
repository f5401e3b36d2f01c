#include "runtime/metrics.h"

// The quantile header uses string streams without including them.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace oleandergate {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 4> probabilities{0.5, 0.9, 0.95, 0.99};

using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

} // namespace

struct Metrics::Distribution
{
    Accumulator accumulator{acc::extended_p_square_probabilities = probabilities};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const std::string &labels, double amount)
{
    const std::lock_guard lock(this->mutex);
    Series &entry = this->series[name];
    entry.type = "counter";
    entry.values[labels] += amount;
}

void Metrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard lock(this->mutex);
    Series &entry = this->series[name];
    entry.type = "gauge";
    entry.values[labels] = value;
}

void Metrics::observe(const std::string &name, double seconds)
{
    const std::lock_guard lock(this->mutex);
    std::unique_ptr<Distribution> &entry = this->distributions[name];
    if (!entry) {
        entry = std::make_unique<Distribution>();
    }
    entry->accumulator(seconds);
}

std::string Metrics::render() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    for (const auto &[name, entry] : this->series) {
        out << "# TYPE " << name << ' ' << entry.type << '\n';
        for (const auto &[labels, value] : entry.values) {
            out << name << (labels.empty() ? "" : "{" + labels + "}") << ' ' << value << '\n';
        }
    }
    for (const auto &[name, entry] : this->distributions) {
        out << "# TYPE " << name << " summary\n";
        for (const double probability : probabilities) {
            out << name << "{quantile=\"" << probability << "\"} " << acc::quantile(entry->accumulator, acc::quantile_probability = probability) << '\n';
        }
        out << name << "_sum " << acc::sum(entry->accumulator) << '\n' << name << "_count " << acc::count(entry->accumulator) << '\n';
    }
    return out.str();
}

std::string Metrics::renderBrief() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    for (const auto &[name, entry] : this->series) {
        for (const auto &[labels, value] : entry.values) {
            out << name << (labels.empty() ? "" : "{" + labels + "}") << '=' << value << ' ';
        }
    }
    return out.str();
}

} // namespace oleandergate
