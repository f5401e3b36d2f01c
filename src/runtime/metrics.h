#ifndef OLEANDERGATE_RUNTIME_METRICS_H
#define OLEANDERGATE_RUNTIME_METRICS_H

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace oleandergate {

//! Counters, gauges and distributions of a process, in Prometheus' text format.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    //! Adds \p amount to a counter. \p labels is empty or like `code="overloaded"`.
    void count(const std::string &name, const std::string &labels = "", double amount = 1.0);

    void setGauge(const std::string &name, const std::string &labels, double value);

    //! Adds a sample to a distribution, in seconds.
    void observe(const std::string &name, double seconds);

    //! Returns all values as text.
    std::string render() const;

    //! Returns the counters in one line, such as "name{labels}=value ...".
    std::string renderBrief() const;

private:
    struct Distribution;
    struct Series
    {
        std::string type{};
        std::map<std::string, double> values{};
    };

    mutable std::mutex mutex;
    std::map<std::string, Series> series;
    std::map<std::string, std::unique_ptr<Distribution>> distributions;
};

} // namespace oleandergate

#endif
