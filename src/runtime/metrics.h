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

//! Counters, gauges and latency histograms of a process, exported in the Prometheus text format.
//!
//! Frequent callers should look a counter up once and keep the reference, which stays valid as long as this object.
class Metrics
{
public:
    //! Returns a counter, which is created on first use. \p labels is empty or of the form `code="overloaded"`.
    Counter &counter(const std::string &name, const std::string &labels = "");

    //! Returns a histogram, which is created on first use.
    LatencyHistogram &histogram(const std::string &name);

    //! Looks a counter up and adds one to it.
    void count(const std::string &name, const std::string &labels = "");

    //! \p labels is as in counter().
    void setGauge(const std::string &name, double value, const std::string &labels = "");

    //! Returns all values in the Prometheus text format.
    std::string render() const;

    //! Returns the counters and gauges that are not zero on one line, as "name{labels}=value ...".
    std::string renderBrief() const;

    //! Returns one counter per value of an enumeration, labelled with the value's name and indexed by the value.
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
