#include "runtime/metrics.h"

#include <cmath>
#include <sstream>

namespace oleandergate {

namespace {

std::string seriesName(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + "{" + labels + "}";
}

} // namespace

Counter &Metrics::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(this->mutex);
    return this->series[name].values[labels];
}

LatencyHistogram &Metrics::histogram(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    return this->histograms[name];
}

void Metrics::count(const std::string &name, const std::string &labels)
{
    this->counter(name, labels).add();
}

void Metrics::setGauge(const std::string &name, double value, const std::string &labels)
{
    const std::lock_guard lock(this->mutex);
    Series &entry = this->series[name];
    entry.type = "gauge";
    entry.values[labels].set(value);
}

std::string Metrics::render() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    for (const auto &[name, entry] : this->series) {
        out << "# TYPE " << name << ' ' << entry.type << '\n';
        for (const auto &[labels, value] : entry.values) {
            out << seriesName(name, labels) << ' ' << value.value() << '\n';
        }
    }
    for (const auto &[name, histogram] : this->histograms) {
        out << "# TYPE " << name << " histogram\n";
        std::uint64_t count = 0;
        for (const LatencyHistogram::Bucket &bucket : histogram.buckets()) {
            out << name << "_bucket{le=\"";
            if (std::isinf(bucket.upperBound)) {
                out << "+Inf";
            } else {
                out << bucket.upperBound;
            }
            out << "\"} " << bucket.count << '\n';
            count = bucket.count;
        }
        out << name << "_sum " << histogram.sum() << '\n' << name << "_count " << count << '\n';
    }
    return out.str();
}

std::string Metrics::renderBrief() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    for (const auto &[name, entry] : this->series) {
        for (const auto &[labels, value] : entry.values) {
            if (value.value() != 0.0) {
                out << seriesName(name, labels) << '=' << value.value() << ' ';
            }
        }
    }
    return out.str();
}

} // namespace oleandergate
