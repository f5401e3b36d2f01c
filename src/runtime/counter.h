#ifndef OLEANDERGATE_RUNTIME_COUNTER_H
#define OLEANDERGATE_RUNTIME_COUNTER_H

#include <atomic>

namespace oleandergate {

//! A counter or gauge that any thread may change without a lock.
class Counter
{
public:
    void add(double amount = 1.0)
    {
        this->current.fetch_add(amount, std::memory_order_relaxed);
    }

    void set(double value)
    {
        this->current.store(value, std::memory_order_relaxed);
    }

    double value() const
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> current{0.0};
};

} // namespace oleandergate

#endif
