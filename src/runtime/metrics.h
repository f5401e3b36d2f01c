#ifndef OLEANDERGATE_RUNTIME_METRICS_H
#define OLEANDERGATE_RUNTIME_METRICS_H

#include "decision/nametable.h"
#include "runtime/counter.h"
#include "runtime/latencyhistogram.h"

#include <array>
#include <map>
#include <mutex>
#include <string>

namespace oleandergate {

//! Counters, gauges and latency histograms of a process, in Prometheus' text format.
//!
//! What is counted often is looked up once; the references stay valid as long as this object.
class Metrics
{
public:
    //! Returns a counter. \p labels is empty or like `code="overloaded"`.
    Counter &counter(const std::string &name, const std::string &labels = "");

    LatencyHistogram &histogram(const std::string &name);

    //! Adds one to a counter that is looked up anew.
    void count(const std::string &name, const std::string &labels = "");

    void setGauge(const std::string &name, double value);

    //! Returns all values as text.
    std::string render() const;

    //! Returns the counters and gauges that are not zero in one line, such as "name{labels}=value ...".
    std::string renderBrief() const;

    //! Returns a counter for each value of an enumeration, labelled with its name.
    template <typename Enum, std::size_t Size>
    std::array<Counter *, Size> counters(const std::string &name, const std::string &label, const std::array<NamedValue<Enum>, Size> &names)
    {
        std::array<Counter *, Size> found{};
        for (const NamedValue<Enum> &value : names) {
            found.at(static_cast<std::size_t>(value.value)) = &this->counter(name, label + "=\"" + std::string(value.name) + "\"");
        }
        return found;
    }

private:
    struct Series
    {
        const char *type = "counter";
        std::map<std::string, Counter> values{};
    };

    mutable std::mutex mutex;
    std::map<std::string, Series> series;
    std::map<std::string, LatencyHistogram> histograms;
};

} // namespace oleandergate

#endif
